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

/// One life of the worker beside an agent: the time of its start.
using WorkerLife = StrongNumber<struct WorkerLifeTag>;
/// Number of an end within one life of a worker, from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

struct RunName {
  TaskName Task;
  RunNumber Run;

  auto operator<=>(const RunName &) const = default;
};

enum class EndCause : std::uint8_t {
  Done,
  /// By its own fault or the worker's.
  Failed,
  Stopped,
  /// The worker's lease expired.
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// The other members of the gang did not come.
  Alone
};
inline constexpr int EndCauseCount = 6;

struct RunningTask {
  RunName Name;
  std::string Checkpoint;
  /// Work done, 0 to 100; at 100 a serving task is at work.
  std::uint32_t Percent = 0;
  /// Tail latency in ms of a task that serves, else the processors in use.
  std::int64_t Load = 0;
};

struct EndedTask {
  EndNumber Number;
  RunName Name;
  EndCause Cause = EndCause::Failed;
  std::string Checkpoint;
};

/// Why an agent did not start a run. In every case the run is not on the
/// worker and never will be.
enum class RefusalReason : std::uint8_t {
  NoRoom,
  /// The run, or a later one, has been there before.
  Old,
  /// No lease that is long enough.
  Late,
  /// The worker draws back from new work or has another life.
  Leaving,
  /// The worker declined for its own state.
  Unhealthy,
  /// It was stopped before it was there.
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
  Millis TailTarget{0};
  /// Without progress for so long the run counts as stalled; 0 is never.
  Millis StallAfter{0};
  /// Images of serving tasks that this one is known not to disturb.
  std::vector<workload::ImageId> HarmlessTo;
};

/// What the leading entry tells an agent.
struct SyncRequest {
  Epoch Leader;
  std::uint64_t Number = 0;
  /// The newest stamp that this leader got from the agent; 0 for none.
  std::uint64_t EchoedStamp = 0;
  /// Names the agent process that made the stamp.
  std::uint64_t StampedBy = 0;
  /// How long after the stamp the agent may let its worker run on.
  Millis Grant{0};
  /// Ends of this life that are recorded and need not be listed again.
  WorkerLife EndsLife;
  EndNumber EndsRecorded;
  std::uint64_t RefusalsSeen = 0;
  std::vector<StartOrder> Starts;
  std::vector<RunName> Stops;
  /// How long the agent may wait for news before it answers.
  Millis Wait{0};
};

/// What an agent knows of the worker on its VM.
struct WorkerReport {
  WorkerLife Life;
  TargetId Id;
  ServiceId Service;
  FailureDomainId FailureDomain;
  Resources Capacity;
  std::vector<std::string> Labels;
  bool Draining = false;
  /// Least time left while it drains.
  Millis Remaining{0};

  bool operator==(const WorkerReport &) const = default;
};

/// An agent's answer: always a whole snapshot, so that any leader can
/// reconcile from one.
struct SyncReply {
  /// False if the agent follows a newer leader; nothing else is meant then.
  bool Accepted = false;
  Epoch Newest;
  std::uint64_t AgentIncarnation = 0;
  std::uint64_t Stamp = 0;
  /// What is left of the agent's grant, so that a new leader knows how long
  /// the worker may run on without it.
  Millis GrantLeft{0};
  /// The worker is silent and its lease has expired for certain.
  bool LeaseExpired = false;
  std::optional<WorkerReport> Worker;
  std::vector<RunningTask> Running;
  /// Ordered and not yet certain to be running.
  std::vector<RunName> Starting;
  std::vector<EndedTask> Ended;
  std::vector<RefusedRun> Refused;
  /// Runs without progress for longer than the agent's bound.
  std::vector<RunName> Stalled;
};

/// Serialize and parse the two messages.
///
/// Thread safety: safe from any thread. Errors: the parse functions throw
/// ProtocolError for anything malformed.
std::string encode(const SyncRequest &What);
std::string encode(const SyncReply &What);
SyncRequest decodeSyncRequest(std::string_view Bytes);
SyncReply decodeSyncReply(std::string_view Bytes);

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_SYNC_H
