#include "daisyspool/config/ConfigStore.h"
#include "config/MemoryTableService.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

ChangeOrigin origin(const std::string &Id, std::uint64_t Digest = 1) {
  return {ChangeId(Id), OperatorId("ada"), Digest};
}

/// Returns the entries of \p Base with the record \p Key set to a weight.
ConfigEntries withWeight(const ConfigDocument &Base, const std::string &Key,
                         const std::string &Value) {
  ConfigEntries Next = Base.entries();
  Next[Key] = "weight=" + Value + "\n";
  return Next;
}

} // namespace

// Guards against a lost update when two operators change the same version.
TEST_CASE("a conflict has the expected and the current version") {
  MemoryTableService Rows;
  ConfigStore Store(Rows);
  const ConfigDocument Base = Store.load();
  Rows.BeforeCommit = [&] {
    ConfigStore Other(Rows);
    Other.propose(Base, withWeight(Base, "team/a", "2"), origin("other"));
  };

  try {
    Store.propose(Base, withWeight(Base, "team/a", "1"), origin("mine"));
    FAIL("both changes were accepted");
  } catch (const ConfigConflict &Conflict) {
    REQUIRE(Conflict.expected() == ConfigVersion(0));
    REQUIRE(Conflict.current() == ConfigVersion(1));
  }
  REQUIRE(Store.load().entries().at("team/a") == "weight=2\n");
}

// Guards against a change that is lost or applied twice when the request or its
// answer is lost or delayed.
TEST_CASE("a change whose answer is lost is applied exactly once") {
  MemoryTableService Rows;
  ConfigStore Store(Rows);
  const ConfigDocument Base = Store.load();
  SECTION("the answer is lost") { Rows.LoseAnswers = 1; }
  SECTION("the request is lost") { Rows.LoseRequests = 2; }
  SECTION("the request is delayed") { Rows.DelayRequests = 1; }

  const auto First =
      Store.propose(Base, withWeight(Base, "team/a", "1"), origin("one"));
  REQUIRE(First.Version == ConfigVersion(1));
  const ConfigDocument Next = Store.load();
  Store.propose(Next, withWeight(Next, "team/b", "1"), origin("two"));

  const auto Repeat =
      Store.propose(Base, withWeight(Base, "team/a", "1"), origin("one"));
  REQUIRE(Repeat.Repeated);
  REQUIRE(Repeat.Version == ConfigVersion(1));
  REQUIRE(Store.head().Version == ConfigVersion(2));
  REQUIRE_THROWS_AS(
      Store.propose(Base, withWeight(Base, "team/a", "9"), origin("one", 2)),
      ChangeIdReused);
}

// Guards against an error that says that nothing changed, although a commit
// during an outage may have taken effect.
TEST_CASE("a commit during a store outage has an unknown effect") {
  MemoryTableService Rows;
  ConfigStore Store(Rows);
  const ConfigDocument Base = Store.load();
  Rows.BeforeCommit = [&] { Rows.Down = true; };
  REQUIRE_THROWS_AS(
      Store.propose(Base, withWeight(Base, "team/a", "1"), origin("one")),
      PlatformUnavailable);
  Rows.Down = false;
  REQUIRE(Store.propose(Base, withWeight(Base, "team/a", "1"), origin("one"))
              .Version == ConfigVersion(1));
}

// Guards against rows above the table service's size limit, and against a load
// that applies ever more changes because no snapshots are written.
TEST_CASE("documents with many parts and versions are loaded completely") {
  MemoryTableService Rows;
  ConfigStore Store(Rows, {4, 3, 500});
  ConfigDocument Current;
  for (int Round = 1; Round <= 30; ++Round) {
    ConfigEntries Next = Current.entries();
    for (int Vm = 0; Vm < 20; ++Vm)
      Next["vm/" + std::to_string(Round) + "-" + std::to_string(Vm)] =
          "rack=r" + std::to_string(Vm) + "\ncores=16\n";
    Store.propose(Current, Next, origin(std::to_string(Round)));
    Current = Store.load();
    REQUIRE(Current.version().value() == static_cast<std::uint64_t>(Round));
    REQUIRE(Current.entries() == Next);
  }
  Rows.Reads = 0;
  Store.load();
  const ConfigHead Head = Store.head();
  REQUIRE(Head.Version.value() - Head.Snapshot.value() <= 4);
  REQUIRE(Store.changesAfter(ConfigVersion(10), 100).size() == 20);
}

// Guards against changes that are missing in the difference shown to operators.
TEST_CASE("the difference lists removed, changed and new records") {
  const ConfigEntries From{{"team/a", "quota_cores=4\nweight=1\n"},
                           {"vm/x", "rack=r1\n"}};
  const ConfigEntries To{{"team/a", "quota_cores=4\nweight=2\n"},
                         {"vm/y", "cores=16\nrack=r1\n"}};
  REQUIRE(describeDifference(From, To) ==
          std::vector<std::string>{"- vm x", "~ team a: weight 1 -> 2",
                                   "+ vm y: cores=16 rack=r1"});
}

// Guards against a local copy that differs from the accepted configuration
// without being detected.
TEST_CASE("a change applies only to the version and content it is based on") {
  ConfigDocument One;
  const auto Change =
      One.changeTo({{"team/a", "weight=1\n"}}, ChangeId("c"), OperatorId("o"));
  REQUIRE(decodeChange(encodeChange(Change)) == Change);
  ConfigDocument Other(ConfigVersion(0), {{"team/b", "weight=1\n"}});
  REQUIRE_THROWS_AS(Other.apply(Change), ConfigMismatch);
  One.apply(Change);
  REQUIRE_THROWS_AS(One.apply(Change), ConfigMismatch);
  REQUIRE(One.hash() == ConfigDocument(ConfigVersion(1), One.entries()).hash());
}
