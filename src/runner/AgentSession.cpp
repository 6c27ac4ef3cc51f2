#include "daisyspool/runner/AgentSession.h"

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
/// Pause after a hold that failed, or that answered at once with nothing new.
constexpr Millis HoldPause{100};
/// Pause before an order without an answer is repeated.
constexpr Millis OrderPause{60};
/// A start that is not settled by then is made impossible instead.
constexpr Millis StartPatience{1500};
/// A run needs at least so much of a lease to be worth a start.
constexpr Millis LeastLease{300};
/// A worker that declines a start so often in a row is reported.
constexpr int MaxBusyAnswers = 3;
/// How far a token is raised when the worker knows a higher one; more than a
/// clock is expected to be set back.
constexpr std::uint64_t TokenStep = 60000;

/// Refused tasks that are remembered; some minutes' worth of refusals.
constexpr std::size_t MaxRemembered = 2000;

std::uint64_t millisOf(TimePoint When) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(When.time_since_epoch()).count());
}

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

/// One start or stop that is not settled.
struct AgentSession::Order {
  explicit Order(EventLoop &Loop) : Pause(Loop.timer()) {}

  StartOrder What;
  bool HasStart = false;
  bool Accepted = false;
  TimePoint AcceptedAt{};
  TimePoint FirstTry{};
  int BusyAnswers = 0;
  /// Starts that may still be carried out.
  int Unanswered = 0;
  bool StopWanted = false;
  bool StopAccepted = false;
  bool InFlight = false;
  std::unique_ptr<Timer> Pause;
};

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

void AgentSession::expireLease() {
  if (!Silent || Time.now() <= LeaseBound || Orders.empty())
    return;

  // No order that is still on its way can have an effect: its lease is over.
  std::vector<RunName> Void;
  for (const auto &[Name, Order] : Orders)
    Void.push_back(Name);
  for (const RunName &Name : Void)
    refuse(Name, RefusalReason::Late);
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
  Leader = What.Leader;
  grant(What);
  for (const StartOrder &Each : What.Starts)
    takeStart(Each);
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

void AgentSession::grant(const SyncRequest &What) {
  if (What.StampedBy == Config.Incarnation && What.EchoedStamp != 0) {
    TimePoint Stamp{Millis(What.EchoedStamp)};
    GrantEnd =
        std::max(GrantEnd, Stamp + std::min(What.Grant, Config.MaxLease));
  }
  if (What.EndsOf == Life && What.EndsRecorded > EndsRecorded) {
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

void AgentSession::takeStart(const StartOrder &What) {
  Hint &Known = Hints[What.Name];
  Known.Image = What.Image;
  Known.FillsIdleCpu = What.FillsIdleCpu;
  Known.TailTarget = What.TailTarget;
  Known.StallAfter = What.StallAfter;
  Known.HarmlessTo = What.HarmlessTo;
  // A refusal stands: the leader may have sent the order again before it heard
  // of it, and starts the task elsewhere when it does.
  auto Given = RefusedUpTo.find(What.Name.Task);
  if (Given != RefusedUpTo.end() && What.Name.Run <= Given->second) {
    // A new leader may not have heard of it.
    bool Listed = std::any_of(Refused.begin(), Refused.end(), [&](auto &Each) {
      return Each.Name == What.Name;
    });
    if (!Listed)
      refuse(What.Name, RefusalReason::Cancelled);
    return;
  }
  if (Orders.count(What.Name) != 0 || listed(What.Name) || ended(What.Name))
    return;
  auto Created = std::make_shared<Order>(Loop);
  Created->What = What;
  Created->HasStart = true;
  Created->FirstTry = Time.now();
  Orders.emplace(What.Name, std::move(Created));
  // Before the first listing the run may be there already, started through an
  // earlier agent process.
  if (HaveListing)
    attemptStart(What.Name);
}

void AgentSession::takeStop(const RunName &What) {
  auto &Order = Orders[What];
  if (!Order)
    Order = std::make_shared<AgentSession::Order>(Loop);
  Order->StopWanted = true;
  if (!Order->InFlight && !Order->StopAccepted)
    attemptStop(What);
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

void AgentSession::attemptStart(const RunName &Name) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end() || Found->second->InFlight || Closed)
    return;
  Order &Start = *Found->second;
  if (Start.StopWanted)
    return attemptStop(Name);

  bool Leaving = Start.What.Life != Life || (Worker && Worker->Draining);
  if (Leaving && Start.Unanswered == 0)
    return refuse(Name, RefusalReason::Leaving);

  auto LeaseEnd = grantedLease();
  bool Overdue = Time.now() - Start.FirstTry > StartPatience;
  // A new agent process gets its first grant with the second sync.
  if (!LeaseEnd && !Overdue && !Leaving)
    return retry(Name, OrderPause);
  if (!LeaseEnd || Overdue || Leaving) {
    if (Start.Unanswered == 0)
      return refuse(Name, RefusalReason::Late);
    Start.StopWanted = true;
    return attemptStop(Name);
  }
  Start.InFlight = true;
  Port.start(
      Token, workerId(),
      {Name, Start.What.Spec, Start.What.Checkpoint, *LeaseEnd},
      [this, Name](const StartOutcome &Outcome) { onStart(Name, Outcome); });
}

void AgentSession::onStart(const RunName &Name, const StartOutcome &Outcome) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;
  Order &Start = *Found->second;
  Start.InFlight = false;
  std::visit(Overloaded{[&](const Started &) {
                          Start.Accepted = true;
                          Start.AcceptedAt = Time.now();
                          if (Start.StopWanted)
                            attemptStop(Name);
                          else
                            paceNew(Name);
                        },
                        [&](const FencedOut &) {
                          raiseToken();
                          retry(Name, OrderPause);
                        },
                        [&](const StartRefused &Why) {
                          // A repeated start that finds its own run over is no
                          // refusal: the worker lists the end.
                          bool RanAlready = Why.Reason == RefusalReason::Old &&
                                            Start.Unanswered > 0;
                          if (RanAlready)
                            Orders.erase(Name);
                          else
                            refuse(Name, Why.Reason);
                        },
                        [&](const WorkerBusy &) {
                          if (++Start.BusyAnswers < MaxBusyAnswers)
                            return retry(Name, OrderPause);
                          if (Start.Unanswered == 0)
                            return refuse(Name, RefusalReason::Unhealthy);
                          Start.StopWanted = true;
                          attemptStop(Name);
                        },
                        [&](const OtherLife &) {
                          refuse(Name, RefusalReason::Leaving);
                        },
                        [&](const NoWorkerAnswer &Why) {
                          ++Start.Unanswered;
                          LogEvent(LogLevel::Info, "start_unanswered")
                              .with("task", workload::toString(Name.Task))
                              .with("run", Name.Run)
                              .with("attempt", Start.Unanswered)
                              .with("detail", Why.Detail);
                          retry(Name, OrderPause);
                        }},
             Outcome);
}

void AgentSession::attemptStop(const RunName &Name) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end() || Found->second->InFlight || Closed)
    return;
  Found->second->InFlight = true;
  Port.stop(Token, workerId(), Name, [this, Name](const OrderOutcome &Outcome) {
    onStop(Name, Outcome);
  });
}

