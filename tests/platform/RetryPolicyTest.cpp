#include "daisyspool/platform/RetryPolicy.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

// Guards against a caller that retries without pause while the store is down:
// the retries of ten minutes stay within the budget.
TEST_CASE("the number of retries in an outage is bounded") {
  const RetryPolicy::Options Limits;
  RetryPolicy Policy(Limits, 7);
  const Duration Outage = std::chrono::minutes(10);
  TimePoint Now{};
  unsigned Retries = 0;

  while (Now.time_since_epoch() < Outage) {
    Duration Wait = Policy.onFailure(Now);
    REQUIRE_FALSE((Wait > Duration::zero() && Policy.mayRetry(Now)));
    Now += Wait;
    REQUIRE(Policy.mayRetry(Now));
    ++Retries;
  }

  REQUIRE(Retries <= Limits.Burst + 600 * Limits.BudgetPerSecond + 1);
  // With waits that grow without bound, the end of an outage is noticed too
  // late.
  REQUIRE(Retries >= 600 / 2 / 2);
}

// Guards against retries that add more than a tenth to the calls when the store
// fails often.
TEST_CASE("retries stay within a tenth of the calls") {
  RetryPolicy Policy({.BudgetPerSecond = 0.001}, 7);
  TimePoint Now{};
  unsigned Retries = 0;

  for (int Call = 0; Call < 10000; ++Call) {
    Now += Millis(10);
    if (!Policy.mayRetry(Now))
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

// Guards against clients that all retry at the same time after an outage.
TEST_CASE("seeds spread the retries of different processes") {
  RetryPolicy First({}, 1);
  RetryPolicy Second({}, 2);

  REQUIRE(First.onFailure({}) != Second.onFailure({}));
}
