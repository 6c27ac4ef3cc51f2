#include "daisyspool/core/core.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

// Guards against a ring that grows or overwrites when its consumer is slow.
TEST_CASE("a push to a full ring fails and keeps the queued items") {
  Ring<int> Queue(2);
  int First = 1;
  int Second = 2;
  int Third = 3;

  REQUIRE(Queue.tryPush(First));
  REQUIRE(Queue.tryPush(Second));
  REQUIRE_FALSE(Queue.tryPush(Third));

  REQUIRE(Queue.tryPop() == 1);
  REQUIRE(Queue.tryPop() == 2);
  REQUIRE_FALSE(Queue.tryPop().has_value());
}

// Guards against overcommitting one resource while another has free capacity.
TEST_CASE("resources fit only if every dimension fits") {
  const Resources Capacity{MilliCores(1000), MebiBytes(512), Accelerators(1)};

  REQUIRE(Capacity.fitsIn(Capacity));
  REQUIRE_FALSE(
      Resources{MilliCores(1001), MebiBytes(1), Accelerators(0)}.fitsIn(
          Capacity));
  REQUIRE_FALSE(
      Resources{MilliCores(1), MebiBytes(513), Accelerators(0)}.fitsIn(
          Capacity));
  REQUIRE_FALSE(
      Resources{MilliCores(1), MebiBytes(1), Accelerators(2)}.fitsIn(Capacity));
}

// Guards against a shard mapping that changes between versions: a request id
// would then map to a shard that has no record of it.
TEST_CASE("the shard of a key is fixed") {
  REQUIRE(stableHash("match-offer-1") == stableHash("match-offer-1"));
  REQUIRE(shardOf("match-offer-1", 8).value() ==
          stableHash("match-offer-1") % 8);
}
