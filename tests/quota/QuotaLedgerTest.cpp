#include "daisyspool/placement/placement.h"
#include "daisyspool/quota/quota.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <vector>

using namespace daisyspool;
using namespace daisyspool::placement;
using namespace daisyspool::quota;

namespace {

Resources size(std::int64_t Cpu) {
  return {MilliCores(Cpu), MebiBytes(Cpu), Accelerators(0)};
}

} // namespace

// Guards against guarantees that together exceed the fleet.
TEST_CASE("74 teams fit in the fleet and a share that exceeds it is rejected") {
  QuotaLedger Ledger(size(740000));
  for (int I = 0; I < 74; ++I)
    Ledger.addTeam(13);
  REQUIRE(Ledger.teamCount() == 74);
  REQUIRE_THROWS_AS(Ledger.addTeam(39), SharesExceedFleet);
}

// Guards against a borrowed share that its owner cannot get back, and against
// evictions that push a team below its guarantee: after a random sequence of
// starts, each team requests its guarantee on a full fleet.
TEST_CASE("a guaranteed share is returned in full") {
  bool Held = rc::check("guarantees are returned", [] {
    constexpr std::size_t Teams = 4;
    constexpr std::int64_t Unit = 1000;
    QuotaLedger Ledger(size(16 * Unit));
    FleetView Fleet;
    for (std::size_t I = 0; I < 4; ++I)
      Fleet.addVm({size(4 * Unit), RackIndex(I), DomainIndex(0)});
    for (std::size_t I = 0; I < Teams; ++I)
      Ledger.addTeam(250);
    UsageEstimator Usage;
    UrgentReserve::Options NoReserve;
    NoReserve.MinSlots = 0;
    UrgentReserve Reserve(NoReserve);
    Placer Chooser({}, Usage, Reserve, nullptr, &Ledger);

    auto Stop = [&](TaskIndex Task) {
      TaskState State = Fleet.task(Task);
      Ledger.giveBack(State.Team, State.Held.unpacked(), State.evictable());
      Fleet.stop(Task);
    };
    auto TryStart = [&](TeamIndex Team, std::uint8_t Evictions) {
      PlacementRequest Request;
      Request.Spec.Declared = size(Unit);
      Request.Spec.Kind = KindIndex(0);
      Request.Spec.Team = Team;
      Request.Spec.Evictions = Evictions;
      bool Evictable = Evictions < MaxEvictions;
      auto Verdict = Ledger.ask(Team, size(Unit), Evictable);
      if (std::holds_alternative<QuotaExhausted>(Verdict))
        return false;
      if (std::holds_alternative<WithinGuarantee>(Verdict))
        Request.MayEvict = EvictionScope::Borrowed;
      auto Decision = Chooser.place(Request, Fleet, TimePoint{});
      if (std::holds_alternative<NoRoom>(Decision))
        return false;
      VmIndex Vm;
      if (auto *Chosen = std::get_if<Placement>(&Decision))
        Vm = Chosen->Vm;
      if (auto *Chosen = std::get_if<PlacementAfterEviction>(&Decision)) {
        Vm = Chosen->Vm;
        for (const Reclaim &Each : Chosen->Reclaims) {
          TeamIndex Victim = Fleet.task(Each.Task).Team;
          RC_ASSERT(Victim != Team);
          Stop(Each.Task);
          RC_ASSERT(Ledger.usedShare(Victim) >= 0.25 - 1e-9);
        }
      }
      Fleet.start(Request.Spec, Vm, size(Unit), TimePoint{});
      Ledger.take(Team, size(Unit), Evictable);
      return true;
    };

    // Two teams borrow the idle shares of the others; most of their tasks can
    // no longer be evicted.
    int Steps = *rc::gen::inRange(0, 100);
    for (int I = 0; I < Steps; ++I) {
      TeamIndex Team(static_cast<std::size_t>(*rc::gen::inRange(0, 2)));
      bool NonEvictable = *rc::gen::inRange(0, 4) > 0;
      TryStart(Team, NonEvictable ? MaxEvictions : std::uint8_t{0});
    }
    for (std::size_t Owner = 0; Owner < Teams; ++Owner)
      while (Ledger.usedShare(TeamIndex(Owner)) < 0.25 - 1e-9)
        RC_ASSERT(TryStart(TeamIndex(Owner), 0));
  });
  REQUIRE(Held);
}

// Guards against always serving the team with the larger guarantee first.
TEST_CASE("the team with the lowest use divided by guarantee is next") {
  QuotaLedger Ledger(size(10000));
  std::array Teams{Ledger.addTeam(600), Ledger.addTeam(100)};
  Ledger.take(Teams[0], size(3000));
  Ledger.take(Teams[1], size(900));
  REQUIRE(Ledger.next(Teams) == Teams[0]);
  Ledger.take(Teams[0], size(3000));
  REQUIRE(Ledger.next(Teams) == Teams[1]);
}