void AgentSession::onStop(const RunName &Name, const OrderOutcome &Outcome) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;
  Order &Stop = *Found->second;
  Stop.InFlight = false;
  std::visit(
      Overloaded{
          [&](const Done &) {
            Stop.StopAccepted = true;
            Stop.AcceptedAt = Time.now();
          },
          [&](const FencedOut &) {
            raiseToken();
            retry(Name, OrderPause);
          },
          [&](const WorkerBusy &) { retry(Name, HoldPause); },
          [&](const OtherLife &) { refuse(Name, RefusalReason::Cancelled); },
          [&](const NoWorkerAnswer &) { retry(Name, HoldPause); }},
      Outcome);
}

void AgentSession::retry(const RunName &Name, Millis Pause) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;

  auto Order = Found->second;
  Order->Pause->start(Pause, [this, Name] {
    auto Again = Orders.find(Name);
    if (Again == Orders.end())
      return;
    if (Again->second->StopWanted || !Again->second->HasStart)
      attemptStop(Name);
    else
      attemptStart(Name);
  });
}

void AgentSession::refuse(const RunName &Name, RefusalReason Reason) {
  LogEvent(LogLevel::Info, "run_refused")
      .with("task", workload::toString(Name.Task))
      .with("run", Name.Run)
      .with("reason", static_cast<std::int64_t>(Reason))
      .with("grant_left_ms",
            std::chrono::duration_cast<Millis>(GrantEnd - Time.now()).count());
  Orders.erase(Name);
  Hints.erase(Name);
  Refused.push_back({++LastRefusal, Name, Reason});
  if (RefusedUpTo.size() >= MaxRemembered)
    RefusedUpTo.erase(RefusedUpTo.begin());
  RefusedUpTo[Name.Task] = std::max(RefusedUpTo[Name.Task], Name.Run);
  news();
}

void AgentSession::raiseToken() {
  Token = FencingToken(Token.value() + TokenStep);
  LogEvent(LogLevel::Warning, "token_raised").with("token", Token);
}

