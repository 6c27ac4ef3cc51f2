#ifndef DAISYSPOOL_OVERLOAD_JOBDEMAND_H
#define DAISYSPOOL_OVERLOAD_JOBDEMAND_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <map>

namespace daisyspool::overload {

/// A result is worth something to its caller up to this many times the target
/// time.
inline constexpr int UsefulFactor = 3;

/// What a job can still be worth to its caller.
enum class Lateness : std::uint8_t { InTime, Late, Useless };

/// What the order of jobs depends on: the caller's own job and the policy of
/// its queue. The referenced objects outlive the demand.
struct JobDemand {
  const JobId *Id = nullptr;
  const workload::QueuePolicy *Policy = nullptr;
  /// A step runs until the job is cancelled.
  bool LongRunning = false;
  /// Each occurrence has a target of its own, which the fields below do not
  /// state.
  bool Repeats = false;
  /// A step runs on processors that others leave idle.
  bool FillsIdleCpu = false;
  /// A task has run or runs.
  bool Begun = false;
  /// Among the largest tenth of the queue's jobs.
  bool Large = false;
  TimePoint Arrival{};
  TimePoint TargetCompletion{};
  /// How long the job could wait at its arrival and still be in time.
  Millis InitialSlack{0};
  /// When the newest run ended, or the arrival.
  TimePoint IdleSince{};
  /// The longest chain of steps that are not complete, of one task each.
  Millis RemainingPath{0};
  /// Work of the tasks that are not done, in millicore-milliseconds.
  std::int64_t RemainingWork = 0;
  std::uint32_t ReadyTasks = 0;
  std::uint32_t AssignedTasks = 0;
};

/// The processors that jobs of a service can get: those of the VMs that take
/// tasks, without those that long-running tasks keep.
struct ServiceRoom {
  /// Of jobs that reserve processors.
  MilliCores ToReserve;
  /// Of jobs that use processors which others leave idle.
  MilliCores ToFill;
};
using Room = std::map<ServiceId, ServiceRoom>;

/// The time from arrival to the target. Thread safety: safe from any thread.
Millis objectiveOf(const JobDemand &Job);

/// How late the job is if nothing holds it up any more.
///
/// Thread safety: safe from any thread.
Lateness latenessOf(const JobDemand &Job, TimePoint Now);

/// As latenessOf(), but a long-running job is always in time, as it is worth
/// the more the sooner it runs, and so is one with repetitions.
///
/// Thread safety: safe from any thread.
Lateness worthOf(const JobDemand &Job, TimePoint Now);

/// Whether the job is in time and has used up half of the time that it can
/// wait. A long-running job that has lost tasks has none.
///
/// Thread safety: safe from any thread.
bool isAtRisk(const JobDemand &Job, TimePoint Now);

} // namespace daisyspool::overload

#endif // DAISYSPOOL_OVERLOAD_JOBDEMAND_H
