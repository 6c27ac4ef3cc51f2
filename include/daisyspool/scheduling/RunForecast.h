#ifndef DAISYSPOOL_SCHEDULING_RUNFORECAST_H
#define DAISYSPOOL_SCHEDULING_RUNFORECAST_H

#include "daisyspool/core/Clock.h"

#include <cstdint>

namespace daisyspool::scheduling {

/// Estimates how long a run still takes from the progress that its worker
/// lists. The caller's estimate counts until progress has been seen, as it may
/// be wrong by a factor and does not know how fast the VM is.
///
/// Thread safety: one thread at a time. Does no I/O.
class RunForecast {
public:
  /// Records that a worker listed the run with \p Percent of its work done.
  /// Precondition: \p Now does not decrease.
  void observe(std::uint32_t Percent, TimePoint Now);

  /// The time until the run ends, at least 0. \p Estimate is the caller's
  /// estimate for the whole task and \p AssignedAt when the run was assigned.
  Millis remaining(Millis Estimate, TimePoint AssignedAt, TimePoint Now) const;

private:
  bool Listed = false;
  /// The first listing: a run that resumes from a checkpoint begins above 0.
  std::uint32_t FirstPercent = 0;
  TimePoint FirstAt{};
  /// The newest listing that showed progress.
  std::uint32_t Percent = 0;
  TimePoint ProgressAt{};
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_RUNFORECAST_H
