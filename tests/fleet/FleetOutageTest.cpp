// Fleet tests of a store that serves only some of the entries.
#include "fleet/FleetChecks.h"
#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::testing;

namespace {

/// Whether an entry other than \p First leads.
bool isReplaced(const VirtualFleet &Fleet, std::size_t First) {
  for (std::size_t I = 0; I < Fleet.Entries.size(); ++I)
    if (I != First && Fleet.Entries[I] && Fleet.Entries[I]->Leader.isLeading())
      return true;
  return false;
}

} // namespace

// Load pattern: the store turns away the leader, whose renewals were regular,
// and serves the others. Guards against work that waits for as long as a slow
// store would take to renew.
TEST_CASE("a regular leader that the store turns away is replaced early") {
  VirtualFleet Fleet(8, 3, 4);
  Fleet.Loop.runFor(Millis(8000));
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Fleet.Store.RefusedProcesses.insert("entry" + std::to_string(First));
  Fleet.Loop.runFor(Millis(1250));
  REQUIRE(isReplaced(Fleet, First));
}

// Guards against the replacement of a healthy leader, whose renewals were
// regular, when a store that was quick becomes slow for all.
TEST_CASE("a store that becomes slow does not replace a regular leader") {
  for (int Delay : {150, 200, 250}) {
    INFO("delay " << Delay);
    VirtualFleet Fleet(8, 3, 4);
    Fleet.Loop.runFor(Millis(8000));
    std::size_t First = Fleet.leader();
    REQUIRE(First < 3);
    submitJobs(Fleet, 3);
    Fleet.Store.Delay = Millis(Delay);
    submitJobs(Fleet, 5);
    Fleet.Loop.runFor(Millis(5000));
    REQUIRE_FALSE(isReplaced(Fleet, First));
    REQUIRE(Fleet.leader() == First);
  }
}

// Guards against an early takeover while the store is slow, when a missing
// renewal may only be delayed.
TEST_CASE("a leader lost with a slow store is replaced after the full limit") {
  VirtualFleet Fleet(8, 3, 4);
  Fleet.Loop.runFor(Millis(8000));
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Fleet.killEntry(First);
  Fleet.Store.Delay = Millis(80);
  Fleet.Loop.runFor(Millis(1600));
  REQUIRE_FALSE(isReplaced(Fleet, First));
  Fleet.Loop.runFor(Millis(1500));
  REQUIRE(isReplaced(Fleet, First));
}
