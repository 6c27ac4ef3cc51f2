#include "daisyspool/journal/journal.h"
#include "sim/MemoryPlatform.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::sim;

namespace {

constexpr Duration Lease = Millis(6000);

struct Process {
  Process(StoreContents &Contents, const Clock &Time, const char *Name)
      : Table(Contents), Objects(Contents),
        Log("shard/0", ProcessId(Name), Name, Table, Objects, Time,
            {Lease, 4}) {}

  MemoryTable Table;
  MemoryObjects Objects;
  ShardJournal Log;
};

struct Fixture {
  StoreContents Contents;
  ManualClock Time;
  Process First{Contents, Time, "a"};
  Process Second{Contents, Time, "b"};

  void takeOver() {
    REQUIRE_FALSE(Second.Log.tryAcquire());
    Time.advance(takeoverWait(Lease));
    REQUIRE(Second.Log.tryAcquire());
  }
};

std::vector<std::string> bodies(const ReplayResult &Found) {
  std::vector<std::string> Result;
  for (const JournalEntry &Entry : Found.Entries)
    Result.push_back(Entry.Body);
  return Result;
}

} // namespace

// Guards against a paused former owner that still writes after a takeover.
TEST_CASE("a former owner is fenced by the next owner's epoch") {
  Fixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  REQUIRE(Setup.First.Log.append("one"));
  Setup.takeOver();

  REQUIRE_FALSE(Setup.First.Log.hasValidLease());
  REQUIRE_THROWS_AS(Setup.First.Log.append("stale"), FencedOff);
  REQUIRE(Setup.Second.Log.epoch() == Epoch(2));
  REQUIRE(bodies(Setup.Second.Log.replay()) == std::vector<std::string>{"one"});
}

// Guards against a candidate that takes a log from an owner that renews.
TEST_CASE("an owner that renews keeps its log") {
  Fixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  for (int Step = 0; Step < 20; ++Step) {
    Setup.Time.advance(Lease / 3);
    Setup.First.Log.renewIfDue();
    REQUIRE_FALSE(Setup.Second.Log.tryAcquire());
  }
  REQUIRE(Setup.First.Log.hasValidLease());
}

// Guards against a batch that is lost or written twice when the store's answer
// is lost or its effect comes late.
TEST_CASE("a batch with a lost answer is appended once") {
  const StoreFault Fault =
      GENERATE(StoreFault::Outage, StoreFault::Throttled,
               StoreFault::LostAnswer, StoreFault::LateEffect);
  const bool LateFirst = GENERATE(false, true);
  Fixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  Setup.First.Table.Fault = Fault;
  REQUIRE_FALSE(Setup.First.Log.append("one"));
  Setup.First.Table.Fault = StoreFault::None;
  if (LateFirst)
    Setup.Contents.applyLate();

  REQUIRE(Setup.First.Log.resolvePendingWrite());
  Setup.Contents.applyLate();
  REQUIRE(Setup.First.Log.append("two"));
  REQUIRE(bodies(Setup.First.Log.replay()) ==
          std::vector<std::string>{"one", "two"});
}

// Guards against a lease that is counted from the end of a slow write, which
// would outlast the candidate's wait.
TEST_CASE("the lease counts from the start of the write") {
  Fixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  Setup.First.Table.Fault = StoreFault::LostAnswer;
  REQUIRE_FALSE(Setup.First.Log.append("one"));
  Setup.Time.advance(holderTime(Lease));
  Setup.First.Table.Fault = StoreFault::None;

  REQUIRE(Setup.First.Log.resolvePendingWrite());
  REQUIRE_FALSE(Setup.First.Log.hasValidLease());
}

// Guards against a takeover that replays the whole log, and against a missing
// or altered snapshot that loses entries.
TEST_CASE("replay starts at a valid snapshot and survives a bad one") {
  Fixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  for (const char *Body : {"1", "2", "3", "4"})
    REQUIRE(Setup.First.Log.append(Body));
  REQUIRE(Setup.First.Log.snapshotDue());
  REQUIRE(Setup.First.Log.saveSnapshot("state"));
  REQUIRE_FALSE(Setup.First.Log.snapshotDue());
  REQUIRE(Setup.First.Log.append("5"));
  Setup.takeOver();

  SECTION("the snapshot is used") {
    ReplayResult Found = Setup.Second.Log.replay();
    REQUIRE(Found.Snapshot == "state");
    REQUIRE(bodies(Found) == std::vector<std::string>{"5"});
  }
  SECTION("an altered snapshot is ignored") {
    Setup.Contents.Objects.begin()->second = "altered";
    ReplayResult Found = Setup.Second.Log.replay();
    REQUIRE_FALSE(Found.Snapshot.has_value());
    REQUIRE(bodies(Found).size() == 5);
  }
  SECTION("an altered entry is reported") {
    Setup.Contents.Rows.at({"shard/0", entrySortKey(SequenceNumber(5))}).Value =
        Setup.Contents.Rows.at({"shard/0", entrySortKey(SequenceNumber(4))})
            .Value;
    REQUIRE_THROWS_AS(Setup.Second.Log.replay(), JournalCorrupt);
  }
}

// Guards against two processes with other settings that send one request id to
// two shards, which would run it twice.
TEST_CASE("the shard count of a store never changes") {
  Fixture Setup;
  Setup.First.Table.Fault = StoreFault::LostAnswer;
  REQUIRE_THROWS_AS(agreedShardCount(Setup.First.Table, 8),
                    PlatformUnavailable);
  REQUIRE(agreedShardCount(Setup.First.Table, 8) == 8);
  REQUIRE(agreedShardCount(Setup.Second.Table, 16) == 8);
}
