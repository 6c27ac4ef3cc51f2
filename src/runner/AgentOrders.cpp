// The part of AgentSession that sends starts and stops to the worker until each
// is settled.
#include "runner/AgentOrder.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisyspool::runner {

namespace {

/// A start that is not accepted within this time is ruled out by a stop.
constexpr Millis StartTimeout{1500};
/// After this many busy answers to a start the run is reported as refused.
constexpr int MaxBusyAnswers = 3;
/// Added to the token when the worker knows a higher one; more than the
/// milliseconds by which a clock is expected to be set back.
constexpr std::uint64_t TokenStep = 60000;
/// Number of refusals that are remembered after the leader has seen them; those
/// of some minutes.
constexpr std::size_t MaxRememberedRefusals = 2000;

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

void AgentSession::refuseExpiredOrders() {
  if (!WorkerSilent || Time.now() <= LeaseBound || Orders.empty())
    return;

  // Orders that are still in flight have no effect, as their lease is over.
  std::vector<RunName> Expired;
  for (const auto &[Name, Order] : Orders)
    Expired.push_back(Name);
  for (const RunName &Name : Expired)
    refuse(Name, RefusalReason::Late);
}

void AgentSession::addStart(const StartOrder &Start, TimePoint ValidUntil) {
  RunTraits &Known = TraitsByRun[Start.Name];
  Known.Image = Start.Image;
  Known.FillsIdleCpu = Start.FillsIdleCpu;
  Known.TailTarget = Start.TailTarget;
  Known.StallAfter = Start.StallAfter;
  Known.HarmlessTo = Start.HarmlessTo;
  // A refusal is final: the leader may have repeated the order before it
  // received the refusal, and starts the task elsewhere after that.
  auto LastRefused = RefusedUpTo.find(Start.Name.Task);
  if (LastRefused != RefusedUpTo.end() &&
      Start.Name.Run <= LastRefused->second.Run) {
    // A new leader may not have received the refusal.
    if (RefusedNames.count(Start.Name) == 0)
      refuse(Start.Name, RefusalReason::Cancelled);
    return;
  }
  if (Orders.count(Start.Name) != 0 || isListed(Start.Name) ||
      hasEnded(Start.Name))
    return;
  auto Created = std::make_shared<Order>(Loop);
  Created->Definition = Start;
  Created->HasStart = true;
  Created->MayStartLate = Time.now() < EarlierOrdersEnd;
  Created->StartDeadline = std::min(Time.now() + StartTimeout, ValidUntil);
  Orders.emplace(Start.Name, std::move(Created));
  // Before the first listing the run may already be on the worker, started by
  // an earlier agent process.
  if (HasListing)
    attemptStart(Start.Name);
}

void AgentSession::addStop(const RunName &Name) {
  auto &Order = Orders[Name];
  if (!Order)
    Order = std::make_shared<AgentSession::Order>(Loop);
  Order->StopWanted = true;
  if (!Order->InFlight && !Order->StopAccepted)
    attemptStop(Name);
}

void AgentSession::attemptStart(const RunName &Name) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end() || Found->second->InFlight || Closed)
    return;
  Order &Start = *Found->second;
  if (Start.StopWanted)
    return attemptStop(Name);

  bool Leaving = Start.Definition.Life != Life || (Worker && Worker->Draining);

  auto LeaseEnd = grantedLease();
  bool Overdue = Time.now() > Start.StartDeadline;
  // A new agent process gets its first grant with the second sync.
  if (!LeaseEnd && !Overdue && !Leaving)
    return retryLater(Name, OrderPause);
  if (!LeaseEnd || Overdue || Leaving)
    return giveUpStart(Name,
                       Leaving ? RefusalReason::Leaving : RefusalReason::Late);
  if (!reserveOrder(Name, Start))
    return;
  Port.start(
      Token, workerId(),
      {Name, Start.Definition.Spec, Start.Definition.Checkpoint, *LeaseEnd},
      [this, Name](const StartOutcome &Outcome) {
        onStartOutcome(Name, Outcome);
      });
}

void AgentSession::onStartOutcome(const RunName &Name,
                                  const StartOutcome &Outcome) {
  settleStart(Name, Outcome);
  releaseOrder();
}

