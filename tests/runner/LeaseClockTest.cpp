#include "daisyspool/runner/LeaseClock.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;

// Guards against a lease that outlasts its grant on a worker whose clock runs
// 2% slow, so that the task also runs elsewhere.
TEST_CASE("a lease ends in time on a slow worker's clock") {
  LeaseClock Lease;
  TimePoint Now{Millis(100000)};
  REQUIRE_FALSE(Lease.reachedBy(Now));
  Lease.observe(WorkerClock(5000), Now);
  auto End = Lease.reachedBy(Now + Millis(4000));
  REQUIRE(End);
  // The slow clock needs 1/0.98 of the time for each of its milliseconds.
  auto RealTime = (End->count() - 5000) * 100 / 98;
  REQUIRE(RealTime <= 4000);
  REQUIRE(RealTime > 3900);
}

// Guards against readings of an earlier life of the worker.
TEST_CASE("a new life has no readings") {
  LeaseClock Lease;
  Lease.observe(WorkerClock(5000), TimePoint{});
  Lease.reset();
  REQUIRE_FALSE(Lease.reachedBy(TimePoint{Millis(1)}));
}