void AgentSession::hold() {
  if (Closed)
    return;

  PausedHold = false;
  HoldRequest What;
  What.LeaseEnd = grantedLease();
  What.EndsRecorded = EndsRecorded;
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

/// Removes the orders whose result a listing shows. A listing counts only if
/// it was asked for after the order was accepted.
void AgentSession::settleOrders(TimePoint SentAt) {
  std::vector<RunName> Settled;
  std::vector<RunName> NeverThere;
  for (const auto &[Name, Order] : Orders) {
    if (ended(Name)) {
      Settled.push_back(Name);
      continue;
    }
    if (Order->StopWanted) {
      bool Late = Order->StopAccepted &&
                  SentAt > Order->AcceptedAt + Config.StopTimeout;
      if (Late && !listed(Name))
        NeverThere.push_back(Name);
      continue;
    }
    if (Order->Accepted && SentAt > Order->AcceptedAt)
      Settled.push_back(Name);
  }
  for (const RunName &Name : Settled)
    Orders.erase(Name);
  for (const RunName &Name : NeverThere)
    refuse(Name, RefusalReason::Cancelled);
}

void AgentSession::startWaitingOrders() {
  std::vector<RunName> Names;
  for (const auto &[Name, Order] : Orders)
    Names.push_back(Name);
  for (const RunName &Name : Names) {
    auto Found = Orders.find(Name);
    if (Found == Orders.end())
      continue;
    if (listed(Name) && !Found->second->StopWanted)
      Orders.erase(Found);
    else
      attemptStart(Name);
  }
}

void AgentSession::watchProgress(TimePoint Now) {
  std::map<RunName, Watched> Next;
  std::vector<RunName> StalledNow;
  for (const RunningTask &Task : Running) {
    auto Before = Progress.find(Task.Name);
    auto Known = Hints.find(Task.Name);
    bool Paced = Known != Hints.end() && Known->second.PacedTo < 100;
    bool Moved = Before == Progress.end() ||
                 Before->second.Percent != Task.Percent || Paced;
    Watched &Entry = Next[Task.Name];
    Entry = Moved ? Watched{Task.Percent, Now} : Before->second;
    if (Known == Hints.end() || Known->second.StallAfter == Millis(0) ||
        Task.Percent >= 100)
      continue;
    if (Now - Entry.Since > Known->second.StallAfter)
      StalledNow.push_back(Task.Name);
  }
  Progress = std::move(Next);
  if (StalledNow.size() > Stalled.size())
    news();
  Stalled = std::move(StalledNow);
}

double AgentSession::worstTailBeside(const Hint &Filling) const {
  double Worst = 0;
  for (const RunningTask &Task : Running) {
    auto Known = Hints.find(Task.Name);
    if (Known == Hints.end() || Known->second.TailTarget == Millis(0))
      continue;
    const auto &Harmless = Filling.HarmlessTo;
    if (std::find(Harmless.begin(), Harmless.end(), Known->second.Image) !=
        Harmless.end())
      continue;
    Worst = std::max(Worst,
                     static_cast<double>(Task.Load) /
                         static_cast<double>(Known->second.TailTarget.count()));
  }

  return Worst;
}

void AgentSession::paceFilling(TimePoint Now) {
  double Worst = 0;
  double WorstOfAll = worstTailBeside({});
  std::vector<std::pair<RunName, double>> Filling;
  for (const RunningTask &Task : Running) {
    auto Known = Hints.find(Task.Name);
    if (Known == Hints.end() || !Known->second.FillsIdleCpu)
      continue;
    Filling.emplace_back(Task.Name, worstTailBeside(Known->second));
    Worst = std::max(Worst, Filling.back().second);
  }
  // Beyond the bound what is known of harmless pairs is not relied on.
  bool StopAll = !Filling.empty() && Overrun.update(WorstOfAll, Now);
  std::uint32_t Percent = Pacer.update(Worst, Now);
  for (const auto &[Name, Tail] : Filling) {
    // A task beside services that are well off needs no slowing down.
    bool Free = Tail < FillPacer::SpeedUpBelow;
    pace(Name, StopAll ? 0 : Free ? 100 : Percent, StopAll ? WorstOfAll : Tail);
  }
}

/// Load pattern: short filling tasks that follow each other; each would work at
/// full speed until the next listing and keep a tail beyond its target.
void AgentSession::paceNew(const RunName &Name) {
  auto Known = Hints.find(Name);
  if (Known == Hints.end() || !Known->second.FillsIdleCpu)
    return;
  double Tail = worstTailBeside(Known->second);
  if (Overrun.over())
    pace(Name, 0, Tail);
  else if (Tail >= FillPacer::SpeedUpBelow)
    pace(Name, Pacer.percent(), Tail);
}

void AgentSession::pace(const RunName &Name, std::uint32_t Percent,
                        double Tail) {
  Hint &Known = Hints[Name];
  if (Known.PacedTo == Percent)
    return;

  std::uint32_t Before = Known.PacedTo;
  Known.PacedTo = Percent;
  LogEvent(LogLevel::Info, "run_paced")
      .with("task", workload::toString(Name.Task))
      .with("percent", Percent)
      .with("tail_percent", static_cast<std::int64_t>(Tail * 100));
  Port.pace(Token, workerId(), Name, Percent,
            [this, Name, Before](const OrderOutcome &Outcome) {
              auto Paced = Hints.find(Name);
              // Without an answer the next listing tries again.
              if (!std::holds_alternative<Done>(Outcome) &&
                  Paced != Hints.end())
                Paced->second.PacedTo = Before;
            });
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
