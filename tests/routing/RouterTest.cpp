#include "daisyspool/routing/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace daisyspool;

namespace {

RouterSettings settings() {
  RouterSettings Settings;
  Settings.Home = FailureDomainId("burgdorf");
  return Settings;
}

TargetInfo target(int Number, const char *Domain = "burgdorf",
                  std::uint32_t Slots = 2) {
  return {TargetId("w" + std::to_string(Number)), FailureDomainId(Domain),
          Slots, 4};
}

RouteRequest request() {
  RouteRequest Request;
  Request.Idempotent = true;
  Request.Remaining = std::chrono::seconds(1);
  Request.ExpectedService = Millis(10);
  return Request;
}

/// Sends one attempt if there is a target.
std::optional<AttemptTicket> send(Router &Of, const RouteRequest &Request,
                                  TimePoint Now) {
  auto Id = Of.choose(Request, Now);
  if (!Id)
    return std::nullopt;
  return Of.onSent(*Id, Request, Now);
}

TimePoint at(Duration SinceStart) { return TimePoint(SinceStart); }

/// What the router may do, written as counts alone.
struct RouterOracle {
  struct Entry {
    TargetInfo Info;
    std::uint32_t Slots = 0;
    std::uint32_t Connections = 0;
    /// Slots that attempts need at the target itself.
    double Occupied = 0;
  };
  struct Attempt {
    AttemptTicket Ticket;
    TargetId Id;
    Occupancy Holds;
    int Life;
  };

  /// An attempt at home needs a slot all the time. One that takes 10 ms at a
  /// target 5 ms away needs it for two thirds of the time.
  static double occupies(const TargetInfo &Info) {
    return Info.Domain == settings().Home ? 1 : 10.0 / 15.0;
  }

  std::map<TargetId, Entry> Present;
  std::map<TargetId, int> Lives;
  std::vector<Attempt> InFlight;
  std::uint64_t First = 0;
  std::uint64_t Extra = 0;

  void settle(const Attempt &Ended) {
    auto Found = Present.find(Ended.Id);
    if (Found == Present.end() || Lives[Ended.Id] != Ended.Life)
      return;
    Found->second.Connections -= 1;
    if (Ended.Holds == Occupancy::ConnectionOnly)
      return;
    Found->second.Slots -= 1;
    Found->second.Occupied -= occupies(Found->second.Info);
  }
};

void sendChecked(Router &Of, RouterOracle &Oracle, TimePoint Now) {
  RouteRequest Request = request();
  Request.Kind = *rc::gen::element(AttemptKind::First, AttemptKind::First,
                                   AttemptKind::Retry, AttemptKind::Hedge);
  Request.Holds = *rc::gen::element(Occupancy::Slot, Occupancy::Slot,
                                    Occupancy::ConnectionOnly);
  Request.Idempotent = *rc::gen::arbitrary<bool>();
  auto Id = Of.choose(Request, Now);
  if (!Id)
    return;

  auto Found = Oracle.Present.find(*Id);
  RC_ASSERT(Found != Oracle.Present.end());
  RC_ASSERT(Request.Kind == AttemptKind::First || Request.Idempotent);
  auto Ticket = Of.onSent(*Id, Request, Now);
  ++(Request.Kind == AttemptKind::First ? Oracle.First : Oracle.Extra);
  RC_ASSERT(Oracle.Extra * 10 <= Oracle.First);

  RouterOracle::Entry &Entry = Found->second;
  ++Entry.Connections;
  if (Request.Holds == Occupancy::Slot) {
    ++Entry.Slots;
    Entry.Occupied += RouterOracle::occupies(Entry.Info);
  }
  RC_ASSERT(Entry.Occupied <= Entry.Info.Slots + 1e-6);
  RC_ASSERT(Entry.Connections <= Entry.Info.Connections);
  Oracle.InFlight.push_back({Ticket, *Id, Request.Holds, Oracle.Lives[*Id]});
}

void endChecked(Router &Of, RouterOracle &Oracle, TimePoint Now) {
  if (Oracle.InFlight.empty())
    return;

  auto Place = *rc::gen::inRange<std::size_t>(0, Oracle.InFlight.size());
  RouterOracle::Attempt Ended = Oracle.InFlight[Place];
  Oracle.InFlight.erase(Oracle.InFlight.begin() +
                        static_cast<std::ptrdiff_t>(Place));
  Oracle.settle(Ended);
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    Of.onReply(Ended.Ticket, {3, 1, 3, 1, 1, {}}, Now);
    break;
  case 1:
    Of.onFailure(Ended.Ticket, FailureKind::Error, Now);
    break;
  case 2:
    Of.onFailure(Ended.Ticket,
                 *rc::gen::element(FailureKind::LinkSilent, FailureKind::Full),
                 Now);
    break;
  default:
    Of.onCancelled(Ended.Ticket, Now);
  }
}

