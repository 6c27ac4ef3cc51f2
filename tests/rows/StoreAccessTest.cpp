#include "daisyspool/rows/StoreAccess.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::rows;

namespace {

TimePoint at(int Value) { return TimePoint(Millis(Value)); }

} // namespace

// Guards against callers that wait for calls of which the earlier ones of the
// same entry have just shown that they fail.
TEST_CASE("access to the store is lost after repeated failures") {
  StoreAccess Access;
  Access.onFailure(at(1000), at(1004));
  REQUIRE_FALSE(Access.isLost(at(1004)));
  Access.onFailure(at(1120), at(1124));
  REQUIRE(Access.isLost(at(1130)));
  REQUIRE_FALSE(Access.isLost(at(4000)));
}

// Guards against taking one disruption that hits several calls at once, or a
// store that limits the rate of writes, for the loss of access.
TEST_CASE("single failures between answers do not lose access") {
  StoreAccess Access;
  Access.onFailure(at(1000), at(1004));
  Access.onFailure(at(1001), at(1005));
  REQUIRE_FALSE(Access.isLost(at(1005)));
  for (int Time = 2000; Time < 4000; Time += 100) {
    Access.onFailure(at(Time), at(Time + 4));
    Access.onAnswer(at(Time + 50));
    REQUIRE_FALSE(Access.isLost(at(Time + 60)));
  }
}

// Guards against taking the answer to a feed that was waiting before the store
// began to turn the process away for a sign of regained access.
TEST_CASE("only an answer to a later call regains access") {
  StoreAccess Access;
  Access.onFailure(at(1000), at(1004));
  Access.onFailure(at(1120), at(1124));
  Access.onAnswer(at(900));
  REQUIRE(Access.isLost(at(1200)));
  Access.onAnswer(at(1210));
  REQUIRE_FALSE(Access.isLost(at(1214)));
}

// Guards against an entry that refuses callers for longer than the store does,
// and against one whose probes hold up all callers.
TEST_CASE("probes are made at intervals") {
  StoreAccess Access;
  REQUIRE(Access.tryBeginProbe(at(1000)));
  REQUIRE_FALSE(Access.tryBeginProbe(at(1100)));
  REQUIRE(Access.tryBeginProbe(at(1300)));
}
