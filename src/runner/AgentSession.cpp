#include "daisyspool/runner/AgentSession.h"

#include "runner/AgentOrder.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <chrono>

namespace daisyspool::runner {

namespace {

/// How long a hold waits for an end. Also the age at which the lease is
/// extended, so a small part of the leader's grant.
constexpr Millis HoldWait{400};
/// How far ahead a worker's lease is extended. Short, as the runs of a worker
/// that has gone dark start elsewhere only when it has expired.
constexpr Millis LeaseLength{2500};
/// A run needs at least so much of a lease to be worth a start.
constexpr Millis LeastLease{300};
std::uint64_t millisOf(TimePoint When) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(When.time_since_epoch()).count());
}

/// When this agent made the stamp that the leader echoes.
TimePoint stampOf(const SyncRequest &What) {
  return TimePoint(Millis(What.EchoedStamp));
}

} // namespace

AgentSession::AgentSession(EventLoop &Loop, const Clock &Time,
                           WorkerPort &Worker, Options Config)
    : Loop(Loop), Time(Time), Port(Worker), Config(Config),
      Token(Config.Incarnation),
      // An earlier agent process may have extended the lease just before.
      LeaseBound(Time.now() + Config.MaxLease), WaitTimer(Loop.timer()),
      HoldTimer(Loop.timer()) {
  // Runs of an earlier agent process need their lease extended before the
  // worker's next announcement.
  hold();
}

AgentSession::~AgentSession() = default;

void AgentSession::announce(const WorkerAnnouncement &What) {
  bool OldLife = What.Worker.Life < Life;
  bool OldBeat =
      Worker && What.Worker.Life == Worker->Life && What.Sequence <= Sequence;
  if (OldLife || OldBeat) {
    LogEvent(LogLevel::Info, "announcement_ignored")
        .with("worker", What.Worker.Id)
        .with("life", What.Worker.Life)
        .with("sequence", What.Sequence);
    return;
  }

  bool Changed = !Worker || Worker->Life != What.Worker.Life ||
                 Worker->Draining != What.Worker.Draining ||
                 Worker->Capacity != What.Worker.Capacity;
  if (Life != What.Worker.Life)
    beginLife(What.Worker.Life);
  Worker = What.Worker;
  Sequence = What.Sequence;
  Lease.observe(What.Clock, Time.now());
  if (Changed) {
    LogEvent(LogLevel::Info, "worker_announced")
        .with("worker", Worker->Id)
        .with("life", Worker->Life)
        .with("draining", Worker->Draining ? "yes" : "no")
        .with("remaining_ms", Worker->Remaining.count());
    news();
  }
}

void AgentSession::leave(const TargetId &Id) {
  if (!Worker || Worker->Id != Id)
    return;

  LogEvent(LogLevel::Info, "worker_left").with("worker", Id);
  Worker->Draining = true;
  Worker->Remaining = Millis(0);
  news();
}

void AgentSession::beginLife(WorkerLife Next) {
  LogEvent(LogLevel::Info, "worker_life_began")
      .with("life", Next)
      .with("before", Life);
  // A new agent process takes the first life that it hears of for the one that
  // its orders are for; takeStart() compares them after the first listing.
  bool Known = Life != WorkerLife{};
  Life = Next;
  HaveListing = false;
  Lease.reset();
  Running.clear();
  Ended.clear();
  EndsSeen = EndsRecorded = EndNumber{};
  Progress.clear();
  Stalled.clear();
  if (!Known)
    return;
  // Orders for an earlier life may still reach the new one under the same id,
  // so each is made impossible there.
  for (auto &[Name, Order] : Orders) {
    Order->StopWanted = true;
    Order->StopAccepted = false;
    retry(Name, OrderPause);
  }
}

TargetId AgentSession::workerId() const {
  return Worker && Worker->Life == Life ? Worker->Id : TargetId();
}

