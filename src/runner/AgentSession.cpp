#include "daisyspool/runner/AgentSession.h"

#include "runner/AgentOrder.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <chrono>

namespace daisyspool::runner {

namespace {

/// How long a hold waits for a run to end. Also the interval at which the lease
/// is extended, and so a small part of the leader's grant.
constexpr Millis HoldWait{400};
/// How far ahead a worker's lease is extended. Short, as the runs of an
/// unreachable worker start elsewhere only after the lease has expired.
constexpr Millis LeaseLength{2500};
/// Number of announcements that wait for the worker's confirmation at once, so
/// that announcements of other writers leave connections for the holds.
constexpr std::size_t MaxConfirmations = 2;
/// Minimum remaining lease for which a run is started.
constexpr Millis MinStartLease{300};

std::uint64_t toMillis(TimePoint Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(Time.time_since_epoch()).count());
}

/// When this agent made the stamp that the leader echoes.
TimePoint stampTime(const SyncRequest &Request) {
  return TimePoint(Millis(Request.EchoedStamp));
}

} // namespace

AgentSession::AgentSession(EventLoop &Loop, const Clock &Time,
                           WorkerPort &Worker, Options Config)
    : Loop(Loop), Time(Time), Port(Worker), Config(Config),
      Token(Config.Incarnation),
      // A start is void once the lease that it carries is over.
      EarlierOrdersEnd(Time.now() + LeaseLength * 102 / 100),
      // An earlier agent process may have just extended the lease.
      LeaseBound(Time.now() + Config.MaxLease), WaitTimer(Loop.timer()),
      HoldTimer(Loop.timer()) {
  // Runs started by an earlier agent process need their lease extended before
  // the worker's next announcement.
  sendHold();
}

AgentSession::~AgentSession() = default;

void AgentSession::announce(const WorkerAnnouncement &Announcement) {
  const WorkerReport &Announced = Announcement.Worker;
  bool IsConfirmed = Worker && Worker->Life == Life &&
                     Worker->Id == Announced.Id && Life == Announced.Life;
  if (!IsConfirmed)
    return confirm(Announcement);

  // A worker keeps its service for its whole life.
  bool OtherService = Announced.Service != Worker->Service;
  if (OtherService || Announcement.Sequence <= Sequence)
    return ignore(Announcement, OtherService ? "other_service" : "old");
  applyAnnouncement(Announcement);
}

void AgentSession::ignore(const WorkerAnnouncement &Announcement,
                          std::string_view Cause) {
  LogEvent(LogLevel::Info, "announcement_ignored")
      .with("worker", Announcement.Worker.Id)
      .with("life", Announcement.Worker.Life)
      .with("known_life", Life)
      .with("sequence", Announcement.Sequence)
      .with("cause", Cause);
}

void AgentSession::applyAnnouncement(const WorkerAnnouncement &Announcement) {
  bool Changed = !Worker || Worker->Life != Announcement.Worker.Life ||
                 Worker->Draining != Announcement.Worker.Draining ||
                 Worker->Capacity != Announcement.Worker.Capacity;
  if (Life != Announcement.Worker.Life)
    beginLife(Announcement.Worker.Life);
  Worker = Announcement.Worker;
  AnnouncedAt = Time.now();
  Sequence = Announcement.Sequence;
  if (Changed) {
    LogEvent(LogLevel::Info, "worker_announced")
        .with("worker", Worker->Id)
        .with("life", Worker->Life)
        .with("draining", Worker->Draining ? "yes" : "no")
        .with("remaining_ms", Worker->Remaining.count());
    reportChange();
  }
}

/// An announcement may be delayed or come from another writer, and a new life
/// ends all runs of the known one. The worker is therefore asked first, under
/// the announced id, for the life that it is in.
void AgentSession::confirm(const WorkerAnnouncement &Announcement) {
  if (Closed)
    return;
  std::pair Announced{Announcement.Worker.Id, Announcement.Worker.Life};
  if (auto Found = Unconfirmed.find(Announced); Found != Unconfirmed.end()) {
    if (Announcement.Sequence > Found->second.Sequence)
      Found->second = Announcement;
    return;
  }
  if (Unconfirmed.size() >= MaxConfirmations)
    return ignore(Announcement, "too_many_unconfirmed");

  Unconfirmed.emplace(Announced, Announcement);
  // Neither extends a lease nor acknowledges ends, whichever life answers.
  Port.hold(Token, Announcement.Worker.Id, HoldRequest{},
            [this, Announced, SentAt = Time.now()](const HoldOutcome &Outcome) {
              auto Answered = Unconfirmed.extract(Announced);
              if (!Closed)
                onConfirmation(Answered.mapped(), Outcome, SentAt);
            });
}

