#include "daisyspool/jobs/ShardOwner.h"

#include <algorithm>
#include <utility>

namespace daisyspool {

namespace {

/// Sequence numbers kept for each entry; older ones count as handled.
constexpr std::size_t ForwardWindow = 4096;

/// Maximum number of jobs and requests that one event retires, which bounds its
/// size.
constexpr std::size_t MaxRetired = 500;

constexpr std::uint32_t MaxBackoffDoublings = 10;

} // namespace

ShardOwner::ShardOwner(ShardId Shard, ShardJournal &Journal, const Clock &Time,
                       std::uint64_t Seed, ShardOwnerSettings Settings)
    : Shard(Shard), Journal(Journal), Time(Time), Jitter(Seed),
      Settings(Settings), Leases(Settings.TaskLease) {}

bool ShardOwner::accepts() const {
  return Replayed && Journal.hasValidLease() && !Journal.hasPendingWrite();
}

std::vector<Action> ShardOwner::step() {
  if (Time.now() >= RetryAt) {
    try {
      if (tryTakeOver() && replay())
        persist();
    } catch (const FencedOff &) {
      reset();
    } catch (const PlatformThrottled &) {
      backOff();
    } catch (const PlatformUnavailable &) {
      backOff();
    }
  }

  // No agent could renew while the shard lease was not valid. Each gets a full
  // wait to continue its suspended tasks before they count as lost.
  const bool Valid = Replayed && Journal.hasValidLease();
  if (Valid && !LeaseValid)
    Leases.assumeAllGranted(Time.now());
  LeaseValid = Valid;

  if (accepts())
    repeatOrders();
  return takeDurableActions();
}

bool ShardOwner::tryTakeOver() {
  if (Journal.owns())
    return true;

  const TimePoint Now = Time.now();
  if (LastObserve && Now - *LastObserve < Settings.ObserveEvery)
    return false;

  LastObserve = Now;
  return Journal.tryAcquire();
}

bool ShardOwner::replay() {
  if (Replayed)
    return true;

  ReplayResult Contents = Journal.replay();
  JobTable Replacement;
  if (Contents.Snapshot)
    Replacement.restore(*Contents.Snapshot);
  for (const JournalEntry &Entry : Contents.Entries)
    for (const Event &Each : decodeEvents(Entry.Body))
      Replacement.apply(Each);

  Table = std::move(Replacement);
  const TimePoint Now = Time.now();
  for (const RequestId &Request : Table.unsettled())
    Claims[Request] = {Now, Now - Settings.QueryEvery, {}};
  const Retired Ended = Table.retirable();
  for (const JobId &Job : Ended.Jobs)
    RetirementQueue.push_back({Now, Job});
  for (const RequestId &Request : Ended.Requests)
    RetirementQueue.push_back({Now, Request});
  Replayed = true;
  return true;
}

void ShardOwner::persist() {
  if (!Journal.resolvePendingWrite())
    return backOff();

  DurableBatch = NextBatch - 1;
  const TimePoint Now = Time.now();
  if (!Batch.empty() &&
      (!LastAppend || Now - *LastAppend >= Settings.AppendEvery))
    appendBatch();

  // A failed snapshot is not repeated before SnapshotEvery: the object store
  // may be down for long, and each attempt may block.
  const bool SnapshotIsDue =
      !LastSnapshot || Now - *LastSnapshot >= Settings.SnapshotEvery;
  if (!Journal.hasPendingWrite() && Batch.empty() && SnapshotIsDue &&
      Journal.snapshotDue()) {
    LastSnapshot = Now;
    Journal.saveSnapshot(Table.snapshot());
  }
  if (!Journal.hasPendingWrite())
    Journal.renewIfDue();
  if (Journal.hasPendingWrite())
    return backOff();

  DurableBatch = NextBatch - 1;
  FailedCalls = 0;
}

void ShardOwner::appendBatch() {
  std::size_t Count = 0;
  std::size_t Bytes = 0;
  for (const Event &Each : Batch) {
    Bytes += encodeEvents({Each}).size();
    if (Count != 0 && Bytes > MaxBatchBytes)
      break;
    ++Count;
  }

  const auto End = Batch.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<Event> Appended(Batch.begin(), End);
  Batch.erase(Batch.begin(), End);
  if (!Batch.empty())
    for (PendingAction &Each : Outbox)
      if (Each.RequiredBatch == NextBatch)
        ++Each.RequiredBatch;

  ++NextBatch;
  LastAppend = Time.now();
  Journal.append(encodeEvents(Appended));
}

void ShardOwner::reset() {
  Table = JobTable();
  Replayed = false;
  Batch.clear();
  NextBatch = 1;
  DurableBatch = 0;
  Outbox.clear();
  Grants.clear();
  StartGrants.clear();
  Evicting.clear();
  Claims.clear();
  RetirementQueue.clear();
}

void ShardOwner::backOff() {
  FailedCalls = std::min(FailedCalls + 1, MaxBackoffDoublings);
  const Duration Limit = std::min<Duration>(
      Settings.BackoffCap, Settings.BackoffBase * (1LL << FailedCalls));
  RetryAt = Time.now() + Duration(static_cast<Duration::rep>(Jitter.below(
                             static_cast<std::uint64_t>(Limit.count()))));
}

void ShardOwner::applyAndQueue(const std::vector<Event> &Events) {
  for (const Event &Each : Events) {
    Table.apply(Each);
    Batch.push_back(Each);
    queueRetirement(Each);
  }
}

void ShardOwner::queueRetirement(const Event &Change) {
  const TimePoint Now = Time.now();
  if (const auto *Answered = std::get_if<RequestEnded>(&Change))
    RetirementQueue.push_back({Now, Answered->Request});
  if (const auto *Submitted = std::get_if<JobSubmitted>(&Change))
    if (Submitted->Tasks.empty())
      RetirementQueue.push_back({Now, Submitted->Job});
  if (const auto *Ended = std::get_if<TaskEnded>(&Change)) {
    const JobId &Job = Table.task(Ended->Task)->Job;
    if (Table.hasEnded(Job))
      RetirementQueue.push_back({Now, Job});
  }
}

void ShardOwner::retireEnded() {
  Retired Due;
  std::size_t Count = 0;
  while (!RetirementQueue.empty() && Count < MaxRetired &&
         Time.now() - RetirementQueue.front().EndedAt >= Settings.RetainEnded) {
    const auto &Id = RetirementQueue.front().Id;
    if (const auto *Job = std::get_if<JobId>(&Id))
      Due.Jobs.push_back(*Job);
    else
      Due.Requests.push_back(std::get<RequestId>(Id));
    RetirementQueue.pop_front();
    ++Count;
  }
  if (Count != 0)
    applyAndQueue({Due});
}

void ShardOwner::queueAction(Action Message) {
  const std::uint64_t RequiredBatch = Batch.empty() ? NextBatch - 1 : NextBatch;
  Outbox.push_back({std::move(Message), RequiredBatch});
}

void ShardOwner::answerCaller(const CallerRef &To, AnswerKind Kind) {
  queueAction(CallerAnswer{To, Kind, 0, {}});
}

void ShardOwner::refuseCaller(const CallerRef &To) {
  Refusals.emplace_back(CallerAnswer{To, AnswerKind::NotRun, 0, {}});
}

std::vector<Action> ShardOwner::takeDurableActions() {
  std::vector<Action> Result = std::exchange(Refusals, {});
  if (!LeaseValid)
    return Result;

  while (!Outbox.empty() && Outbox.front().RequiredBatch <= DurableBatch) {
    Action Message = std::move(Outbox.front().Message);
    Outbox.pop_front();
    if (std::visit(
            [this](const auto &Payload) { return isStillValid(Payload); },
            Message))
      Result.push_back(std::move(Message));
  }
  return Result;
}

bool ShardOwner::isStillValid(const StartOrder &Order) const {
  return Table.isCurrent(Order.Task, Order.Attempt);
}

bool ShardOwner::isStillValid(const RunOrder &Order) const {
  return Table.unsettled().count(Order.Request) != 0;
}

bool ShardOwner::isRepeat(const CallerRef &From) {
  SeenForwards &Seen = Forwards[From.Entry];
  if (From.Sequence <= Seen.Floor || !Seen.Above.insert(From.Sequence).second)
    return true;

  if (Seen.Above.size() > ForwardWindow) {
    Seen.Floor = *Seen.Above.begin();
    Seen.Above.erase(Seen.Above.begin());
  }
  return false;
}

void ShardOwner::submit(const SubmitForward &Message) {
  if (isRepeat(Message.From))
    return;
  if (!accepts())
    return refuseCaller(Message.From);
  if (encodeEvents({Message.Job}).size() > MaxBatchBytes)
    return answerCaller(Message.From, AnswerKind::TooLarge);

  const Decision Result = Table.submit(Message.Job);
  if (std::holds_alternative<Conflict>(Result))
    return answerCaller(Message.From, AnswerKind::Conflict);

  if (const auto *New = std::get_if<Proceed>(&Result))
    applyAndQueue(New->Events);
  answerCaller(Message.From, AnswerKind::Accepted);
}

void ShardOwner::cancel(const CancelForward &Message) {
  if (isRepeat(Message.From))
    return;
  if (!accepts())
    return refuseCaller(Message.From);

  const Decision Result = Table.cancel(Message.Job, Message.By);
  if (std::holds_alternative<Conflict>(Result))
    return answerCaller(Message.From, AnswerKind::Conflict);
  if (std::holds_alternative<NotFound>(Result))
    return answerCaller(Message.From, AnswerKind::NotFound);

  if (const auto *New = std::get_if<Proceed>(&Result)) {
    applyAndQueue(New->Events);
    const std::size_t TaskCount = Table.job(Message.Job)->Spec.Tasks.size();
    for (std::size_t Index = 0; Index < TaskCount; ++Index)
      if (Table.live().count(taskOf(Message.Job, Index)) != 0)
        orderStop(taskOf(Message.Job, Index));
  }
  answerCaller(Message.From, AnswerKind::Accepted);
}

void ShardOwner::orderStop(const TaskId &Task) {
  const TaskState &State = *Table.task(Task);
  queueAction(StopOrder{Shard, Journal.epoch(), Task, State.Attempt, State.Vm});
}

void ShardOwner::claim(const ClaimForward &Message,
                       const std::optional<AgentGrant> &Grant) {
  if (isRepeat(Message.From))
    return;

  const RequestClaimed Claim{Message.Request, Message.Caller, Message.Service,
                             sha256(Message.Body),
                             Grant.value_or(AgentGrant{})};
  const Decision Result = Table.claim(Claim);
  if (std::holds_alternative<Conflict>(Result))
    return answerCaller(Message.From, AnswerKind::Conflict);
  if (std::holds_alternative<AlreadyDone>(Result))
    return addWaiter(Message.From, Message.Request);

  if (!accepts() || !Grant)
    return refuseCaller(Message.From);

  applyAndQueue({Claim});
  const TimePoint Now = Time.now();
  Claims[Message.Request] = {Now, Now, {Message.From}};
  queueAction(
      RunOrder{Shard, Message.Request, *Grant, Message.Service, Message.Body});
}

void ShardOwner::addWaiter(const CallerRef &From, const RequestId &Request) {
  const RequestState &Known = *Table.request(Request);
  if (Known.Settled)
    return answerSettled(From, Known.End);

  Claims.at(Request).Waiters.push_back(From);
}

void ShardOwner::answerSettled(const CallerRef &To, const RequestEnded &End) {
  switch (End.Outcome) {
  case RequestOutcome::Answered:
    return queueAction(
        CallerAnswer{To, AnswerKind::Answered, End.Status, End.Body});
  case RequestOutcome::NotRun:
    return answerCaller(To, AnswerKind::NotRun);
  case RequestOutcome::Unknown:
    return answerCaller(To, AnswerKind::Unknown);
  }
}

void ShardOwner::settle(const RequestEnded &End) {
  const std::vector<Event> Events = Table.settle(End);
  if (Events.empty())
    return;

  applyAndQueue(Events);
  for (const CallerRef &Waiter : Claims.at(End.Request).Waiters)
    answerSettled(Waiter, End);
  Claims.erase(End.Request);
}

bool ShardOwner::start(const TaskId &Task, const AgentGrant &Grant) {
  if (!accepts() || Table.waiting().count(Task) == 0)
    return false;

  applyAndQueue(Table.startAttempt(Task, Grant.Vm, Grant.Agent));
  StartGrants[Task] = Grant;
  Leases.recordGrant(Task, Time.now());
  const TaskState &State = *Table.task(Task);
  queueAction(StartOrder{Shard, Journal.epoch(), Task, State.Attempt, Grant,
                         State.Spec.Need, State.Spec.Command,
                         State.Checkpoint});
  return true;
}

bool ShardOwner::evict(const TaskId &Task) {
  if (!accepts() || !Table.mayEvict(Task))
    return false;

  Evicting.emplace(Task, Table.task(Task)->CheckpointNumber);
  return true;
}

bool ShardOwner::evictionIsReady(const TaskId &Task) const {
  auto Found = Evicting.find(Task);
  return Found != Evicting.end() &&
         Table.task(Task)->CheckpointNumber > Found->second;
}

bool ShardOwner::isCancelled(const TaskId &Task) const {
  return Table.job(Table.task(Task)->Job)->Cancelled;
}

void ShardOwner::finishAttempt(const TaskId &Task, AttemptNumber Attempt,
                               EndReason Reason) {
  const std::vector<Event> Events = Table.endAttempt(Task, Attempt, Reason);
  if (Events.empty())
    return;

  applyAndQueue(Events);
  Leases.remove(Task);
  StartGrants.erase(Task);
  Evicting.erase(Task);
}

void ShardOwner::onRenewal(const RenewalRequest &Request) {
  if (!Replayed || Request.Shard != Shard)
    return;

  // A delayed request shows an older state of the agent.
  auto Known = Grants.find(Request.Sender.Vm);
  if (Known != Grants.end() &&
      std::pair(Request.Sender.Agent, Request.Sender.Stamp) <=
          std::pair(Known->second.Agent, Known->second.Stamp))
    return;

  Grants[Request.Sender.Vm] = Request.Sender;
  RenewalReply Reply{Shard, Journal.epoch(), Request.Sender, {}};
  for (const HeldAttempt &Held : Request.Held) {
    const RenewalDecision Decision = decideRenewal(Held);
    // The lease counts from the request, so that it expires in time even if the
    // reply waits until its events are durable.
    if (Decision != RenewalDecision::Stop)
      Leases.recordGrant(Held.Task, Time.now());
    Reply.Decisions.push_back({Held.Task, Held.Attempt, Decision});
  }
  queueAction(std::move(Reply));
}

RenewalDecision ShardOwner::decideRenewal(const HeldAttempt &Held) {
  if (!Table.isCurrent(Held.Task, Held.Attempt))
    return RenewalDecision::Stop;

  const TaskState &State = *Table.task(Held.Task);
  if (State.Phase == TaskPhase::Intended)
    applyAndQueue({AttemptRunning{Held.Task, Held.Attempt}});
  if (Held.CheckpointNumber > State.CheckpointNumber) {
    applyAndQueue({CheckpointTaken{Held.Task, Held.Attempt, Held.Checkpoint,
                                   Held.CheckpointNumber}});
    if (evictionIsReady(Held.Task))
      orderStop(Held.Task);
  }

  if (Held.State == HeldState::Finished || Held.State == HeldState::Failed) {
    finishAttempt(Held.Task, Held.Attempt,
                  Held.State == HeldState::Finished ? EndReason::Finished
                                                    : EndReason::Failed);
    return RenewalDecision::Stop;
  }

  const bool WantsCheckpoint =
      Evicting.count(Held.Task) != 0 && !evictionIsReady(Held.Task);
  return WantsCheckpoint ? RenewalDecision::Checkpoint : RenewalDecision::Keep;
}

void ShardOwner::onStartReply(const StartReply &Reply) {
  if (!Replayed || Reply.Shard != Shard ||
      !Table.isCurrent(Reply.Task, Reply.Attempt))
    return;

  const TaskState &State = *Table.task(Reply.Task);
  if (Reply.Vm != State.Vm)
    return;
  if (!Reply.Accepted) {
    // The agent has seen a newer owner, so that the next append is fenced.
    if (Reply.Reason != Refusal::StaleEpoch)
      finishAttempt(Reply.Task, Reply.Attempt, EndReason::Refused);
    return;
  }
  if (State.Phase == TaskPhase::Intended)
    applyAndQueue({AttemptRunning{Reply.Task, Reply.Attempt}});
}

void ShardOwner::onStopReply(const StopReply &Reply) {
  if (!Replayed || Reply.Shard != Shard ||
      !Table.isCurrent(Reply.Task, Reply.Attempt) ||
      Reply.Vm != Table.task(Reply.Task)->Vm)
    return;

  // If the job is not cancelled, the order was for an eviction by this or a
  // previous owner.
  finishAttempt(Reply.Task, Reply.Attempt,
                isCancelled(Reply.Task) ? EndReason::Cancelled
                                        : EndReason::Evicted);
}

void ShardOwner::onRequestReport(const RequestReport &Report) {
  if (!Replayed || Report.Shard != Shard ||
      Table.unsettled().count(Report.Request) == 0)
    return;

  const RequestClaimed &Claim = Table.request(Report.Request)->Claim;
  if (Report.Agent != Claim.Grant.Agent || Report.State == RunState::Unknown)
    return settle({Report.Request, RequestOutcome::Unknown, 0, {}});

  switch (Report.State) {
  case RunState::Running:
    Claims.at(Report.Request).LastReport = Time.now();
    return;
  case RunState::Answered:
    return settle(
        {Report.Request, RequestOutcome::Answered, Report.Status, Report.Body});
  case RunState::NotRun:
    return settle({Report.Request, RequestOutcome::NotRun, 0, {}});
  case RunState::Unknown:
    return;
  }
}

void ShardOwner::repeatOrders() {
  const TimePoint Now = Time.now();
  if (LastRepeat && Now - *LastRepeat < Settings.RepeatEvery)
    return;

  LastRepeat = Now;
  const std::set<TaskId> Live = Table.live();
  for (const TaskId &Task : Live)
    repeatTaskOrders(Task);

  const std::set<RequestId> Unsettled = Table.unsettled();
  for (const RequestId &Request : Unsettled)
    queryClaim(Request);

  retireEnded();
}

void ShardOwner::repeatTaskOrders(const TaskId &Task) {
  const TaskState &State = *Table.task(Task);
  if (Leases.hasExpired(Task, Time.now()))
    return finishAttempt(Task, State.Attempt, EndReason::Lost);

  if (isCancelled(Task) || evictionIsReady(Task))
    return orderStop(Task);

  // The repeated order carries the original grant and expires with it.
  auto Grant = StartGrants.find(Task);
  if (State.Phase == TaskPhase::Intended && Grant != StartGrants.end())
    queueAction(StartOrder{Shard, Journal.epoch(), Task, State.Attempt,
                           Grant->second, State.Spec.Need, State.Spec.Command,
                           State.Checkpoint});
}

void ShardOwner::queryClaim(const RequestId &Request) {
  const AgentGrant &Grant = Table.request(Request)->Claim.Grant;
  ClaimProgress &Progress = Claims.at(Request);
  const TimePoint Now = Time.now();

  auto Known = Grants.find(Grant.Vm);
  const bool AgentGone =
      Known != Grants.end() && Known->second.Agent > Grant.Agent;
  if (AgentGone || Now - Progress.LastReport >= Settings.SettleLimit)
    return settle({Request, RequestOutcome::Unknown, 0, {}});

  if (Now - Progress.LastQuery < Settings.QueryEvery)
    return;

  Progress.LastQuery = Now;
  queueAction(QueryOrder{Shard, Request, Grant});
}

} // namespace daisyspool
