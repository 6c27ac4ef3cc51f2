#ifndef DAISYSPOOL_SCHEDULING_VMSTATE_H
#define DAISYSPOOL_SCHEDULING_VMSTATE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/scheduling/RunForecast.h"
#include "daisyspool/scheduling/VmHistory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisyspool::scheduling {

using runner::EndNumber;
using runner::RunNumber;
using runner::WorkerLife;
using workload::TaskName;

/// Number of a transaction of the leader; 0 is none.
using CommitNumber = StrongNumber<struct CommitNumberTag>;

/// A run that is, or may be, on a VM's worker. It holds its resources until
/// its end is reported or certain.
struct Assignment {
  RunNumber Run;
  WorkerLife Life;
  /// Resources that count against the worker's capacity.
  Resources Held;
  /// Processors that a best-effort run uses without holding them; else 0.
  MilliCores BestEffortCpu;
  int Priority = 0;
  bool Checkpoints = false;
  bool LongRunning = false;
  workload::ImageId Image;
  /// Upper bound for the tail latency of a serving task; 0 for other tasks.
  Millis TailTarget{0};
  /// The newest reported load: tail latency in ms of a serving task, else
  /// millicores in use.
  std::int64_t Load = 0;
  /// The transaction that makes the assignment durable; the start order is not
  /// sent before.
  CommitNumber Commit;
  /// The sync that carried the start order; 0 if it has to be sent.
  std::uint64_t SentInSync = 0;
  /// The newest sync that carried the start order; 0 if none did. The agent
  /// ignores orders of an older sync once it has answered a newer one.
  std::uint64_t NewestOrderSync = 0;
  /// A worker has listed the run or its end.
  bool Started = false;
  bool Stopping = false;
  /// The sync that carried the stop order; 0 if it has to be sent.
  std::uint64_t StopSentInSync = 0;
  std::uint32_t Percent = 0;
  RunForecast Forecast;
  /// Number of the VM's newest reply that lists the run.
  std::uint64_t ListedInReply = 0;
  /// Number of the VM's newest reply that lists an unsettled order for the run.
  std::uint64_t OrderListedInReply = 0;
  TimePoint AssignedAt{};
};

/// An end that was applied and is not durably recorded yet.
struct AppliedEnd {
  EndNumber Number;
  TaskName Task;
  /// The transaction that records the end; 0 while the row with the task waits
  /// to be written.
  CommitNumber Commit;
};

/// Whether a task of priority \p Priority may preempt the run.
constexpr bool isPreemptible(const Assignment &Run, int Priority) {
  return Run.Priority > Priority && !Run.LongRunning;
}

/// The runs of a VM that tasks of one priority may preempt.
struct PreemptibleRuns {
  int Priority = 0;
  /// Cheapest first.
  std::vector<std::pair<TaskName, const Assignment *>> ByCost;
  /// All runs before this one are being stopped.
  std::size_t FirstRunning = 0;
  /// The resources of the runs in ByCost that are not being stopped.
  Resources Held;
  /// The resources of all runs of the VM that are being stopped.
  Resources StoppingHeld;
};

/// The largest ratio of tail to target among the tasks of one serving image on
/// a VM.
struct ServiceTail {
  workload::ImageId Image;
  double Ratio = 0;
};

/// What the leader knows about one VM, its agent and its worker.
struct VmState {
  VmId Id;
  std::optional<runner::WorkerReport> Worker;
  RackId Rack;
  /// Of the newest worker; empty while none was ever seen.
  std::optional<FailureDomainId> FailureDomain;
  /// No task may be started here.
  bool Evacuated = false;
  std::uint64_t AgentIncarnation = 0;
  std::uint64_t NewestStamp = 0;
  TimePoint LastReply{};
  /// Number of replies received.
  std::uint64_t Replies = 0;
  /// Until then the worker may keep running tasks, whatever is reported.
  TimePoint LatestGrantExpiry{};
  std::uint64_t LastSync = 0;
  /// Ends and refusals of the worker's current life that were applied, and the
  /// ends that are durably recorded.
  WorkerLife EndsLife;
  EndNumber EndsApplied;
  EndNumber EndsRecorded;
  /// The newest end that a sync has acknowledged.
  EndNumber EndsAcknowledged;
  /// The ends after EndsRecorded that were applied, in order.
  std::deque<AppliedEnd> UnrecordedEnds;
  std::uint64_t RefusalsApplied = 0;
  std::map<TaskName, Assignment> Assigned;
  Resources Held;
  MilliCores BestEffortCpu;
  /// The part of Held that belongs to serving tasks.
  MilliCores ServingHeldCpu;
  /// Resources kept free in the current scheduling pass for a service that
  /// waits for short tasks to end.
  Resources Reserved;
  /// Cached expected tails: with the current runs, and by image with one more
  /// best-effort task. Cleared when the runs or their loads change.
  std::optional<std::vector<ServiceTail>> CurrentTails;
  std::map<workload::ImageId, double> ExpectedTails;
  /// Cached; cleared when the runs change. Load pattern: hundreds of urgent
  /// jobs wait beside thousands of small runs.
  std::optional<PreemptibleRuns> Preemptible;
  /// Incremented by each failed or stalled run, halved by each successful one.
  double FailureScore = 0;
  /// Until then the VM gets at most one task at a time.
  TimePoint ProbationUntil{};
  VmHistory History;
  /// Until then a draining worker surely runs.
  TimePoint LeavesAt{};

  Resources free() const { return Worker->Capacity - Held - Reserved; }

  void clearExpectedTails() {
    CurrentTails.reset();
    ExpectedTails.clear();
  }
  /// Adds an assignment and counts its resources as held.
  void assign(const TaskName &Task, const Assignment &Run);
  /// Marks an assignment of this VM as being stopped.
  void markStopping(Assignment &Run);
  /// Removes an assignment and frees its resources.
  void release(const TaskName &Task);
  /// Advances EndsRecorded over the ends whose transaction is durable, up to
  /// the first whose is not.
  void recordEnds(CommitNumber Durable);
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_VMSTATE_H
