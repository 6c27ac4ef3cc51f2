#ifndef DAISYSPOOL_JOBS_SHARDOWNER_H
#define DAISYSPOOL_JOBS_SHARDOWNER_H

#include "daisyspool/core/Random.h"
#include "daisyspool/jobs/AttemptLeases.h"
#include "daisyspool/jobs/JobTable.h"
#include "daisyspool/journal/ShardJournal.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

/// One submission of a caller, as numbered by the entry that received it.
struct CallerRef {
  ProcessId Entry;
  std::uint64_t Sequence = 0;

  MSGPACK_DEFINE_ARRAY(Entry, Sequence)
};

/// An entry's messages to the owner of a shard. An entry never repeats one, and
/// a copy made on the way is dropped.
struct SubmitForward {
  CallerRef From;
  JobSubmitted Job;

  MSGPACK_DEFINE_ARRAY(From, Job)
};

struct CancelForward {
  CallerRef From;
  JobId Job;
  CallerId By;

  MSGPACK_DEFINE_ARRAY(From, Job, By)
};

struct ClaimForward {
  CallerRef From;
  RequestId Request;
  CallerId Caller;
  ServiceId Service;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(From, Request, Caller, Service, Body)
};

/// NotRun: this submission had no effect and never will. Unknown: the request
/// may have been run.
enum class AnswerKind {
  Accepted,
  Answered,
  NotRun,
  Unknown,
  Conflict,
  NotFound,
  TooLarge
};

struct CallerAnswer {
  CallerRef To;
  AnswerKind Kind = AnswerKind::Unknown;
  int Status = 0;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(To, Kind, Status, Body)
};

/// What the entry has to send.
using Action = std::variant<StartOrder, StopOrder, RenewalReply, RunOrder,
                            QueryOrder, CallerAnswer>;

