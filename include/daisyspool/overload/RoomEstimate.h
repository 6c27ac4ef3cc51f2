#ifndef DAISYSPOOL_OVERLOAD_ROOMESTIMATE_H
#define DAISYSPOOL_OVERLOAD_ROOMESTIMATE_H

#include "daisyspool/overload/JobDemand.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyspool::overload {

/// How long a job of at least \c Work millicore-milliseconds waits.
struct WaitStep {
  std::int64_t Work = 0;
  /// For the jobs that are in time when it is their turn.
  Millis InTimeWait{0};
  /// Also for those that are late but of use.
  Millis Wait{0};

  bool operator==(const WaitStep &) const = default;
};

/// How long jobs that are submitted now wait for room at least, by queue. The
/// steps of a queue ascend; a queue that is not listed has room. Empty while
/// there is room for all.
struct RoomEstimate {
  std::map<workload::QueueId, std::vector<WaitStep>> Waits;

  bool operator==(const RoomEstimate &) const = default;
};

/// An estimate that is older says nothing about the room that there is now;
/// four renewals of the leader's status.
inline constexpr Millis MaxEstimateAge{2000};

/// Estimates from the jobs that are certain to get room before a new one: those
/// of a higher priority, and those of the same priority that are not larger. It
/// takes as room all that is not kept by long-running tasks, so that jobs wait
/// no less than it says.
///
/// Thread safety: safe from any thread.
RoomEstimate estimateWaits(const std::vector<JobDemand> &Jobs, const Room &Free,
                           TimePoint Now);

/// Why and until when a job is refused.
struct Refusal {
  /// How long the job would wait at least.
  Millis Wait{0};
  /// The longest wait after which it would be of use.
  Millis LongestWait{0};
  Millis RetryAfter{0};
};

/// Refuses a job, which has not been stored, if its result can no longer be of
/// use once it gets room. An estimate of which nothing is known or that is too
/// old accepts it.
///
/// The time to retry is that at which a job of this size is expected to be in
/// time, so that large jobs and those of low priority return last, and is
/// spread over the same time again by the id.
///
/// Load pattern: a queue so long that callers would wait in vain.
///
/// Thread safety: safe from any thread.
std::optional<Refusal> refuse(const JobDemand &Job,
                              const RoomEstimate &Estimate, Millis Age);

} // namespace daisyspool::overload

#endif // DAISYSPOOL_OVERLOAD_ROOMESTIMATE_H