void AgentSession::settleStart(const RunName &Name,
                               const StartOutcome &Outcome) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;
  Order &Start = *Found->second;
  Start.InFlight = false;
  std::visit(Overloaded{[&](const Started &) {
                          Start.StartAccepted = true;
                          Start.AcceptedAt = Time.now();
                          if (Start.StopWanted)
                            attemptStop(Name);
                          else
                            paceNewRun(Name);
                        },
                        [&](const FencedOut &) {
                          raiseToken();
                          retryLater(Name, OrderPause);
                        },
                        [&](const StartRefused &Refusal) {
                          // The run of a repeated start may have ended already,
                          // so the order stays until a listing shows whether it
                          // has ended or never ran.
                          if (Refusal.Reason != RefusalReason::Old)
                            return giveUpStart(Name, Refusal.Reason);
                          if (Start.StopWanted)
                            return attemptStop(Name);
                          Start.StartAccepted = true;
                          Start.DeclinedAsOld = true;
                          Start.AcceptedAt = Time.now();
                        },
                        [&](const WorkerBusy &) {
                          if (++Start.BusyAnswers < MaxBusyAnswers)
                            return retryLater(Name, OrderPause);
                          giveUpStart(Name, RefusalReason::Unhealthy);
                        },
                        [&](const OtherLife &) {
                          refuse(Name, RefusalReason::Leaving);
                        },
                        [&](const NoWorkerAnswer &Failure) {
                          ++Start.UnansweredStarts;
                          Start.MayStartLate = true;
                          LogEvent(LogLevel::Info, "start_unanswered")
                              .with("task", workload::toString(Name.Task))
                              .with("run", Name.Run)
                              .with("attempt", Start.UnansweredStarts)
                              .with("detail", Failure.Detail);
                          retryLater(Name, OrderPause);
                        }},
             Outcome);
}

void AgentSession::giveUpStart(const RunName &Name, RefusalReason Reason) {
  Order &Start = *Orders.at(Name);
  // While ends are truncated, the order may repeat that of a run that ended.
  if (!Start.MayStartLate && !EndsTruncated)
    return refuse(Name, Reason);
  Start.ReasonAfterStop = Reason;
  Start.StopWanted = true;
  attemptStop(Name);
}

void AgentSession::attemptStop(const RunName &Name) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end() || Found->second->InFlight || Closed)
    return;
  if (!reserveOrder(Name, *Found->second))
    return;
  Port.stop(Token, workerId(), Name, [this, Name](const OrderOutcome &Outcome) {
    onStopOutcome(Name, Outcome);
  });
}

void AgentSession::onStopOutcome(const RunName &Name,
                                 const OrderOutcome &Outcome) {
  settleStop(Name, Outcome);
  releaseOrder();
}

void AgentSession::settleStop(const RunName &Name,
                              const OrderOutcome &Outcome) {
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
            retryLater(Name, OrderPause);
          },
          [&](const WorkerBusy &) { retryLater(Name, HoldPause); },
          [&](const OtherLife &) { refuse(Name, RefusalReason::Cancelled); },
          [&](const NoWorkerAnswer &) { retryLater(Name, HoldPause); }},
      Outcome);
}

/// Load pattern: hundreds of orders for one worker. Orders without a connection
/// would fail and be repeated at random, beside those of other jobs.
bool AgentSession::reserveOrder(const RunName &Name, Order &Next) {
  if (OrdersInFlight < Config.MaxOrdersInFlight) {
    ++OrdersInFlight;
    Next.InFlight = true;
    return true;
  }
  if (!std::exchange(Next.Queued, true))
    (Next.StopWanted || !Next.HasStart ? QueuedStops : QueuedStarts)
        .push_back(Name);
  return false;
}

void AgentSession::releaseOrder() {
  --OrdersInFlight;
  // An order without a connection is answered before the call returns.
  if (std::exchange(SendingQueued, true))
    return;
  while (OrdersInFlight < Config.MaxOrdersInFlight &&
         !(QueuedStops.empty() && QueuedStarts.empty())) {
    auto &Queue = QueuedStops.empty() ? QueuedStarts : QueuedStops;
    RunName Next = std::move(Queue.front());
    Queue.pop_front();
    attemptOrder(Next);
  }
  SendingQueued = false;
}

