#include "daisyspool/leadership/LeaderRecord.h"
#include "daisyspool/core/Errors.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::leadership;

namespace {

const LeaderIdentity Identity{Epoch(7), ProcessId("entry1"), Incarnation(99)};

} // namespace

// Guards against a row that exhausts the stack of every entry.
TEST_CASE("a deeply nested fence or leader row throws ProtocolError") {
  REQUIRE_THROWS_AS(decodeFence(testing::deepMsgpack()), ProtocolError);
  REQUIRE_THROWS_AS(decodeLeaderStatus(testing::deepMsgpack()), ProtocolError);
}

// Guards against an epoch that wraps when it is incremented, after which no
// process can take over the leadership.
TEST_CASE("a number out of range in a leader's row throws ProtocolError") {
  LeaderStatus Status;
  Status.Leader = Identity;
  Status.Pending[workload::QueueId("q")] = 5;
  std::string GoodFence = encode(Fence{Identity, 12});
  std::string GoodStatus = encode(Status);
  REQUIRE(decodeFence(GoodFence) == Fence{Identity, 12});
  REQUIRE(decodeLeaderStatus(GoodStatus).Pending == Status.Pending);
  for (const nlohmann::json &Odd :
       {nlohmann::json(-1), nlohmann::json(1e30), nlohmann::json(-1e30),
        nlohmann::json(std::numeric_limits<std::uint64_t>::max()),
        nlohmann::json("1"), nlohmann::json(true)}) {
    INFO(Odd);
    for (const char *Path : {"/0/0", "/0/2", "/1"})
      REQUIRE_THROWS_AS(decodeFence(testing::withElement(GoodFence, Path, Odd)),
                        ProtocolError);
    for (const char *Path : {"/0/0", "/0/2", "/2/0/1", "/3"})
      REQUIRE_THROWS_AS(
          decodeLeaderStatus(testing::withElement(GoodStatus, Path, Odd)),
          ProtocolError);
  }
}

// Guards against entries that cannot follow a leader of the version before
// during a rolling restart.
TEST_CASE("a status without the leader's processors is read") {
  LeaderStatus Status;
  Status.Leader = Identity;
  Status.Released = true;
  Status.Processors = MilliCores(500);
  Status.Overloaded = true;
  std::string Bytes = encode(Status);
  REQUIRE(decodeLeaderStatus(Bytes).Processors == MilliCores(500));
  REQUIRE(decodeLeaderStatus(Bytes).Overloaded);
  auto Value = nlohmann::json::from_msgpack(Bytes);
  Value.erase(4);
  Value.erase(3);
  auto Old = nlohmann::json::to_msgpack(Value);
  LeaderStatus Read = decodeLeaderStatus(std::string(Old.begin(), Old.end()));
  REQUIRE(Read.Leader == Identity);
  REQUIRE(Read.Released);
  REQUIRE(Read.Processors == MilliCores(0));
  REQUIRE_FALSE(Read.Overloaded);
}

// Guards against entries that cannot read the status of a leader that says
// nothing about its room, or of one that does.
TEST_CASE("the waits for room are an optional part of the status") {
  LeaderStatus Status;
  Status.Leader = Identity;
  std::string Without = encode(Status);
  REQUIRE(nlohmann::json::from_msgpack(Without).size() == 5);
  REQUIRE(decodeLeaderStatus(Without).Room.Waits.empty());
  Status.Room.Waits[workload::QueueId("q")] = {{1000, Millis(20), Millis(30)},
                                               {5000, Millis(40), Millis(50)}};
  std::string With = encode(Status);
  REQUIRE(decodeLeaderStatus(With).Room == Status.Room);
  REQUIRE_THROWS_AS(
      decodeLeaderStatus(testing::withElement(With, "/5/0/1/0/1", -1)),
      ProtocolError);
}