struct ShardOwnerSettings {
  Duration TaskLease = Millis(10'000);
  Duration ShardLease = Millis(6000);
  Duration AppendEvery = Millis(100);
  Duration SnapshotEvery = Millis(10'000);
  /// Pace of repeated orders, which looks at every live task, and of reads of
  /// the head by a candidate.
  Duration RepeatEvery = Millis(2000);
  Duration ObserveEvery = Millis(2000);
  /// An agent that is silent about a request is asked at this pace, and the
  /// request is settled as unknown at the limit.
  Duration QueryEvery = Millis(2000);
  Duration SettleLimit = Millis(60'000);
  /// How long ended jobs and answers are kept for callers that ask again.
  Duration RetainEnded = std::chrono::hours(1);
  Duration BackoffBase = Millis(50);
  Duration BackoffCap = Millis(1000);
};

/// One entry's part for one shard: as a candidate it watches the log, as the
/// owner it runs the shard's job table.
///
/// Inputs change the table at once and queue events. step() appends the queue
/// as one batch and returns the actions whose events are durable, and only
/// while the shard lease is valid. A fenced owner drops everything. The entry
/// calls step() on every duty step and sends what it returns; placement and
/// routing choose the VMs.
///
/// Thread safety: one thread. step() may block in the platform's services.
class ShardOwner {
public:
  /// Bound of a batch and of one event, below the table service's 400 KB for a
  /// row.
  static constexpr std::size_t MaxBatchBytes = 300 * 1024;

  ShardOwner(ShardId Shard, ShardJournal &Journal, const Clock &Time,
             std::uint64_t Seed, ShardOwnerSettings Settings = {});
  ShardOwner(const ShardOwner &) = delete;
  ShardOwner &operator=(const ShardOwner &) = delete;

  /// Observes, takes over, replays, settles, appends or renews, whatever is
  /// due. Throws JournalCorrupt or InvalidEvent if the log is damaged, and
  /// PlatformProtocolError.
  std::vector<Action> step();

  /// Whether this process owns the shard, has replayed it and may accept work.
  bool accepts() const;

  /// A caller's job. Answers Accepted once it is durable.
  void submit(const SubmitForward &Message);

  /// A caller's wish to cancel a job. Answers Accepted once it is durable.
  void cancel(const CancelForward &Message);

  /// A non-idempotent request, to be run under \p Grant if its id is new.
  /// Without a grant a new request is refused.
  void claim(const ClaimForward &Message,
             const std::optional<AgentGrant> &Grant);

  /// Starts the next attempt of a waiting task on the VM of \p Grant. Returns
  /// false if the task is not waiting or the owner accepts no work.
  bool start(const TaskId &Task, const AgentGrant &Grant);

  /// Asks for a checkpoint of a running task and ends the attempt as evicted
  /// once the checkpoint is on record and the stop is confirmed. Returns false
  /// if the task may not be evicted.
  bool evict(const TaskId &Task);

  void onRenewal(const RenewalRequest &Request);
  void onStartReply(const StartReply &Reply);
  void onStopReply(const StopReply &Reply);
  void onRequestReport(const RequestReport &Report);

  /// The table, which is ahead of what is durable.
  const JobTable &table() const { return Table; }

  /// The newest grant of each agent that renews with this owner.
  const std::map<VmId, AgentGrant> &grants() const { return Grants; }

private:
  /// An action that waits until batch number Needs is durable.
  struct Held {
    Action Message;
    std::uint64_t Needs = 0;
  };

  /// Sequence numbers of one entry's submissions that were handled.
  struct SeenForwards {
    std::uint64_t Floor = 0;
    std::set<std::uint64_t> Above;
  };

  /// What this owner knows of a claim beyond the log.
  struct ClaimProgress {
    TimePoint LastHeard;
    TimePoint LastAsked;
    std::vector<CallerRef> Waiters;
  };

  /// Something that has ended and when.
  struct Ending {
    TimePoint At;
    std::variant<JobId, RequestId> What;
  };

  bool takeOver();
  bool replay();
  void persist();
  void appendBatch();
  void reset();
  void backOff();
  void repeatOrders();
  void repeatTaskOrders(const TaskId &Task);
  void chaseClaim(const RequestId &Request);
  void orderStop(const TaskId &Task);
  void noteEnding(const Event &Change);
  void retire();
  std::vector<Action> release();
  bool stillValid(const StartOrder &Order) const;
  bool stillValid(const RunOrder &Order) const;
  template <typename Other> bool stillValid(const Other &) const {
    return true;
  }

  void record(const std::vector<Event> &Events);
  void emit(Action Message);
  void answer(const CallerRef &To, AnswerKind Kind);
  void refuse(const CallerRef &To);
  void answerSettled(const CallerRef &To, const RequestEnded &End);
  bool isRepeat(const CallerRef &From);
  void addWaiter(const CallerRef &From, const RequestId &Request);
  void finishAttempt(const TaskId &Task, AttemptNumber Attempt,
                     EndReason Reason);
  void settle(const RequestEnded &End);
  RenewalDecision rule(const HeldAttempt &Held);
  bool evictionIsReady(const TaskId &Task) const;
  bool isCancelled(const TaskId &Task) const;

  ShardId Shard;
  ShardJournal &Journal;
  const Clock &Time;
  Random Jitter;
  ShardOwnerSettings Settings;

  JobTable Table;
  AttemptLeases Leases;
  bool Replayed = false;
  /// Whether the shard lease was valid at the last step.
  bool Acting = false;
  std::vector<Event> Batch;
  /// Number of the batch that Batch becomes, and of the newest durable one.
  std::uint64_t NextBatch = 1;
  std::uint64_t DurableBatch = 0;
  std::deque<Held> Outbox;
  std::vector<Action> Refusals;

  std::map<VmId, AgentGrant> Grants;
  std::map<TaskId, AgentGrant> StartGrants;
  /// Tasks being evicted, with the number of the checkpoint on record when
  /// that began.
  std::map<TaskId, std::uint64_t> Evicting;
  std::map<RequestId, ClaimProgress> Claims;
  std::map<ProcessId, SeenForwards> Forwards;
  std::deque<Ending> Endings;

  std::optional<TimePoint> LastObserve;
  std::optional<TimePoint> LastAppend;
  std::optional<TimePoint> LastSnapshot;
  std::optional<TimePoint> LastRepeat;
  TimePoint RetryAt{};
  std::uint32_t FailedCalls = 0;
};

} // namespace daisyspool

template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::AnswerKind> =
    static_cast<int>(daisyspool::AnswerKind::TooLarge);

#endif // DAISYSPOOL_JOBS_SHARDOWNER_H