void AgentSession::onConfirmation(const WorkerAnnouncement &Announcement,
                                  const HoldOutcome &Outcome,
                                  TimePoint SentAt) {
  const auto *Listing = std::get_if<WorkerListing>(&Outcome);
  if (!Listing)
    return ignore(Announcement, std::holds_alternative<OtherLife>(Outcome)
                                    ? "other_worker"
                                    : "not_confirmed");
  if (Listing->Life != Announcement.Worker.Life ||
      isOutdatedLife(Listing->Life, SentAt))
    return ignore(Announcement, "other_life");
  applyAnnouncement(Announcement);
}

/// Whether an answer to a request of \p SentAt names a life that has ended: the
/// known one was learned of after the request.
bool AgentSession::isOutdatedLife(WorkerLife Listed, TimePoint SentAt) const {
  return Listed != Life && SentAt <= LifeSince;
}

void AgentSession::leave(const WorkerDeparture &Departure) {
  bool OtherLife = Departure.Life && *Departure.Life != Life;
  if (!Worker || Worker->Id != Departure.Id || OtherLife) {
    LogEvent(LogLevel::Info, "departure_ignored")
        .with("worker", Departure.Id)
        .with("cause", OtherLife ? "other_life" : "other_worker");
    return;
  }

  LogEvent(LogLevel::Info, "worker_left").with("worker", Departure.Id);
  Worker->Draining = true;
  Worker->Remaining = Millis(0);
  reportChange();
}

void AgentSession::beginLife(WorkerLife NewLife) {
  LogEvent(LogLevel::Info, "worker_life_began")
      .with("life", NewLife)
      .with("before", Life);
  // A new agent process assumes that its orders are for the first life that it
  // learns of; attemptStart() compares the two after the first listing.
  bool WasKnown = Life != WorkerLife{};
  Life = NewLife;
  LifeSince = Time.now();
  HasListing = false;
  Lease.reset();
  Running.clear();
  Ended.clear();
  RunningNames.clear();
  EndedNames.clear();
  EndsTruncated = false;
  MayHaveEnded.clear();
  EndsSeen = EndsRecorded = EndNumber{};
  Progress.clear();
  Stalled.clear();
  if (!WasKnown)
    return;
  // Orders for an earlier life may still reach the new one under the same id,
  // so each is ruled out there by a stop.
  for (auto &[Name, Order] : Orders) {
    Order->StopWanted = true;
    Order->StopAccepted = false;
    retryLater(Name, OrderPause);
  }
}

TargetId AgentSession::workerId() const {
  return Worker && Worker->Life == Life ? Worker->Id : TargetId();
}

void AgentSession::sync(const SyncRequest &Request, ReplyCallback Reply) {
  if (Request.Leader < Leader || Closed) {
    SyncReply Answer;
    Answer.Newest = Leader;
    Reply(std::move(Answer));
    return;
  }
  if (Leader != Request.Leader)
    LogEvent(LogLevel::Info, "leader_followed")
        .with("epoch", Request.Leader)
        .with("before", Leader);
  if (Leader != Request.Leader)
    NewestSync = 0;
  Leader = Request.Leader;
  applyGrant(Request);
  if (acceptsStarts(Request))
    for (const StartOrder &Start : Request.Starts)
      addStart(Start, stampTime(Request) + Request.Grant);
  NewestSync = std::max(NewestSync, Request.Number);
  for (const RunName &Name : Request.Stops)
    addStop(Name);

  replyToSync();
  WaitingReply = std::move(Reply);
  if (HasChanges || Request.Wait == Millis(0)) {
    replyToSync();
    return;
  }
  WaitTimer->start(Request.Wait, [this] { replyToSync(); });
}

/// A delayed sync may carry orders that the leader has given up, either because
/// it got no reply from this VM for a whole grant or because a newer reply did
/// not list them.
bool AgentSession::acceptsStarts(const SyncRequest &Request) {
  bool IsCurrent = Request.StampedBy == Config.Incarnation &&
                   Time.now() <= stampTime(Request) + Request.Grant &&
                   Request.Number > NewestSync;
  if (!IsCurrent && !Request.Starts.empty())
    LogEvent(LogLevel::Info, "starts_ignored")
        .with("sync", static_cast<std::int64_t>(Request.Number))
        .with("newest", static_cast<std::int64_t>(NewestSync))
        .with("starts", static_cast<std::int64_t>(Request.Starts.size()))
        .with("stamp_age_ms", std::chrono::duration_cast<Millis>(
                                  Time.now() - stampTime(Request))
                                  .count());
  return IsCurrent;
}

