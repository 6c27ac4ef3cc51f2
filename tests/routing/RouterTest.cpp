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
std::optional<AttemptTicket> send(Router &Subject, const RouteRequest &Request,
                                  TimePoint Now) {
  auto Id = Subject.choose(Request, Now);
  if (!Id)
    return std::nullopt;
  return Subject.onSent(*Id, Request, Now);
}

TimePoint at(Duration SinceStart) { return TimePoint(SinceStart); }

/// Reference model of the router that counts the capacity in use.
struct RouterOracle {
  struct Entry {
    TargetInfo Info;
    std::uint32_t Slots = 0;
    std::uint32_t Connections = 0;
    /// Sum of the slot fractions that attempts occupy at the target.
    double Occupied = 0;
  };
  struct Attempt {
    AttemptTicket Ticket;
    TargetId Id;
    Occupancy Holds;
    int Generation;
  };

  /// An attempt in the home domain occupies a slot all the time. One that takes
  /// 10 ms at a target 5 ms away occupies it for two thirds of the time.
  static double occupies(const TargetInfo &Info) {
    return Info.Domain == settings().Home ? 1 : 10.0 / 15.0;
  }

  std::map<TargetId, Entry> Present;
  std::map<TargetId, int> Generations;
  std::vector<Attempt> InFlight;
  std::uint64_t First = 0;
  std::uint64_t Extra = 0;

  void release(const Attempt &Ended) {
    auto Found = Present.find(Ended.Id);
    if (Found == Present.end() || Generations[Ended.Id] != Ended.Generation)
      return;
    Found->second.Connections -= 1;
    if (Ended.Holds == Occupancy::ConnectionOnly)
      return;
    Found->second.Slots -= 1;
    Found->second.Occupied -= occupies(Found->second.Info);
  }
};

void sendChecked(Router &Subject, RouterOracle &Oracle, TimePoint Now) {
  RouteRequest Request = request();
  Request.Kind = *rc::gen::element(AttemptKind::First, AttemptKind::First,
                                   AttemptKind::Retry, AttemptKind::Hedge);
  Request.Holds = *rc::gen::element(Occupancy::Slot, Occupancy::Slot,
                                    Occupancy::ConnectionOnly);
  Request.Idempotent = *rc::gen::arbitrary<bool>();
  auto Id = Subject.choose(Request, Now);
  if (!Id)
    return;

  auto Found = Oracle.Present.find(*Id);
  RC_ASSERT(Found != Oracle.Present.end());
  RC_ASSERT(Request.Kind == AttemptKind::First || Request.Idempotent);
  auto Ticket = Subject.onSent(*Id, Request, Now);
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
  Oracle.InFlight.push_back(
      {Ticket, *Id, Request.Holds, Oracle.Generations[*Id]});
}

void endChecked(Router &Subject, RouterOracle &Oracle, TimePoint Now) {
  if (Oracle.InFlight.empty())
    return;

  auto Position = *rc::gen::inRange<std::size_t>(0, Oracle.InFlight.size());
  RouterOracle::Attempt Ended = Oracle.InFlight[Position];
  Oracle.InFlight.erase(Oracle.InFlight.begin() +
                        static_cast<std::ptrdiff_t>(Position));
  Oracle.release(Ended);
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    Subject.onReply(Ended.Ticket, {3, 1, 3, 1, 1, {}}, Now);
    break;
  case 1:
    Subject.onFailure(Ended.Ticket, FailureKind::Error, Now);
    break;
  case 2:
    Subject.onFailure(
        Ended.Ticket,
        *rc::gen::element(FailureKind::LinkSilent, FailureKind::Full), Now);
    break;
  default:
    Subject.onCancelled(Ended.Ticket, Now);
  }
}

void stepChecked(Router &Subject, RouterOracle &Oracle, TimePoint &Now) {
  int Number = *rc::gen::inRange(0, 8);
  TargetInfo Info = target(Number, Number % 2 ? "langnau" : "burgdorf");
  switch (*rc::gen::weightedElement<int>(
      {{1, 0}, {1, 1}, {8, 2}, {6, 3}, {2, 4}})) {
  case 0:
    Subject.addTarget(Info, Now, *rc::gen::arbitrary<bool>());
    Oracle.Present[Info.Id] = {Info, 0, 0, 0};
    ++Oracle.Generations[Info.Id];
    break;
  case 1:
    Subject.removeTarget(Info.Id, Now);
    Oracle.Present.erase(Info.Id);
    break;
  case 2:
    sendChecked(Subject, Oracle, Now);
    break;
  case 3:
    endChecked(Subject, Oracle, Now);
    break;
  default:
    Now += Millis(*rc::gen::inRange(0, 3000));
  }
}

} // namespace