void AgentSession::sync(const SyncRequest &What, ReplyCallback Reply) {
  if (What.Leader < Leader || Closed) {
    SyncReply Answer;
    Answer.Newest = Leader;
    Reply(std::move(Answer));
    return;
  }
  if (Leader != What.Leader)
    LogEvent(LogLevel::Info, "leader_followed")
        .with("epoch", What.Leader)
        .with("before", Leader);
  if (Leader != What.Leader)
    NewestSync = 0;
  Leader = What.Leader;
  grant(What);
  if (takesStarts(What))
    for (const StartOrder &Each : What.Starts)
      takeStart(Each, stampOf(What) + What.Grant);
  NewestSync = std::max(NewestSync, What.Number);
  for (const RunName &Each : What.Stops)
    takeStop(Each);

  answerWaiting();
  Waiting = std::move(Reply);
  if (HasNews || What.Wait == Millis(0)) {
    answerWaiting();
    return;
  }
  WaitTimer->start(What.Wait, [this] { answerWaiting(); });
}

/// A sync that was delayed may carry orders that the leader has given up, as it
/// had no word of this VM for a whole grant, or as a newer answer did not name
/// them.
bool AgentSession::takesStarts(const SyncRequest &What) {
  bool Current = What.StampedBy == Config.Incarnation &&
                 Time.now() <= stampOf(What) + What.Grant &&
                 What.Number > NewestSync;
  if (!Current && !What.Starts.empty())
    LogEvent(LogLevel::Info, "starts_ignored")
        .with("sync", static_cast<std::int64_t>(What.Number))
        .with("newest", static_cast<std::int64_t>(NewestSync))
        .with("starts", static_cast<std::int64_t>(What.Starts.size()))
        .with("stamp_age_ms",
              std::chrono::duration_cast<Millis>(Time.now() - stampOf(What))
                  .count());
  return Current;
}

void AgentSession::grant(const SyncRequest &What) {
  if (What.StampedBy == Config.Incarnation && What.EchoedStamp != 0) {
    GrantEnd = std::max(GrantEnd,
                        stampOf(What) + std::min(What.Grant, Config.MaxLease));
  }
  if (What.EndsLife == Life && What.EndsRecorded > EndsRecorded) {
    EndsRecorded = What.EndsRecorded;
    std::erase_if(Ended, [this](const EndedTask &End) {
      return End.Number <= EndsRecorded;
    });
    if (Ended.empty() && PausedHold)
      holdLater(Millis(0));
  }
  std::erase_if(Refused, [&](const RefusedRun &Each) {
    return Each.Number <= What.RefusalsSeen;
  });
}

std::optional<WorkerClock> AgentSession::grantedLease() {
  TimePoint Now = Time.now();
  // What is sent to a silent worker may arrive much later; without a lease in
  // it the end of the present one stays certain.
  if (Silent || GrantEnd < Now + LeastLease)
    return std::nullopt;

  TimePoint End = std::min(GrantEnd, Now + LeaseLength);
  auto Result = Lease.reachedBy(End);
  if (Result)
    LeaseBound = std::max(LeaseBound, End);
  return Result;
}

void AgentSession::hold() {
  if (Closed)
    return;

  PausedHold = false;
  HoldRequest What;
  What.LeaseEnd = grantedLease();
  // A worker that was silent may have begun another life under the same id, and
  // would forget ends of it that nobody has seen.
  What.EndsRecorded = Silent ? EndNumber{} : EndsRecorded;
  What.Wait = Silent ? Millis(0) : HoldWait;
  TimePoint SentAt = Time.now();
  bool Waited = What.Wait > Millis(0);
  Port.hold(Token, workerId(), What,
            [this, SentAt, Waited](const HoldOutcome &Outcome) {
              onHold(Outcome, SentAt, Waited);
            });
}

void AgentSession::holdLater(Millis Pause) {
  PausedHold = true;
  HoldTimer->start(Pause, [this] { hold(); });
}