void AgentSession::applyGrant(const SyncRequest &Request) {
  if (Request.StampedBy == Config.Incarnation && Request.EchoedStamp != 0) {
    GrantEnd = std::max(GrantEnd, stampTime(Request) +
                                      std::min(Request.Grant, Config.MaxLease));
  }
  if (Request.EndsLife == Life && Request.EndsRecorded > EndsRecorded) {
    EndsRecorded = Request.EndsRecorded;
    removeRecordedEnds();
    if (Ended.empty() && HoldScheduled)
      scheduleHold(Millis(0));
  }
  std::erase_if(Refused, [&](const RefusedRun &Refusal) {
    bool IsSeen = Refusal.Number <= Request.RefusalsSeen;
    if (IsSeen)
      RefusedNames.erase(Refusal.Name);
    return IsSeen;
  });
  RefusalsSeen = std::max(RefusalsSeen, Request.RefusalsSeen);
  forgetOldRefusals();
}

void AgentSession::removeRecordedEnds() {
  std::erase_if(Ended, [this](const EndedTask &End) {
    bool IsRecorded = End.Number <= EndsRecorded;
    if (IsRecorded)
      EndedNames.erase(End.Name);
    return IsRecorded;
  });
}

std::optional<WorkerClock> AgentSession::grantedLease() {
  TimePoint Now = Time.now();
  // A message to a silent worker may arrive much later; without a new lease in
  // it the end of the current one stays certain.
  if (WorkerSilent || GrantEnd < Now + MinStartLease)
    return std::nullopt;

  TimePoint End = std::min(GrantEnd, Now + LeaseLength);
  auto Result = Lease.toWorkerClock(End);
  if (Result)
    LeaseBound = std::max(LeaseBound, End);
  return Result;
}

void AgentSession::sendHold() {
  if (Closed)
    return;

  HoldScheduled = false;
  HoldRequest Request;
  Request.LeaseEnd = grantedLease();
  // A worker that was silent may have restarted under the same id and would
  // drop ends of its new life that nobody has seen.
  Request.EndsRecorded = WorkerSilent ? EndNumber{} : EndsRecorded;
  Request.Wait = WorkerSilent ? Millis(0) : HoldWait;
  TimePoint SentAt = Time.now();
  bool Waited = Request.Wait > Millis(0);
  Port.hold(Token, AnyLifeAnswers ? TargetId() : workerId(), Request,
            [this, SentAt, Waited](const HoldOutcome &Outcome) {
              onHoldOutcome(Outcome, SentAt, Waited);
            });
}

void AgentSession::scheduleHold(Millis Delay) {
  HoldScheduled = true;
  HoldTimer->start(Delay, [this] { sendHold(); });
}

void AgentSession::onHoldOutcome(const HoldOutcome &Outcome, TimePoint SentAt,
                                 bool Waited) {
  if (Closed)
    return;
  if (const auto *Listing = std::get_if<WorkerListing>(&Outcome)) {
    AnyLifeAnswers = false;
    applyListing(*Listing, SentAt);
    // A worker answers at once while it has ends that are not recorded; the
    // next hold is sent when they are recorded, or after a delay.
    bool AnsweredAtOnce = Waited && Time.now() - SentAt < HoldPause;
    return scheduleHold(AnsweredAtOnce || !Ended.empty() ? HoldPause
                                                         : Millis(0));
  }
  AnyLifeAnswers = std::holds_alternative<OtherLife>(Outcome);
  if (std::holds_alternative<FencedOut>(Outcome))
    raiseToken();
  else if (!WorkerSilent) {
    WorkerSilent = true;
    LogEvent(LogLevel::Warning, "worker_silent")
        .with("worker", workerId())
        .with("lease_left_ms",
              std::chrono::duration_cast<Millis>(LeaseBound - Time.now())
                  .count());
  }
  refuseExpiredOrders();
  scheduleHold(HoldPause);
}

