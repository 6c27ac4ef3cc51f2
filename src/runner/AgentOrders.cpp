// The part of AgentSession that carries starts and stops to the worker until
// each is settled.
#include "runner/AgentOrder.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <chrono>

namespace daisyspool::runner {

namespace {

/// A start that is not settled by then is made impossible instead.
constexpr Millis StartPatience{1500};
/// A worker that declines a start so often in a row is reported.
constexpr int MaxBusyAnswers = 3;
/// How far a token is raised when the worker knows a higher one; more than a
/// clock is expected to be set back.
constexpr std::uint64_t TokenStep = 60000;
/// Refused tasks that are remembered; some minutes' worth of refusals.
constexpr std::size_t MaxRemembered = 2000;

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

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

void AgentSession::takeStart(const StartOrder &What, TimePoint ValidUntil) {
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
  Created->StartBy = std::min(Time.now() + StartPatience, ValidUntil);
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
  bool Overdue = Time.now() > Start.StartBy;
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
                          // A repeated start may find its own run over, so
                          // the order stays until a listing has shown whether
                          // the run has ended or was made impossible.
                          if (Why.Reason != RefusalReason::Old)
                            return refuse(Name, Why.Reason);
                          Start.Accepted = true;
                          Start.WasThere = true;
                          Start.AcceptedAt = Time.now();
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

/// Removes the orders whose result a listing shows. A listing counts only if
/// it was asked for after the order was accepted.
void AgentSession::settleOrders(TimePoint SentAt) {
  std::vector<RunName> Settled;
  std::vector<std::pair<RunName, RefusalReason>> Impossible;
  for (const auto &[Name, Order] : Orders) {
    if (ended(Name)) {
      Settled.push_back(Name);
      continue;
    }
    if (Order->StopWanted) {
      bool Late = Order->StopAccepted &&
                  SentAt > Order->AcceptedAt + Config.StopTimeout;
      if (Late && !listed(Name))
        Impossible.emplace_back(Name, RefusalReason::Cancelled);
      continue;
    }
    if (!Order->Accepted || SentAt <= Order->AcceptedAt)
      continue;
    if (Order->WasThere && !listed(Name))
      Impossible.emplace_back(Name, RefusalReason::Old);
    else
      Settled.push_back(Name);
  }
  for (const RunName &Name : Settled)
    Orders.erase(Name);
  for (const auto &[Name, Reason] : Impossible)
    refuse(Name, Reason);
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

} // namespace daisyspool::runner
