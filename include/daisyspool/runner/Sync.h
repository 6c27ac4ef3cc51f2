#ifndef DAISYSPOOL_RUNNER_SYNC_H
#define DAISYSPOOL_RUNNER_SYNC_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::runner {

using workload::RunNumber;
using workload::TaskName;

/// Identifies one life of the worker on an agent's VM by the time of its start.
using WorkerLife = StrongNumber<struct WorkerLifeTag>;
/// Number of an ended run within one life of a worker, counted from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

/// Identifies one run of a task.
struct RunName {
  TaskName Task;
  RunNumber Run;

  auto operator<=>(const RunName &) const = default;
};

enum class EndCause : std::uint8_t {
  Done,
  /// Failed by its own fault or the worker's.
  Failed,
  Stopped,
  /// The worker's lease expired.
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// The other members of the gang did not start.
  Alone
};
inline constexpr int EndCauseCount = 6;

struct RunningTask {
  RunName Name;
  std::string Checkpoint;
  /// Work done, 0 to 100; a serving task has started up at 100.
  std::uint32_t Percent = 0;
  /// Tail latency in ms of a serving task, otherwise the CPU in use, in
  /// thousandths of a core.
  std::int64_t Load = 0;
};

struct EndedTask {
  EndNumber Number;
  RunName Name;
  EndCause Cause = EndCause::Failed;
  std::string Checkpoint;
};

/// Why an agent did not start a run. In each case the run is not on the worker
/// and never will be.
enum class RefusalReason : std::uint8_t {
  NoRoom,
  /// The worker already had this run or a later one.
  Old,
  /// No lease is left that is long enough.
  Late,
  /// The worker is draining or has restarted.
  Leaving,
  /// The worker declined because of its own state.
  Unhealthy,
  /// The run was stopped before it started.
  Cancelled
};
inline constexpr int RefusalReasonCount = 6;

struct RefusedRun {
  std::uint64_t Number = 0;
  RunName Name;
  RefusalReason Reason = RefusalReason::Unhealthy;
};

struct StartOrder {
  RunName Name;
  WorkerLife Life;
  std::string Spec;
  std::string Checkpoint;
  /// Tasks of one image behave alike.
  workload::ImageId Image;
  bool FillsIdleCpu = false;
  /// Tail latency that a serving task must stay below; 0 if it serves nobody.
  Millis TailTarget{0};
  /// Time without progress after which the run counts as stalled; 0 for never.
  Millis StallAfter{0};
  /// Images of serving tasks that this task is known not to disturb.
  std::vector<workload::ImageId> HarmlessTo;
};

/// The leader's request to an agent.
struct SyncRequest {
  Epoch Leader;
  std::uint64_t Number = 0;
  /// The newest stamp that this leader got from the agent; 0 for none.
  std::uint64_t EchoedStamp = 0;
  /// Incarnation of the agent process that made the stamp.
  std::uint64_t StampedBy = 0;
  /// How long after the stamp the agent may let the worker's lease last.
  Millis Grant{0};
  /// Ends of this life up to EndsRecorded are stored and need not be listed
  /// again.
  WorkerLife EndsLife;
  EndNumber EndsRecorded;
  std::uint64_t RefusalsSeen = 0;
  std::vector<StartOrder> Starts;
  std::vector<RunName> Stops;
  /// How long the agent may wait for changes before it replies.
  Millis Wait{0};
};

/// What an agent knows about the worker on its VM.
struct WorkerReport {
  WorkerLife Life;
  TargetId Id;
  ServiceId Service;
  FailureDomainId FailureDomain;
  Resources Capacity;
  std::vector<std::string> Labels;
  bool Draining = false;
  /// Minimum time left to the worker while it drains.
  Millis Remaining{0};

  bool operator==(const WorkerReport &) const = default;
};

/// An agent's reply: always a full snapshot, so that any leader can reconcile
/// from a single reply.
struct SyncReply {
  /// False if the agent follows a newer leader; apart from Newest the other
  /// fields have no meaning then.
  bool Accepted = false;
  Epoch Newest;
  std::uint64_t AgentIncarnation = 0;
  /// The agent's clock in ms when it made this reply; the leader echoes it.
  std::uint64_t Stamp = 0;
  /// Time left of the agent's grant: how long the worker may keep running
  /// without a new leader's grant.
  Millis GrantLeft{0};
  /// The worker does not answer and its lease has certainly expired.
  bool LeaseExpired = false;
  std::optional<WorkerReport> Worker;
  std::vector<RunningTask> Running;
  /// Runs with a start or stop order that is not settled, and runs whose end
  /// the worker may have had no room to list, so that they may be running.
  std::vector<RunName> Starting;
  std::vector<EndedTask> Ended;
  std::vector<RefusedRun> Refused;
  /// Runs without progress for longer than their StallAfter.
  std::vector<RunName> Stalled;
};

/// Serialize and parse the two messages.
///
/// Thread safety: safe from any thread. Errors: the parse functions throw
/// ProtocolError for anything malformed.
std::string encode(const SyncRequest &Request);
std::string encode(const SyncReply &Reply);
SyncRequest decodeSyncRequest(std::string_view Bytes);
SyncReply decodeSyncReply(std::string_view Bytes);

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_SYNC_H