void stepChecked(Router &Of, RouterOracle &Oracle, TimePoint &Now) {
  int Number = *rc::gen::inRange(0, 8);
  TargetInfo Info = target(Number, Number % 2 ? "langnau" : "burgdorf");
  switch (*rc::gen::weightedElement<int>(
      {{1, 0}, {1, 1}, {8, 2}, {6, 3}, {2, 4}})) {
  case 0:
    Of.addTarget(Info, Now, *rc::gen::arbitrary<bool>());
    Oracle.Present[Info.Id] = {Info, 0, 0, 0};
    ++Oracle.Lives[Info.Id];
    break;
  case 1:
    Of.removeTarget(Info.Id, Now);
    Oracle.Present.erase(Info.Id);
    break;
  case 2:
    sendChecked(Of, Oracle, Now);
    break;
  case 3:
    endChecked(Of, Oracle, Now);
    break;
  default:
    Now += Millis(*rc::gen::inRange(0, 3000));
  }
}

} // namespace

// Guards against a target that gets more than it has slots or connections,
// against new work for a removed target, against retries and hedges without a
// paid place in the budget, and against the ejection of most of a service.
TEST_CASE("the router agrees with a counting oracle on any history") {
  REQUIRE(rc::check([] {
    RetryBudget Budget;
    Router Of(settings(), Budget, 7);
    Of.setExtraDelay(FailureDomainId("langnau"), Millis(5));
    RouterOracle Oracle;
    TimePoint Now = at(std::chrono::hours(1));

    int Steps = *rc::gen::inRange(0, 400);
    for (int Step = 0; Step < Steps; ++Step) {
      stepChecked(Of, Oracle, Now);

      RC_ASSERT(Of.targetCount() == Oracle.Present.size());
      RC_ASSERT(Of.ejectedCount() * 2 <= Of.targetCount());
      for (const auto &[Id, Entry] : Oracle.Present) {
        RC_ASSERT(Of.slotsInFlight(Id) == Entry.Slots);
        RC_ASSERT(Of.connectionsInFlight(Id) == Entry.Connections);
      }
    }
  }));
}

// Guards against requests that cross to another failure domain while their own
// has room, and against idle targets there while requests wait for long.
TEST_CASE("a request spills only if that saves more than the extra delay") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.setExtraDelay(FailureDomainId("langnau"), Millis(6));
  Of.addTarget(target(1), at(Millis(0)), true);
  Of.addTarget(target(2, "langnau"), at(Millis(0)), true);

  REQUIRE(Of.choose(request(), at(Millis(1))) == TargetId("w1"));
  REQUIRE(send(Of, request(), at(Millis(1))));
  REQUIRE(send(Of, request(), at(Millis(1))));

  // One waiting request gets a slot at home after about 5 ms.
  REQUIRE_FALSE(Of.choose(request(), at(Millis(1))));
  REQUIRE(Of.lastDecision().Reason == RouteReason::WaitForHome);

  RouteRequest Long = request();
  Long.Waiting = 4;
  REQUIRE(Of.choose(Long, at(Millis(1))) == TargetId("w2"));
  REQUIRE(Of.lastDecision().Reason == RouteReason::Spilled);
  REQUIRE(Of.explainLast().find("reason=spilled") != std::string::npos);
}

// Guards against spilling over a link whose delay has grown, and against
// avoiding it for ever after it has recovered.
TEST_CASE("the extra delay of a domain is learned from replies and fades") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.setExtraDelay(FailureDomainId("langnau"), Millis(6));
  Of.addTarget(target(2, "langnau"), at(Millis(0)), true);
  TimePoint Now = at(Millis(1));
  for (int Count = 0; Count < 100; ++Count) {
    auto Ticket = send(Of, request(), Now);
    REQUIRE(Ticket);
    Now += Millis(90);
    Of.onReply(*Ticket, {0, 0, 0, 0, 0, Millis(10)}, Now);
  }
  Of.addTarget(target(1), Now, true);
  send(Of, request(), Now);
  send(Of, request(), Now);

  RouteRequest Waits = request();
  Waits.Waiting = 4;
  REQUIRE_FALSE(Of.choose(Waits, Now));
  REQUIRE(Of.choose(Waits, Now + std::chrono::minutes(2)) == TargetId("w2"));
}

// Guards against batch work that takes the home slots of urgent requests, which
// must then cross to another domain.
TEST_CASE("home slots kept for a more urgent class stay free") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.setExtraDelay(FailureDomainId("langnau"), Millis(0));
  Of.addTarget(target(1), at(Millis(0)), true);
  Of.addTarget(target(2, "langnau"), at(Millis(0)), true);
  RouteRequest Batch = request();
  Batch.Class = WorkClass::Batch;
  Batch.ReservationAbove = 2;
  while (auto Ticket = send(Of, Batch, at(Millis(1))))
    continue;
  REQUIRE(Of.slotsInFlight(TargetId("w1")) == 0);
  REQUIRE(Of.slotsInFlight(TargetId("w2")) == 2);

  // A held slot counts as kept, so one that more urgent work does not need
  // goes to batch.
  Batch.ReservationAbove = 1;
  REQUIRE(send(Of, request(), at(Millis(1))));
  REQUIRE(Of.choose(Batch, at(Millis(1))) == TargetId("w1"));
}