// Guards against a target that gets more attempts than it has slots or
// connections, against attempts at a removed target, against retries and hedges
// that exceed the budget, and against the ejection of most targets of a
// service.
TEST_CASE("the router matches a counting oracle in random sequences") {
  REQUIRE(rc::check([] {
    RetryBudget Budget;
    Router Subject(settings(), Budget, 7);
    Subject.setExtraDelay(FailureDomainId("langnau"), Millis(5));
    RouterOracle Oracle;
    TimePoint Now = at(std::chrono::hours(1));

    int Steps = *rc::gen::inRange(0, 400);
    for (int Step = 0; Step < Steps; ++Step) {
      stepChecked(Subject, Oracle, Now);

      RC_ASSERT(Subject.targetCount() == Oracle.Present.size());
      RC_ASSERT(Subject.ejectedCount() * 2 <= Subject.targetCount());
      for (const auto &[Id, Entry] : Oracle.Present) {
        RC_ASSERT(Subject.slotsInFlight(Id) == Entry.Slots);
        RC_ASSERT(Subject.connectionsInFlight(Id) == Entry.Connections);
      }
    }
  }));
}

// Guards against requests that are sent to another failure domain while the
// home domain has free slots, and against targets that stay idle in another
// domain while requests wait for long at home.
TEST_CASE("a request spills only if it saves more than the extra delay") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.setExtraDelay(FailureDomainId("langnau"), Millis(6));
  Subject.addTarget(target(1), at(Millis(0)), true);
  Subject.addTarget(target(2, "langnau"), at(Millis(0)), true);

  REQUIRE(Subject.choose(request(), at(Millis(1))) == TargetId("w1"));
  REQUIRE(send(Subject, request(), at(Millis(1))));
  REQUIRE(send(Subject, request(), at(Millis(1))));

  // A single queued request gets a home slot after about 5 ms.
  REQUIRE_FALSE(Subject.choose(request(), at(Millis(1))));
  REQUIRE(Subject.lastDecision().Reason == RouteReason::WaitForHome);

  RouteRequest Long = request();
  Long.Waiting = 4;
  REQUIRE(Subject.choose(Long, at(Millis(1))) == TargetId("w2"));
  REQUIRE(Subject.lastDecision().Reason == RouteReason::Spilled);
  REQUIRE(Subject.explainLastDecision().find("reason=spilled") !=
          std::string::npos);
}

// Guards against spilling over a link whose delay has increased, and against
// avoiding the link forever after it has recovered.
TEST_CASE("the extra delay of a domain is learned from replies and decays") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.setExtraDelay(FailureDomainId("langnau"), Millis(6));
  Subject.addTarget(target(2, "langnau"), at(Millis(0)), true);
  TimePoint Now = at(Millis(1));
  for (int Count = 0; Count < 100; ++Count) {
    auto Ticket = send(Subject, request(), Now);
    REQUIRE(Ticket);
    Now += Millis(90);
    Subject.onReply(*Ticket, {0, 0, 0, 0, 0, Millis(10)}, Now);
  }
  Subject.addTarget(target(1), Now, true);
  send(Subject, request(), Now);
  send(Subject, request(), Now);

  RouteRequest Queued = request();
  Queued.Waiting = 4;
  REQUIRE_FALSE(Subject.choose(Queued, Now));
  REQUIRE(Subject.choose(Queued, Now + std::chrono::minutes(2)) ==
          TargetId("w2"));
}

// Guards against batch work that takes the home slots of urgent requests, which
// then have to be sent to another domain.
TEST_CASE("home slots reserved for a more urgent class stay free") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.setExtraDelay(FailureDomainId("langnau"), Millis(0));
  Subject.addTarget(target(1), at(Millis(0)), true);
  Subject.addTarget(target(2, "langnau"), at(Millis(0)), true);
  RouteRequest Batch = request();
  Batch.Class = WorkClass::Batch;
  Batch.ReservationAbove = 2;
  while (auto Ticket = send(Subject, Batch, at(Millis(1))))
    continue;
  REQUIRE(Subject.slotsInFlight(TargetId("w1")) == 0);
  REQUIRE(Subject.slotsInFlight(TargetId("w2")) == 2);

  // A slot held by the urgent class counts towards its reservation, so batch
  // gets the other one.
  Batch.ReservationAbove = 1;
  REQUIRE(send(Subject, request(), at(Millis(1))));
  REQUIRE(Subject.choose(Batch, at(Millis(1))) == TargetId("w1"));
}

