#ifndef DAISYSPOOL_SCHEDULING_VMSTATE_H
#define DAISYSPOOL_SCHEDULING_VMSTATE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/runner/Sync.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool::scheduling {

using runner::EndNumber;
using runner::RunNumber;
using runner::WorkerLife;
using workload::TaskName;

/// Number of a transaction of the leader; 0 is none.
using CommitNumber = StrongNumber<struct CommitNumberTag>;

/// A run that is, or may be, on a VM's worker. It holds its resources until
/// its end is listed or is certain.
struct Assignment {
  RunNumber Run;
  WorkerLife Life;
  /// What counts against the worker's capacity.
  Resources Held;
  /// Processors it would use although they are not held.
  MilliCores Filling;
  int Priority = 0;
  bool Checkpoints = false;
  bool LongRunning = false;
  workload::ImageId Image;
  /// Tail latency that a serving task must stay below; 0 if it serves nobody.
  Millis TailTarget{0};
  /// The newest figure: tail latency in ms of a serving task, else thousandths
  /// of a core in use.
  std::int64_t Load = 0;
  /// The transaction that makes it durable; it is not ordered before.
  CommitNumber Commit;
  /// The sync that carried the order; 0 if it has to be sent.
  std::uint64_t SentIn = 0;
  /// The newest sync that carried the order; 0 if none did. The agent takes no
  /// order from an older sync once it has answered a newer one.
  std::uint64_t NewestOrder = 0;
  bool Stopping = false;
  std::uint64_t StopSentIn = 0;
  std::uint32_t Percent = 0;
  /// The newest of the VM's replies that names it.
  std::uint64_t ListedIn = 0;
  TimePoint Since{};
};

/// The largest quotient of tail and target on a VM among the tasks of one
/// serving image.
struct ServiceTail {
  workload::ImageId Image;
  double Quotient = 0;
};

/// What the leader knows of one VM, its agent and its worker.
struct VmState {
  VmId Id;
  std::optional<runner::WorkerReport> Worker;
  RackId Rack;
  std::uint64_t AgentIncarnation = 0;
  std::uint64_t NewestStamp = 0;
  TimePoint LastReply{};
  /// Replies so far.
  std::uint64_t Replies = 0;
  /// Until then the worker may run on, whatever is heard.
  TimePoint GrantBound{};
  std::uint64_t LastSync = 0;
  /// Ends and refusals of the present life that were applied, and those that
  /// are recorded durably.
  WorkerLife EndsOf;
  EndNumber EndsApplied;
  EndNumber EndsRecorded;
  /// Ends that become recorded with the transaction EndsCommit.
  EndNumber EndsInCommit;
  CommitNumber EndsCommit;
  std::uint64_t RefusalsApplied = 0;
  std::map<TaskName, Assignment> Assigned;
  Resources Held;
  MilliCores Filling;
  /// The part of Held that serving tasks hold.
  MilliCores ServingHeld;
  /// Room that is kept, in the present pass, for a service that waits for
  /// short tasks to end.
  Resources Reserved;
  /// The tails to expect with the present runs, and with a further filling task
  /// by its image; dropped when the runs or their figures change.
  std::optional<std::vector<ServiceTail>> PresentTails;
  std::map<workload::ImageId, double> ExpectedTails;
  /// Grows with each failed end and halves with each good one.
  double FailureScore = 0;
  /// No more than one new task at a time until then.
  TimePoint ProbationUntil{};

  Resources free() const { return Worker->Capacity - Held - Reserved; }

  void dropExpectedTails() {
    PresentTails.reset();
    ExpectedTails.clear();
  }
  /// Adds an assignment and what it holds.
  void assign(const TaskName &Task, const Assignment &What);
  /// Removes an assignment and frees what it held.
  void release(const TaskName &Task);
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_VMSTATE_H
