#include "daisyspool/runner/Sync.h"
#include "daisyspool/core/Errors.h"

#include "support/OddValues.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;

namespace {

RunName run(const std::string &Job, std::uint64_t Number) {
  return {{JobId(Job), 0, 1, 2}, RunNumber(Number)};
}

} // namespace

// Guards against a field that is lost between leader and agent.
TEST_CASE("a sync request is unchanged by encoding and decoding") {
  SyncRequest Request;
  Request.Leader = Epoch(7);
  Request.Number = 12;
  Request.EchoedStamp = 99;
  Request.StampedBy = 5;
  Request.Grant = Millis(4000);
  Request.EndsLife = WorkerLife(3);
  Request.EndsRecorded = EndNumber(8);
  Request.RefusalsSeen = 2;
  StartOrder Order;
  Order.Name = run("a", 4);
  Order.Life = WorkerLife(3);
  Order.Spec = "spec";
  Order.Checkpoint = "c";
  Order.Image = workload::ImageId("i");
  Order.FillsIdleCpu = true;
  Order.TailTarget = Millis(125);
  Order.StallAfter = Millis(1500);
  Order.HarmlessTo = {workload::ImageId("j")};
  Request.Starts = {Order};
  Request.Stops = {run("b", 1)};
  Request.Wait = Millis(500);

  SyncRequest Decoded = decodeSyncRequest(encode(Request));
  REQUIRE(Decoded.Leader == Request.Leader);
  REQUIRE(Decoded.EchoedStamp == 99);
  REQUIRE(Decoded.StampedBy == 5);
  REQUIRE(Decoded.Grant == Request.Grant);
  REQUIRE(Decoded.EndsRecorded == Request.EndsRecorded);
  REQUIRE(Decoded.Starts.size() == 1);
  REQUIRE(Decoded.Starts[0].Name == Order.Name);
  REQUIRE(Decoded.Starts[0].FillsIdleCpu);
  REQUIRE(Decoded.Starts[0].HarmlessTo == Order.HarmlessTo);
  REQUIRE(Decoded.Stops == Request.Stops);
}

// Guards against malformed bytes from a peer that end the process.
TEST_CASE("decoding a malformed sync throws ProtocolError") {
  REQUIRE_THROWS_AS(decodeSyncRequest(""), ProtocolError);
  REQUIRE_THROWS_AS(decodeSyncReply("nonsense"), ProtocolError);
  std::string Encoded = encode(SyncReply{});
  for (std::size_t I = 0; I < Encoded.size(); ++I)
    REQUIRE_THROWS_AS(decodeSyncReply(Encoded.substr(0, I)), ProtocolError);
}

// Guards against a sync that exhausts the stack or whose numbers wrap when they
// are read.
TEST_CASE("a deeply nested sync or a number out of range throws") {
  std::string Deep = testing::deepMsgpack();
  REQUIRE_THROWS_AS(decodeSyncReply(Deep), ProtocolError);
  REQUIRE_THROWS_AS(decodeSyncRequest("\x92\x02" + Deep), ProtocolError);
  std::string Good = encode(SyncRequest{});
  for (const nlohmann::json &Odd :
       {nlohmann::json(-1), nlohmann::json(1e30), nlohmann::json("1")})
    REQUIRE_THROWS_AS(
        decodeSyncRequest(testing::withElement(Good, "/1/0", Odd)),
        ProtocolError);
  std::string Reply = encode(SyncReply{});
  // The newest epoch, the incarnation and the stamp.
  for (const char *Path : {"/1/1", "/1/2", "/1/3"})
    REQUIRE_THROWS_AS(decodeSyncReply(testing::withElement(Reply, Path, -1)),
                      ProtocolError);
}
