#include "sim/Sequences.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::sim;

// Guards against any violation of guarantees 1 to 6 under random crashes,
// pauses, network cuts, lost or duplicated messages, store faults and clock
// drift, and against work that does not end after the faults are over.
TEST_CASE("the guarantees hold in random sequences of faults") {
  const std::uint64_t Seed = GENERATE(101, 102, 103, 104, 105);
  const SequencesResult Result = runSequences(Seed, 100);
  INFO(Result.Message);
  REQUIRE(Result.Passed);
}

namespace {

const TaskId LongTask("job-1/0");

// A simulated fleet with one running task of 25 s.
struct LongTaskFixture {
  World System{7};

  LongTaskFixture() {
    System.run(Millis(4000));
    System.apply({OpKind::Submit, 0, 1});
    System.run(Millis(3000));
  }

  std::uint64_t attemptsAfter(const Op &Operation, int LengthMillis) {
    System.apply(Operation);
    System.run(Millis(LengthMillis));
    System.finish();
    INFO(System.violation());
    REQUIRE(System.violation().empty());
    return System.attempts(LongTask);
  }
};

} // namespace

// Guards against a long store outage that restarts work from its beginning: the
// task is suspended in place and continues.
TEST_CASE("a task continues in place after a store outage") {
  LongTaskFixture Setup;
  REQUIRE(Setup.attemptsAfter({OpKind::StoreOutage, 3, 60}, 25'000) == 1);
}

// Guards against a takeover that restarts the tasks of reachable agents.
TEST_CASE("a new owner adopts the running tasks") {
  LongTaskFixture Setup;
  REQUIRE(Setup.attemptsAfter({OpKind::OwnerPause, 0, 20}, 1000) == 1);
  LongTaskFixture Other;
  REQUIRE(Other.attemptsAfter({OpKind::OwnerPause, 1, 20}, 1000) == 1);
}

// Guards against a new agent process that abandons the tasks of its worker.
TEST_CASE("a new agent adopts the running tasks") {
  for (unsigned Vm = 0; Vm < World::Vms; ++Vm) {
    LongTaskFixture Setup;
    REQUIRE(Setup.attemptsAfter({OpKind::AgentCrash, Vm, 3}, 1000) == 1);
  }
}

// Guards against an eviction that is not followed by one further attempt.
TEST_CASE("an evicted task resumes once") {
  LongTaskFixture Setup;
  REQUIRE(Setup.attemptsAfter({OpKind::Evict, 0, 0}, 1000) >= 2);
}
