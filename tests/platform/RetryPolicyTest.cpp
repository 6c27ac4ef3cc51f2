#include "daisyspool/platform/RetryPolicy.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

// Guards against a caller that spins while the store is down: the retries of
// ten minutes stay within the stated budget.
TEST_CASE("an outage gets a bounded number of retries") {
  const RetryPolicy::Options Limits;
  RetryPolicy Policy(Limits, 7);
  const Duration Outage = std::chrono::minutes(10);
  TimePoint Now{};
  unsigned Retries = 0;

  while (Now.time_since_epoch() < Outage) {
    Duration Wait = Policy.onFailure(Now);
    REQUIRE_FALSE((Wait > Duration::zero() && Policy.mayTry(Now)));
    Now += Wait;
    REQUIRE(Policy.mayTry(Now));
    ++Retries;
  }

  REQUIRE(Retries <= Limits.Burst + 600 * Limits.EarnedPerSecond + 1);
  // Waits that grow without bound would find the end of an outage too late.
  REQUIRE(Retries >= 600 / 2 / 2);
}

// Guards against retries that add more than a tenth to the calls when a store
// fails often.
TEST_CASE("retries stay a tenth of the calls") {
  RetryPolicy Policy({.EarnedPerSecond = 0.001}, 7);
  TimePoint Now{};
  unsigned Retries = 0;

  for (int Call = 0; Call < 10000; ++Call) {
    Now += Millis(10);
    if (!Policy.mayTry(Now))
      continue;
    if (Call % 3 == 0) {
      Policy.onFailure(Now);
      ++Retries;
    } else {
      Policy.onSuccess(Now);
    }
  }

  REQUIRE(Retries <= 1005);
}

// Guards against clients that return in step after an outage.
TEST_CASE("seeds spread the retries of different processes") {
  RetryPolicy First({}, 1);
  RetryPolicy Second({}, 2);

  REQUIRE(First.onFailure({}) != Second.onFailure({}));
}