void AgentSession::applyListing(const WorkerListing &Listing,
                                TimePoint SentAt) {
  // A hold that was sent in this life shows which life is the current one,
  // whatever the numbers say: a step of the clock may give a new life the lower
  // one.
  if (isOutdatedLife(Listing.Life, SentAt))
    return;
  if (Listing.Life != Life) {
    beginLife(Listing.Life);
    reportChange();
  }
  TimePoint Now = Time.now();
  Lease.observe(Listing.Clock, Now);
  if (WorkerSilent) {
    WorkerSilent = false;
    reportChange();
  }
  Running = Listing.Running;
  std::set<RunName> RunningBefore = std::exchange(RunningNames, {});
  for (const RunningTask &Task : Running)
    RunningNames.insert(Task.Name);
  bool WasTruncated = std::exchange(EndsTruncated, Listing.EndsTruncated);
  if (WasTruncated != EndsTruncated)
    LogEvent(LogLevel::Warning,
             EndsTruncated ? "ends_truncated" : "ends_complete")
        .with("worker", workerId())
        .with("listed", static_cast<std::int64_t>(Listing.Ended.size()))
        .with("recorded_up_to", EndsRecorded)
        .with("running", static_cast<std::int64_t>(Running.size()))
        .with("unsettled", static_cast<std::int64_t>(Orders.size()));
  Ended.clear();
  EndedNames.clear();
  for (const EndedTask &End : Listing.Ended) {
    if (End.Number <= EndsRecorded)
      continue;
    Ended.push_back(End);
    EndedNames.insert(End.Name);
    if (End.Number > EndsSeen) {
      EndsSeen = End.Number;
      TraitsByRun.erase(End.Name);
      Progress.erase(End.Name);
      reportChange();
    }
  }
  updateUnlistedRuns(RunningBefore);
  removeSettledOrders(SentAt);
  if (!std::exchange(HasListing, true))
    startWaitingOrders();
  detectStalls(Now);
  paceFillingTasks(Now);
}

/// Without this the leader would take the runs for lost and send their start
/// orders again.
void AgentSession::updateUnlistedRuns(const std::set<RunName> &RunningBefore) {
  if (!EndsTruncated) {
    MayHaveEnded.clear();
    return;
  }
  MayHaveEnded.insert(RunningBefore.begin(), RunningBefore.end());
  std::erase_if(MayHaveEnded, [this](const RunName &Name) {
    return isListed(Name) || hasEnded(Name);
  });
}

void AgentSession::reportChange() {
  HasChanges = true;
  // Replies after the current handler, so that one reply carries all its
  // changes.
  if (WaitingReply) {
    WaitTimer->start(Millis(0), [this] { replyToSync(); });
  }
}

void AgentSession::replyToSync() {
  if (!WaitingReply)
    return;

  WaitTimer->cancel();
  auto Reply = std::move(WaitingReply);
  WaitingReply = nullptr;
  HasChanges = false;
  Reply(snapshot());
}

SyncReply AgentSession::snapshot() {
  TimePoint Now = Time.now();
  SyncReply Result;
  Result.Accepted = true;
  Result.Newest = Leader;
  Result.AgentIncarnation = Config.Incarnation;
  Result.Stamp = toMillis(Now);
  Result.GrantLeft =
      std::max(Millis(0), std::chrono::duration_cast<Millis>(GrantEnd - Now));
  Result.LeaseExpired = WorkerSilent && Now > LeaseBound;
  if (Worker && Worker->Life == Life && !WorkerSilent)
    Result.Worker = Worker;
  // The leader plans with what is left now, not with what was left then.
  if (Result.Worker && Result.Worker->Draining)
    Result.Worker->Remaining = std::max(
        Millis(0), Result.Worker->Remaining -
                       std::chrono::duration_cast<Millis>(Now - AnnouncedAt));
  Result.Running = Running;
  for (const auto &[Name, Order] : Orders)
    Result.Starting.push_back(Name);
  for (const RunName &Name : MayHaveEnded)
    if (Orders.count(Name) == 0)
      Result.Starting.push_back(Name);
  Result.Ended = Ended;
  Result.Refused = Refused;
  Result.Stalled = Stalled;
  return Result;
}

void AgentSession::close(std::function<void()> Done) {
  replyToSync();
  Closed = true;
  HoldTimer->cancel();
  HoldRequest FinalHold;
  FinalHold.LeaseEnd = grantedLease();
  FinalHold.EndsRecorded = EndsRecorded;
  Port.hold(Token, workerId(), FinalHold,
            [Done = std::move(Done)](const HoldOutcome &) { Done(); });
}

} // namespace daisyspool::runner