// Guards against slots that stay idle during the round trip, which cost a tenth
// of the capacity under a flood of short requests.
TEST_CASE("a remote target gets extra attempts for those in transit") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.setExtraDelay(FailureDomainId("langnau"), Millis(5));
  TargetInfo Remote = target(2, "langnau", 4);
  Remote.Connections = 64;
  Subject.addTarget(Remote, at(Millis(0)), true);
  int Sent = 0;
  while (send(Subject, request(), at(Millis(1))))
    ++Sent;
  REQUIRE(Sent == 6);
  REQUIRE(Subject.capacity(Occupancy::Slot) == 6);
}

// Guards against a failing target that still gets requests, one that gets full
// load at once after its ejection, and one that is never readmitted.
TEST_CASE("a failing target is ejected, probed and slow-started") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.addTarget(target(1, "burgdorf", 4), at(Millis(0)), true);
  Subject.addTarget(target(2, "burgdorf", 4), at(Millis(0)), true);
  TimePoint Now = at(Millis(1));
  // Once the working target is full, all requests go to the failing one.
  std::vector<AttemptTicket> Held;
  int Failures = 0;
  while (auto Id = Subject.choose(request(), Now)) {
    auto Ticket = Subject.onSent(*Id, request(), Now);
    if (*Id == TargetId("w2")) {
      Held.push_back(Ticket);
      continue;
    }
    Subject.onFailure(Ticket, FailureKind::Error, Now);
    ++Failures;
  }
  REQUIRE(Failures == 3);
  REQUIRE(Subject.ejectedCount() == 1);

  // Ten first attempts give the budget for the retry that a failed probe needs.
  for (const AttemptTicket &Ticket : Held)
    Subject.onReply(Ticket, {}, Now);
  for (int Count = 0; Count < 10; ++Count)
    Subject.onCancelled(*send(Subject, request(), Now), Now);
  Now += std::chrono::seconds(2);
  REQUIRE(Subject.choose(request(), Now) == TargetId("w1"));
  REQUIRE(Subject.lastDecision().Reason == RouteReason::Probe);
  auto Probe = Subject.onSent(TargetId("w1"), request(), Now);
  REQUIRE(Subject.choose(request(), Now) == TargetId("w2"));

  Subject.onReply(Probe, {}, Now);
  REQUIRE(Subject.ejectedCount() == 0);
  REQUIRE(Subject.capacity(Occupancy::Slot) == 5);
  Now += std::chrono::seconds(6);
  Subject.choose(request(), Now);
  REQUIRE(Subject.capacity(Occupancy::Slot) == 8);
}

// Guards against a non-idempotent request that fails because it was sent to an
// ejected target as a probe.
TEST_CASE("a non-idempotent request is not used as a probe") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.addTarget(target(1), at(Millis(0)), true);
  Subject.addTarget(target(2), at(Millis(0)), true);
  auto Ticket = send(Subject, request(), at(Millis(1)));
  Subject.onFailure(*Ticket, FailureKind::LinkSilent, at(Millis(1)));
  REQUIRE(Subject.ejectedCount() == 1);

  RouteRequest Request = request();
  Request.Idempotent = false;
  for (int Count = 0; Count < 20; ++Count) {
    Subject.choose(Request, at(std::chrono::seconds(3)));
    REQUIRE(Subject.lastDecision().Reason != RouteReason::Probe);
  }
}

// Guards against a burst to a target whose slots another entry already uses,
// and against using an old report forever.
TEST_CASE("slots used by other entries count until the report expires") {
  RetryBudget Budget;
  Router Subject(settings(), Budget, 1);
  Subject.addTarget(target(1), at(Millis(0)), true);
  auto Ticket = send(Subject, request(), at(Millis(1)));
  Subject.onReply(*Ticket, {2, 0, 2, 0, 0, Millis(10)}, at(Millis(11)));

  REQUIRE_FALSE(Subject.choose(request(), at(Millis(12))));
  REQUIRE(Subject.choose(request(), at(std::chrono::seconds(2))));
}

// Guards against hedges that add load while most slots are in use.
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
