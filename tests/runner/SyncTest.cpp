#include "daisyspool/runner/Sync.h"
#include "daisyspool/core/Errors.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;

namespace {

RunName run(const std::string &Job, std::uint64_t Number) {
  return {{JobId(Job), 0, 1, 2}, RunNumber(Number)};
}

} // namespace

// Guards against a field that is lost between leader and agent.
TEST_CASE("a sync request survives its codec") {
  SyncRequest What;
  What.Leader = Epoch(7);
  What.Number = 12;
  What.EchoedStamp = 99;
  What.StampedBy = 5;
  What.Grant = Millis(4000);
  What.EndsLife = WorkerLife(3);
  What.EndsRecorded = EndNumber(8);
  What.RefusalsSeen = 2;
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
  What.Starts = {Order};
  What.Stops = {run("b", 1)};
  What.Wait = Millis(500);

  SyncRequest Read = decodeSyncRequest(encode(What));
  REQUIRE(Read.Leader == What.Leader);
  REQUIRE(Read.EchoedStamp == 99);
  REQUIRE(Read.StampedBy == 5);
  REQUIRE(Read.Grant == What.Grant);
  REQUIRE(Read.EndsRecorded == What.EndsRecorded);
  REQUIRE(Read.Starts.size() == 1);
  REQUIRE(Read.Starts[0].Name == Order.Name);
  REQUIRE(Read.Starts[0].FillsIdleCpu);
  REQUIRE(Read.Starts[0].HarmlessTo == Order.HarmlessTo);
  REQUIRE(Read.Stops == What.Stops);
}

// Guards against a peer's bytes that end a process.
TEST_CASE("malformed syncs are typed errors") {
  REQUIRE_THROWS_AS(decodeSyncRequest(""), ProtocolError);
  REQUIRE_THROWS_AS(decodeSyncReply("nonsense"), ProtocolError);
  std::string Whole = encode(SyncReply{});
  for (std::size_t I = 0; I < Whole.size(); ++I)
    REQUIRE_THROWS_AS(decodeSyncReply(Whole.substr(0, I)), ProtocolError);
}
