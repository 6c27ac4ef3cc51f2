#include "daisyspool/jobs/jobs.h"
#include "daisyspool/record/record.h"
#include "sim/MemoryPlatform.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::sim;

namespace {

struct RecordFixture {
  StoreContents Contents;
  ManualClock Time;
  MemoryTable Table{Contents};
  MemoryObjects Objects{Contents};
  ShardJournal Log{"shard/0", ProcessId("a"), "a", Table, Objects, Time};
  RunRecord Record{Table};

  RecordFixture() {
    Log.tryAcquire();
    append({RequestClaimed{RequestId("offer-1"),
                           CallerId("studio"),
                           ServiceId("castmatch"),
                           "d",
                           {VmId("vm-1"), {}, {}}}});
    append({RequestClaimed{RequestId("offer-2"),
                           CallerId("panel"),
                           ServiceId("castmatch"),
                           "d",
                           {VmId("vm-2"), {}, {}}}});
    append({RequestEnded{RequestId("offer-1"), RequestOutcome::Answered, 200,
                         "match"}});
    append({RequestsServed{
        {{RequestId("fit-1"), CallerId("studio"), ServiceId("castmatch"),
          VmId("vm-1"), 1500, 900, 200}}}});
  }

  void append(const std::vector<Event> &Events) {
    Log.append(encodeEvents(Events));
    Time.advance(Millis(1000));
  }

  Row &entry(std::uint64_t Sequence) {
    return Contents.Rows.at(
        {"shard/0", entrySortKey(SequenceNumber(Sequence))});
  }

  std::vector<RecordFinding> findings() {
    return Record.verify("shard/0").Findings;
  }
};

} // namespace

// Guards against events that are attributed to the wrong caller or VM.
TEST_CASE("the record is found by request, caller and period") {
  RecordFixture Setup;

  auto Lines = Setup.Record.find("shard/0", {"offer-1", {}, {}, {}});
  REQUIRE(Lines.size() == 2);
  REQUIRE(Lines[1].EventName == "answered");
  REQUIRE(Lines[1].Caller == CallerId("studio"));
  REQUIRE(Lines[1].Vm == VmId("vm-1"));

  REQUIRE(
      Setup.Record.find("shard/0", {{}, CallerId("panel"), {}, {}}).size() ==
      1);
  REQUIRE(
      Setup.Record.find("shard/0", {{}, {}, WallMillis(1000), WallMillis(2000)})
          .size() == 2);
}

// Guards against a damaged log that verify() accepts, so that the damage is not
// noticed before payments are based on the record.
TEST_CASE("a missing, repeated, altered or reordered entry is found") {
  RecordFixture Setup;
  REQUIRE(Setup.findings().empty());

  SECTION("missing") {
    const std::uint64_t MissingSequence = GENERATE(1, 2, 4);
    Setup.Contents.Rows.erase(Setup.entry(MissingSequence).Key);
    REQUIRE(Setup.findings().size() == 1);
    REQUIRE(Setup.findings()[0].Kind == Damage::Missing);
    REQUIRE(Setup.findings()[0].Sequence == SequenceNumber(MissingSequence));
  }
  SECTION("repeated") {
    Setup.entry(4).Value = Setup.entry(3).Value;
    REQUIRE(Setup.findings()[0].Kind == Damage::Repeated);
  }
  SECTION("altered") {
    const std::uint64_t AlteredSequence = GENERATE(1, 2, 4);
    JournalEntry Altered = decodeEntry(Setup.entry(AlteredSequence).Value);
    Altered.Body += 'x';
    Setup.entry(AlteredSequence).Value = encodeEntry(Altered);
    REQUIRE(Setup.findings().size() == 1);
    REQUIRE(Setup.findings()[0].Kind == Damage::Altered);
    REQUIRE(Setup.findings()[0].Sequence == SequenceNumber(AlteredSequence));
  }
  SECTION("reordered") {
    std::swap(Setup.entry(2).Value, Setup.entry(3).Value);
    REQUIRE(Setup.findings()[0].Kind == Damage::Reordered);
  }
  SECTION("an entry beyond the head") {
    Row Extra = Setup.entry(4);
    Extra.Key.Sort = entrySortKey(SequenceNumber(5));
    Setup.Contents.Rows[Extra.Key] = Extra;
    REQUIRE_FALSE(Setup.findings().empty());
  }
  SECTION("a rewritten log, against an anchor kept earlier") {
    RecordAnchor Anchor = Setup.Record.verify("shard/0").End;
    REQUIRE(Setup.Record.verify("shard/0", Anchor).Findings.empty());
    Anchor.Hash[0] ^= 1;
    REQUIRE(Setup.Record.verify("shard/0", Anchor).Findings.size() == 1);
  }
}

// Guards against a record without the requests that ended processes served.
TEST_CASE("the served logs of ended processes stay listed") {
  RecordFixture Setup;
  Setup.Record.registerServedLog(ProcessId("entry-1.7"));
  REQUIRE(Setup.Record.partitions(2) ==
          std::vector<std::string>{"shard/0", "shard/1", "served/entry-1.7"});
}
