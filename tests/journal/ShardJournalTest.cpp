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

struct JournalFixture {
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

std::vector<std::string> bodies(const ReplayResult &Replayed) {
  std::vector<std::string> Result;
  for (const JournalEntry &Entry : Replayed.Entries)
    Result.push_back(Entry.Body);
  return Result;
}

} // namespace

// Guards against a former owner that was paused during a takeover and then
// still writes.
TEST_CASE("a former owner is fenced by the next owner's epoch") {
  JournalFixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  REQUIRE(Setup.First.Log.append("one"));
  Setup.takeOver();

  REQUIRE_FALSE(Setup.First.Log.hasValidLease());
  REQUIRE_THROWS_AS(Setup.First.Log.append("stale"), FencedOff);
  REQUIRE(Setup.Second.Log.epoch() == Epoch(2));
  REQUIRE(bodies(Setup.Second.Log.replay()) == std::vector<std::string>{"one"});
}

// Guards against a takeover of a log whose owner still renews its lease.
TEST_CASE("an owner that renews keeps its log") {
  JournalFixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  for (int Step = 0; Step < 20; ++Step) {
    Setup.Time.advance(Lease / 3);
    Setup.First.Log.renewIfDue();
    REQUIRE_FALSE(Setup.Second.Log.tryAcquire());
  }
  REQUIRE(Setup.First.Log.hasValidLease());
}

// Guards against a batch that is lost or written twice because the answer of
// the table service is lost or the write takes effect late.
TEST_CASE("a batch whose write had no answer is appended exactly once") {
  const StoreFault Fault =
      GENERATE(StoreFault::Outage, StoreFault::Throttled,
               StoreFault::LostAnswer, StoreFault::LateEffect);
  const bool AppliedBeforeReadBack = GENERATE(false, true);
  JournalFixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  Setup.First.Table.Fault = Fault;
  REQUIRE_FALSE(Setup.First.Log.append("one"));
  Setup.First.Table.Fault = StoreFault::None;
  if (AppliedBeforeReadBack)
    Setup.Contents.applyLate();

  REQUIRE(Setup.First.Log.resolvePendingWrite());
  Setup.Contents.applyLate();
  REQUIRE(Setup.First.Log.append("two"));
  REQUIRE(bodies(Setup.First.Log.replay()) ==
          std::vector<std::string>{"one", "two"});
}

// Guards against a lease that counts from the end of a slow write: the owner
// would still use it after a candidate has waited and taken over.
TEST_CASE("the lease counts from the start of the write") {
  JournalFixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  Setup.First.Table.Fault = StoreFault::LostAnswer;
  REQUIRE_FALSE(Setup.First.Log.append("one"));
  Setup.Time.advance(holderTime(Lease));
  Setup.First.Table.Fault = StoreFault::None;

  REQUIRE(Setup.First.Log.resolvePendingWrite());
  REQUIRE_FALSE(Setup.First.Log.hasValidLease());
}

// Guards against a takeover that replays the whole log in spite of a snapshot,
// and against entries that are lost because a snapshot is missing or altered.
TEST_CASE("replay starts at a valid snapshot and ignores an altered one") {
  JournalFixture Setup;
  REQUIRE(Setup.First.Log.tryAcquire());
  for (const char *Body : {"1", "2", "3", "4"})
    REQUIRE(Setup.First.Log.append(Body));
  REQUIRE(Setup.First.Log.snapshotDue());
  REQUIRE(Setup.First.Log.saveSnapshot("state"));
  REQUIRE_FALSE(Setup.First.Log.snapshotDue());
  REQUIRE(Setup.First.Log.append("5"));
  Setup.takeOver();

  SECTION("the snapshot is used") {
    ReplayResult Replayed = Setup.Second.Log.replay();
    REQUIRE(Replayed.Snapshot == "state");
    REQUIRE(bodies(Replayed) == std::vector<std::string>{"5"});
  }
  SECTION("an altered snapshot is ignored") {
    Setup.Contents.Objects.begin()->second = "altered";
    ReplayResult Replayed = Setup.Second.Log.replay();
    REQUIRE_FALSE(Replayed.Snapshot.has_value());
    REQUIRE(bodies(Replayed).size() == 5);
  }
  SECTION("an altered entry is reported") {
    Setup.Contents.Rows.at({"shard/0", entrySortKey(SequenceNumber(5))}).Value =
        Setup.Contents.Rows.at({"shard/0", entrySortKey(SequenceNumber(4))})
            .Value;
    REQUIRE_THROWS_AS(Setup.Second.Log.replay(), JournalCorrupt);
  }
}

// Guards against processes with different settings that map one request id to
// two shards, which would run the request twice.
TEST_CASE("the shard count of a store never changes") {
  JournalFixture Setup;
  Setup.First.Table.Fault = StoreFault::LostAnswer;
  REQUIRE_THROWS_AS(loadOrInitShardCount(Setup.First.Table, 8),
                    PlatformUnavailable);
  REQUIRE(loadOrInitShardCount(Setup.First.Table, 8) == 8);
  REQUIRE(loadOrInitShardCount(Setup.Second.Table, 16) == 8);
}