void AgentSession::onHold(const HoldOutcome &Outcome, TimePoint SentAt,
                          bool Waited) {
  if (Closed)
    return;
  if (const auto *Listing = std::get_if<WorkerListing>(&Outcome)) {
    takeListing(*Listing, SentAt);
    // While ends are not recorded a worker answers at once; the next hold
    // follows their record, or after a pause.
    bool AtOnce = Waited && Time.now() - SentAt < HoldPause;
    return holdLater(AtOnce || !Ended.empty() ? HoldPause : Millis(0));
  }
  if (std::holds_alternative<FencedOut>(Outcome))
    raiseToken();
  else if (!Silent) {
    Silent = true;
    LogEvent(LogLevel::Warning, "worker_silent")
        .with("worker", workerId())
        .with("lease_left_ms",
              std::chrono::duration_cast<Millis>(LeaseBound - Time.now())
                  .count());
  }
  expireLease();
  holdLater(HoldPause);
}

void AgentSession::takeListing(const WorkerListing &Listing, TimePoint SentAt) {
  if (Listing.Life < Life)
    return;
  if (Listing.Life > Life) {
    beginLife(Listing.Life);
    news();
  }
  TimePoint Now = Time.now();
  Lease.observe(Listing.Clock, Now);
  if (Silent) {
    Silent = false;
    news();
  }
  Running = Listing.Running;
  Ended.clear();
  for (const EndedTask &End : Listing.Ended) {
    if (End.Number <= EndsRecorded)
      continue;
    Ended.push_back(End);
    if (End.Number > EndsSeen) {
      EndsSeen = End.Number;
      Hints.erase(End.Name);
      Progress.erase(End.Name);
      news();
    }
  }
  settleOrders(SentAt);
  if (!std::exchange(HaveListing, true))
    startWaitingOrders();
  watchProgress(Now);
  paceFilling(Now);
}

bool AgentSession::listed(const RunName &Name) const {
  return std::any_of(Running.begin(), Running.end(),
                     [&](const auto &Task) { return Task.Name == Name; });
}

bool AgentSession::ended(const RunName &Name) const {
  return std::any_of(Ended.begin(), Ended.end(),
                     [&](const auto &End) { return End.Name == Name; });
}

void AgentSession::news() {
  HasNews = true;
  // Answers after the present handler, so that one answer carries all of it.
  if (Waiting) {
    WaitTimer->start(Millis(0), [this] { answerWaiting(); });
  }
}

void AgentSession::answerWaiting() {
  if (!Waiting)
    return;

  WaitTimer->cancel();
  auto Reply = std::move(Waiting);
  Waiting = nullptr;
  HasNews = false;
  Reply(snapshot());
}

SyncReply AgentSession::snapshot() {
  TimePoint Now = Time.now();
  SyncReply Result;
  Result.Accepted = true;
  Result.Newest = Leader;
  Result.AgentIncarnation = Config.Incarnation;
  Result.Stamp = millisOf(Now);
  Result.GrantLeft =
      std::max(Millis(0), std::chrono::duration_cast<Millis>(GrantEnd - Now));
  Result.LeaseExpired = Silent && Now > LeaseBound;
  if (Worker && Worker->Life == Life && !Silent)
    Result.Worker = Worker;
  Result.Running = Running;
  for (const auto &[Name, Order] : Orders)
    Result.Starting.push_back(Name);
  Result.Ended = Ended;
  Result.Refused = Refused;
  Result.Stalled = Stalled;
  return Result;
}

void AgentSession::close(std::function<void()> Done) {
  answerWaiting();
  Closed = true;
  HoldTimer->cancel();
  HoldRequest Last;
  Last.LeaseEnd = grantedLease();
  Last.EndsRecorded = EndsRecorded;
  Port.hold(Token, workerId(), Last,
            [Done = std::move(Done)](const HoldOutcome &) { Done(); });
}

} // namespace daisyspool::runner
