#ifndef DAISYSPOOL_RUNNER_LEASECLOCK_H
#define DAISYSPOOL_RUNNER_LEASECLOCK_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/runner/WorkerPort.h"

#include <optional>

namespace daisyspool::runner {

/// Converts times of the agent's clock to times of its worker's clock so that a
/// lease on the worker never outlasts the intended end.
///
/// Thread safety: one thread at a time.
class LeaseClock {
public:
  /// Records that the worker's clock showed \p Reading no later than at \p
  /// ReceivedAt.
  void observe(WorkerClock Reading, TimePoint ReceivedAt);

  /// Returns a time that the worker's clock reaches by \p End even if it runs
  /// slow; nothing before the first observation.
  std::optional<WorkerClock> toWorkerClock(TimePoint End) const;

  /// Drops all observations, for a new life of the worker.
  void reset() { Newest.reset(); }

private:
  /// How much a worker's clock may run slow, in parts per thousand, as the
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