void AgentSession::attemptOrder(const RunName &Name) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;
  Order &Next = *Found->second;
  Next.Queued = false;
  if (Next.StopWanted || !Next.HasStart)
    attemptStop(Name);
  else
    attemptStart(Name);
}

void AgentSession::retryLater(const RunName &Name, Millis Delay) {
  auto Found = Orders.find(Name);
  if (Found == Orders.end())
    return;

  auto Order = Found->second;
  Order->RetryTimer->start(Delay, [this, Name] { attemptOrder(Name); });
}

void AgentSession::refuse(const RunName &Name, RefusalReason Reason) {
  LogEvent(LogLevel::Info, "run_refused")
      .with("task", workload::toString(Name.Task))
      .with("run", Name.Run)
      .with("reason", static_cast<std::int64_t>(Reason))
      .with("grant_left_ms",
            std::chrono::duration_cast<Millis>(GrantEnd - Time.now()).count());
  Orders.erase(Name);
  TraitsByRun.erase(Name);
  Refused.push_back({++LastRefusal, Name, Reason});
  RefusedNames.insert(Name);
  RememberedRefusal &Remembered = RefusedUpTo[Name.Task];
  Remembered = {std::max(Remembered.Run, Name.Run), LastRefusal};
  RefusalOrder.emplace_back(LastRefusal, Name.Task);
  reportChange();
}

/// A refusal that the leader has not seen is never forgotten: the leader may
/// still send the order again, and starts the task elsewhere later.
void AgentSession::forgetOldRefusals() {
  while (RefusalOrder.size() > MaxRememberedRefusals &&
         RefusalOrder.front().first <= RefusalsSeen) {
    const auto &[Number, Task] = RefusalOrder.front();
    auto Found = RefusedUpTo.find(Task);
    if (Found != RefusedUpTo.end() && Found->second.Number == Number)
      RefusedUpTo.erase(Found);
    RefusalOrder.pop_front();
  }
}

void AgentSession::raiseToken() {
  Token = FencingToken(Token.value() + TokenStep);
  LogEvent(LogLevel::Warning, "token_raised").with("token", Token);
}

/// Removes the orders whose outcome a listing shows. A listing counts only if
/// it was requested after the worker accepted the order.
void AgentSession::removeSettledOrders(TimePoint SentAt) {
  std::vector<RunName> Settled;
  std::vector<RunName> ToStopAgain;
  std::vector<std::pair<RunName, RefusalReason>> ToRefuse;
  for (const auto &[Name, Order] : Orders) {
    if (hasEnded(Name)) {
      Settled.push_back(Name);
      continue;
    }
    // The end of the run may be among those that are not listed.
    if (EndsTruncated && !isListed(Name))
      continue;
    if (Order->StopWanted) {
      bool StopTimeoutOver = Order->StopAccepted &&
                             SentAt > Order->AcceptedAt + Config.StopTimeout;
      if (StopTimeoutOver && !isListed(Name))
        ToRefuse.emplace_back(Name, Order->ReasonAfterStop);
      else if (StopTimeoutOver)
        ToStopAgain.push_back(Name);
      continue;
    }
    if (!Order->StartAccepted || SentAt <= Order->AcceptedAt)
      continue;
    if (Order->DeclinedAsOld && !isListed(Name))
      ToRefuse.emplace_back(Name, RefusalReason::Old);
    else
      Settled.push_back(Name);
  }
  for (const RunName &Name : Settled)
    Orders.erase(Name);
  for (const auto &[Name, Reason] : ToRefuse)
    refuse(Name, Reason);
  for (const RunName &Name : ToStopAgain) {
    Orders.at(Name)->StopAccepted = false;
    attemptStop(Name);
  }
}

void AgentSession::startWaitingOrders() {
  std::vector<RunName> Names;
  for (const auto &[Name, Order] : Orders)
    Names.push_back(Name);
  for (const RunName &Name : Names) {
    auto Found = Orders.find(Name);
    if (Found == Orders.end())
      continue;
    if (isListed(Name) && !Found->second->StopWanted)
      Orders.erase(Found);
    else
      attemptStart(Name);
  }
}

} // namespace daisyspool::runner
