#include "daisyspool/intake/RefusalAdvice.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::intake;

// Load pattern: the store turns one entry away, later all of them. Guards
// against callers that wait although another entry would serve them, and
// against retries that are used up while no entry can.
TEST_CASE("refused callers retry at once until a job comes back") {
  RefusalAdvice Advice;
  TimePoint Now{};
  REQUIRE(Advice.onRefused(JobId("a"), Now) == Millis(0));
  REQUIRE(Advice.onRefused(JobId("b"), Now) == Millis(0));
  Now += Millis(20);
  REQUIRE(Advice.onRefused(JobId("a"), Now) == Millis(1000));
  REQUIRE(Advice.onRefused(JobId("c"), Now) == Millis(1000));
  REQUIRE(Advice.retryAfter(Now) == Millis(1000));
  Now += Millis(5000);
  REQUIRE(Advice.onRefused(JobId("a"), Now) == Millis(0));
}