// Guards against slots that stand idle during the round trip, which cost a
// tenth of the capacity under a flood of short requests.
TEST_CASE("a distant target gets attempts for its slots and the way there") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.setExtraDelay(FailureDomainId("langnau"), Millis(5));
  TargetInfo Distant = target(2, "langnau", 4);
  Distant.Connections = 64;
  Of.addTarget(Distant, at(Millis(0)), true);
  int Sent = 0;
  while (send(Of, request(), at(Millis(1))))
    ++Sent;
  REQUIRE(Sent == 6);
  REQUIRE(Of.capacity(Occupancy::Slot) == 6);
}

// Guards against a failing target that keeps its share, one that comes back
// with full load, and one that never comes back.
TEST_CASE("a failing target is ejected, probed and slowly started") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.addTarget(target(1, "burgdorf", 4), at(Millis(0)), true);
  Of.addTarget(target(2, "burgdorf", 4), at(Millis(0)), true);
  TimePoint Now = at(Millis(1));
  // With the good target full, all requests meet the failing one.
  std::vector<AttemptTicket> Held;
  int Failures = 0;
  while (auto Id = Of.choose(request(), Now)) {
    auto Ticket = Of.onSent(*Id, request(), Now);
    if (*Id == TargetId("w2")) {
      Held.push_back(Ticket);
      continue;
    }
    Of.onFailure(Ticket, FailureKind::Error, Now);
    ++Failures;
  }
  REQUIRE(Failures == 3);
  REQUIRE(Of.ejectedCount() == 1);

  // Ten first attempts pay for the retry that a failed probe would need.
  for (const AttemptTicket &Ticket : Held)
    Of.onReply(Ticket, {}, Now);
  for (int Count = 0; Count < 10; ++Count)
    Of.onCancelled(*send(Of, request(), Now), Now);
  Now += std::chrono::seconds(2);
  REQUIRE(Of.choose(request(), Now) == TargetId("w1"));
  REQUIRE(Of.lastDecision().Reason == RouteReason::Probe);
  auto Probe = Of.onSent(TargetId("w1"), request(), Now);
  REQUIRE(Of.choose(request(), Now) == TargetId("w2"));

  Of.onReply(Probe, {}, Now);
  REQUIRE(Of.ejectedCount() == 0);
  REQUIRE(Of.capacity(Occupancy::Slot) == 5);
  Now += std::chrono::seconds(6);
  Of.choose(request(), Now);
  REQUIRE(Of.capacity(Occupancy::Slot) == 8);
}

// Guards against a probe that puts a non-idempotent request at risk.
TEST_CASE("a non-idempotent request is not used as a probe") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.addTarget(target(1), at(Millis(0)), true);
  Of.addTarget(target(2), at(Millis(0)), true);
  auto Ticket = send(Of, request(), at(Millis(1)));
  Of.onFailure(*Ticket, FailureKind::LinkSilent, at(Millis(1)));
  REQUIRE(Of.ejectedCount() == 1);

  RouteRequest Offer = request();
  Offer.Idempotent = false;
  for (int Count = 0; Count < 20; ++Count) {
    Of.choose(Offer, at(std::chrono::seconds(3)));
    REQUIRE(Of.lastDecision().Reason != RouteReason::Probe);
  }
}

// Guards against a burst that fills a target for which another entry already
// uses slots, and against believing an old report for ever.
TEST_CASE("slots used by other entries count until the report is old") {
  RetryBudget Budget;
  Router Of(settings(), Budget, 1);
  Of.addTarget(target(1), at(Millis(0)), true);
  auto Ticket = send(Of, request(), at(Millis(1)));
  Of.onReply(*Ticket, {2, 0, 2, 0, 0, Millis(10)}, at(Millis(11)));

  REQUIRE_FALSE(Of.choose(request(), at(Millis(12))));
  REQUIRE(Of.choose(request(), at(std::chrono::seconds(2))));
}

// Guards against hedges that add load while the fleet is full.
TEST_CASE("hedging needs an idempotent request, time and spare slots") {
  HedgePolicy Policy(HedgeSettings{});
  for (int Count = 0; Count < 1000; ++Count)
    Policy.onReply(Millis(10));

  auto Delay = Policy.delay(true, Millis(500), 0.5);
  REQUIRE(Delay);
  REQUIRE(*Delay >= Millis(10));
  REQUIRE(*Delay < Millis(13));
  REQUIRE_FALSE(Policy.delay(false, Millis(500), 0.5));
  REQUIRE_FALSE(Policy.delay(true, Millis(5), 0.5));
  REQUIRE_FALSE(Policy.delay(true, Millis(500), 0.9));
}
