#include "fleet/FleetChecks.h"

using namespace daisyspool;
using namespace daisyspool::testing;
using scheduling::JobStatus;

namespace {

constexpr Millis Bound{5000};

/// Two workers in each of the domains a and b, and a caller that submits a job
/// every 100 ms.
struct BusyFleet : VirtualFleet {
  explicit BusyFleet(std::uint64_t Seed, std::size_t EntryCount = 3)
      : VirtualFleet(Seed, EntryCount, 4) {
    EvacuationBound = Bound;
    for (std::size_t I = 0; I < EntryCount; ++I)
      startEntry(I);
    Workers[2]->Domain = Workers[3]->Domain = FailureDomainId("b");
    Loop.runFor(Millis(3000));
  }

  void submitFor(Millis Span) {
    for (TimePoint End = Loop.now() + Span; Loop.now() < End;) {
      std::string Id = "job" + std::to_string(Submitted);
      submit(Submitted++ % Entries.size(), chainJob(Id, 2, 4), Millis(600));
      Loop.runFor(Millis(100));
    }
  }

  void evacuate(const std::string &Domain) {
    rows::RowTransaction Write;
    Write.Puts.push_back({{"op", "", "evacuate/" + Domain}, "{}"});
    Store.apply(Write);
  }
  void takeBack(const std::string &Domain) {
    rows::RowTransaction Write;
    Write.Removes.push_back({"op", "", "evacuate/" + Domain});
    Store.apply(Write);
  }

  std::size_t startsIn(const std::string &Domain, TimePoint Since) const {
    std::size_t Count = 0;
    for (const auto &Worker : Workers)
      if (Worker->Domain == FailureDomainId(Domain))
        Count += Worker->startsSince(Since);
    return Count;
  }

  void requireAllCompleted() {
    REQUIRE(runUntilAll(JobStatus::Completed, std::chrono::seconds(40)));
    requireNoViolations(*this);
  }

  std::size_t Submitted = 0;
};

} // namespace

// Guards against starts in a domain that the operator has evacuated, and
// against one that stays closed after it is taken back.
TEST_CASE("nothing starts in an evacuated domain until it is taken back") {
  BusyFleet Fleet(51);
  Fleet.submitFor(Millis(1000));
  TimePoint Ordered = Fleet.Loop.now();
  REQUIRE(Fleet.startsIn("a", {}) > 0);
  Fleet.evacuate("a");
  Fleet.evacuate("nowhere");
  Fleet.submitFor(Millis(3000));
  REQUIRE(Fleet.startsIn("a", Ordered + Millis(500)) == 0);
  REQUIRE(Fleet.startsIn("b", Ordered + Millis(500)) > 0);
  Fleet.takeBack("a");
  TimePoint TakenBack = Fleet.Loop.now();
  Fleet.submitFor(Millis(2000));
  REQUIRE(Fleet.startsIn("a", TakenBack) > 0);
  Fleet.requireAllCompleted();
}

// Guards against a new leader that does not know of the evacuation, and against
// tasks that are lost when a domain is taken back early.
TEST_CASE("an evacuation holds across takeovers") {
  for (Millis TakenBackAfter : {Millis(300), Millis(9000)}) {
    BusyFleet Fleet(52);
    Fleet.submitFor(Millis(1000));
    TimePoint Ordered = Fleet.Loop.now();
    Fleet.evacuate("a");
    std::size_t Leader = Fleet.leader();
    Fleet.killEntry(Leader);
    Fleet.submitFor(TakenBackAfter);
    Fleet.startEntry(Leader);
    if (TakenBackAfter > Bound) {
      REQUIRE(Fleet.startsIn("a", Ordered + Millis(2000)) == 0);
      REQUIRE(Fleet.startsIn("b", Ordered + Millis(2000)) > 0);
    }
    Fleet.takeBack("a");
    Fleet.submitFor(Millis(1000));
    Fleet.requireAllCompleted();
  }
}

// Guards against a new leader that starts tasks before it has read the
// operator's rows.
TEST_CASE("a leader that has not read the evacuations starts nothing") {
  BusyFleet Fleet(53);
  Fleet.evacuate("a");
  Fleet.Store.SilentTable = "op";
  Fleet.killEntry(0);
  Fleet.killEntry(1);
  Fleet.killEntry(2);
  Fleet.startEntry(0);
  Fleet.startEntry(1);
  Fleet.startEntry(2);
  Fleet.Loop.runFor(Millis(4000));
  TimePoint Restarted = Fleet.Loop.now();
  REQUIRE(Fleet.leader() < 3);
  Fleet.submitFor(Millis(4000));
  REQUIRE(Fleet.Invariants.Starts == 0);
  Fleet.Store.SilentTable.clear();
  Fleet.submitFor(Millis(4000));
  REQUIRE(Fleet.startsIn("b", Restarted) > 0);
  REQUIRE(Fleet.startsIn("a", Restarted) == 0);
  Fleet.takeBack("a");
  Fleet.requireAllCompleted();
}

// Guards against starts by a leader that the operator's rows no longer reach:
// an evacuation may have been ordered meanwhile.
TEST_CASE("a leader without news of the operator holds starts") {
  BusyFleet Fleet(54);
  Fleet.submitFor(Millis(1000));
  Fleet.Store.SilentTable = "op";
  TimePoint Ordered = Fleet.Loop.now();
  Fleet.evacuate("a");
  Fleet.submitFor(Millis(9000));
  REQUIRE(Fleet.startsIn("a", Ordered + Bound) == 0);
  TimePoint Answered = Fleet.Loop.now();
  Fleet.Store.SilentTable.clear();
  Fleet.submitFor(Millis(3000));
  REQUIRE(Fleet.startsIn("b", Answered) > 0);
  REQUIRE(Fleet.startsIn("a", Answered) == 0);
  Fleet.takeBack("a");
  Fleet.requireAllCompleted();
}

// Guards against an order or its end that is missed while the store is down and
// its history goes.
TEST_CASE("evacuations are right after an outage without history") {
  BusyFleet Fleet(55);
  Fleet.evacuate("a");
  Fleet.submitFor(Millis(1000));
  Fleet.Store.Down = true;
  Fleet.submitFor(Millis(1000));
  Fleet.takeBack("a");
  Fleet.evacuate("b");
  TimePoint Ordered = Fleet.Loop.now();
  Fleet.Store.HistoryTrimmedTo = Fleet.Store.version().next();
  Fleet.submitFor(Millis(3000));
  Fleet.Store.Down = false;
  Fleet.submitFor(Millis(6000));
  REQUIRE(Fleet.startsIn("a", Ordered) > 0);
  REQUIRE(Fleet.startsIn("b", Ordered + Millis(3500)) == 0);
  Fleet.takeBack("b");
  Fleet.requireAllCompleted();
}
