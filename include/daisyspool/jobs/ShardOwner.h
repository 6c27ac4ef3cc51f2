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

/// Identifies a caller's submission by the entry that received it and the
/// number that this entry gave it.
struct CallerRef {
  ProcessId Entry;
  std::uint64_t Sequence = 0;

  MSGPACK_DEFINE_ARRAY(Entry, Sequence)
};

/// Messages of an entry to the owner of a shard. An entry sends each of them
/// once, and the owner drops copies that were made in transit.
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

/// A message that the entry has to send for the owner.
using Action = std::variant<StartOrder, StopOrder, RenewalReply, RunOrder,
                            QueryOrder, CallerAnswer>;

struct ShardOwnerSettings {
  Duration TaskLease = Millis(10'000);
  Duration ShardLease = Millis(6000);
  Duration AppendEvery = Millis(100);
  Duration SnapshotEvery = Millis(10'000);
  /// Interval at which the owner repeats orders, which visits every live task,
  /// and interval at which a candidate reads the head of the log.
  Duration RepeatEvery = Millis(2000);
  Duration ObserveEvery = Millis(2000);
  /// Interval at which the agent of an unsettled request is queried. Without a
  /// report for SettleLimit the request is settled as unknown.
  Duration QueryEvery = Millis(2000);
  Duration SettleLimit = Millis(60'000);
  /// Time for which ended jobs and settled requests are kept for callers that
  /// repeat a call.
  Duration RetainEnded = std::chrono::hours(1);
  Duration BackoffBase = Millis(50);
  Duration BackoffCap = Millis(1000);
};

/// An entry's role for one shard: as a candidate it watches the log, as the
/// owner it runs the shard's job table.
///
/// Inputs change the table at once and queue events. step() appends the queued
/// events as one batch. It returns only actions whose events are durable, and
/// only while the shard lease is valid. A fenced owner drops its state. The
/// entry calls step() on every duty step and sends the actions it returns;
/// placement and routing choose the VMs.
///
/// Thread safety: one thread. step() may block in the platform's services.
class ShardOwner {
public:
  /// Maximum size of a batch and of one event, below the row limit of 400 KB of
  /// the table service.
  static constexpr std::size_t MaxBatchBytes = 300 * 1024;

  ShardOwner(ShardId Shard, ShardJournal &Journal, const Clock &Time,
             std::uint64_t Seed, ShardOwnerSettings Settings = {});
  ShardOwner(const ShardOwner &) = delete;
  ShardOwner &operator=(const ShardOwner &) = delete;

  /// Does what is due: observes, takes over or replays the log, settles a
  /// write, appends events or renews the shard lease. Throws JournalCorrupt or
  /// InvalidEvent if the log is damaged, and PlatformProtocolError.
  std::vector<Action> step();

  /// Whether this process owns the shard, has replayed it and may accept work.
  bool accepts() const;

  /// Accepts a caller's job. Answers Accepted once the job is durable.
  void submit(const SubmitForward &Message);

  /// Cancels a job for its caller. Answers Accepted once the cancellation is
  /// durable.
  void cancel(const CancelForward &Message);

  /// Claims a non-idempotent request, which is run under \p Grant if its id is
  /// new. Without a grant a new request is refused.
  void claim(const ClaimForward &Message,
             const std::optional<AgentGrant> &Grant);

  /// Starts the next attempt of a waiting task on the VM of \p Grant. Returns
  /// false if the task is not waiting or the owner accepts no work.
  bool start(const TaskId &Task, const AgentGrant &Grant);

  /// Asks for a checkpoint of a running task and ends the attempt as evicted
  /// once the checkpoint is recorded and the stop is confirmed. Returns false
  /// if the task may not be evicted.
  bool evict(const TaskId &Task);

  void onRenewal(const RenewalRequest &Request);
  void onStartReply(const StartReply &Reply);
  void onStopReply(const StopReply &Reply);
  void onRequestReport(const RequestReport &Report);

  /// The job table, which includes events that are not durable yet.
  const JobTable &table() const { return Table; }

  /// The newest grant of each agent that renews with this owner.
  const std::map<VmId, AgentGrant> &grants() const { return Grants; }

private:
  /// An action that waits until batch number RequiredBatch is durable.
  struct PendingAction {
    Action Message;
    std::uint64_t RequiredBatch = 0;
  };

  /// Sequence numbers of the handled submissions of one entry: all up to Floor,
  /// and those in Above.
  struct SeenForwards {
    std::uint64_t Floor = 0;
    std::set<std::uint64_t> Above;
  };

  /// State of an unsettled claim that the log does not hold.
  struct ClaimProgress {
    TimePoint LastReport;
    TimePoint LastQuery;
    std::vector<CallerRef> Waiters;
  };

  /// A job or request that has ended and is not yet retired.
  struct EndedItem {
    TimePoint EndedAt;
    std::variant<JobId, RequestId> Id;
  };

  bool tryTakeOver();
  bool replay();
  void persist();
  void appendBatch();
  void reset();
  void backOff();
  void repeatOrders();
  void repeatTaskOrders(const TaskId &Task);
  void queryClaim(const RequestId &Request);
  void orderStop(const TaskId &Task);
  void queueRetirement(const Event &Change);
  void retireEnded();
  std::vector<Action> takeDurableActions();
  bool isStillValid(const StartOrder &Order) const;
  bool isStillValid(const RunOrder &Order) const;
  template <typename Other> bool isStillValid(const Other &) const {
    return true;
  }

  void applyAndQueue(const std::vector<Event> &Events);
  void queueAction(Action Message);
  void answerCaller(const CallerRef &To, AnswerKind Kind);
  void refuseCaller(const CallerRef &To);
  void answerSettled(const CallerRef &To, const RequestEnded &End);
  bool isRepeat(const CallerRef &From);
  void addWaiter(const CallerRef &From, const RequestId &Request);
  void finishAttempt(const TaskId &Task, AttemptNumber Attempt,
                     EndReason Reason);
  void settle(const RequestEnded &End);
  RenewalDecision decideRenewal(const HeldAttempt &Held);
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
  bool LeaseValid = false;
  std::vector<Event> Batch;
  /// Number of the batch that will hold Batch, and of the newest durable batch.
  std::uint64_t NextBatch = 1;
  std::uint64_t DurableBatch = 0;
  std::deque<PendingAction> Outbox;
  std::vector<Action> Refusals;

  std::map<VmId, AgentGrant> Grants;
  std::map<TaskId, AgentGrant> StartGrants;
  /// Tasks being evicted, with the number of their newest recorded checkpoint
  /// when the eviction began.
  std::map<TaskId, std::uint64_t> Evicting;
  std::map<RequestId, ClaimProgress> Claims;
  std::map<ProcessId, SeenForwards> Forwards;
  std::deque<EndedItem> RetirementQueue;

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
