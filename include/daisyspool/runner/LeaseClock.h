#ifndef DAISYSPOOL_RUNNER_LEASECLOCK_H
#define DAISYSPOOL_RUNNER_LEASECLOCK_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/runner/WorkerPort.h"

#include <optional>

namespace daisyspool::runner {

/// Translates times of the agent's clock into times of its worker's clock such
/// that a lease on the worker never outlasts the time it was meant for.
///
/// Thread safety: one thread at a time.
class LeaseClock {
public:
  /// The worker read \p Reading not later than \p ReceivedAt.
  void observe(WorkerClock Reading, TimePoint ReceivedAt);

  /// A reading that the worker's clock has reached by \p End, even if it runs
  /// slow. Nothing before the first observation.
  std::optional<WorkerClock> reachedBy(TimePoint End) const;

  /// Drops all observations, for a new life of the worker.
  void reset() { Newest.reset(); }

private:
  /// Parts in a thousand by which a worker's clock may run slow, as the
  /// platform states.
  static constexpr std::int64_t MaxSlowPerMille = 20;

  struct Observation {
    WorkerClock Reading;
    TimePoint ReceivedAt;
  };
  std::optional<Observation> Newest;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_LEASECLOCK_H
