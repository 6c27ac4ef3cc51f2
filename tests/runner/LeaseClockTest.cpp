#include "daisyspool/runner/LeaseClock.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;

// Guards against a lease that outlasts its grant on a worker whose clock runs
// 2% slow, while the task is already started elsewhere.
TEST_CASE("a lease on a worker with a slow clock ends within its grant") {
  LeaseClock Lease;
  TimePoint Now{Millis(100000)};
  REQUIRE_FALSE(Lease.toWorkerClock(Now));
  Lease.observe(WorkerClock(5000), Now);
  auto End = Lease.toWorkerClock(Now + Millis(4000));
  REQUIRE(End);
  // The slow clock needs 1/0.98 of the time for each of its milliseconds.
  auto RealTime = (End->count() - 5000) * 100 / 98;
  REQUIRE(RealTime <= 4000);
  REQUIRE(RealTime > 3900);
}

// Guards against using clock readings from an earlier life of the worker.
TEST_CASE("reset drops the clock readings of an earlier life") {
  LeaseClock Lease;
  Lease.observe(WorkerClock(5000), TimePoint{});
  Lease.reset();
  REQUIRE_FALSE(Lease.toWorkerClock(TimePoint{Millis(1)}));
}
