#include "sim/Sequences.h"

#include <catch2/catch.hpp>

using namespace daisyspool::sim;

// Guards against any violation of guarantees 1 to 6 under random crashes,
// pauses, cuts, lost or repeated messages, store faults and clock drift, and
// against work that never ends once the faults are over.
TEST_CASE("the guarantees hold in random sequences of faults") {
  const std::uint64_t Seed = GENERATE(101, 102, 103, 104, 105);
  const SequencesResult Result = runSequences(Seed, 100);
  INFO(Result.Message);
  REQUIRE(Result.Passed);
}
