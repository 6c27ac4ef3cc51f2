// Steps and checks that the fleet tests share.
#ifndef DAISYSPOOL_TESTS_FLEET_FLEETCHECKS_H
#define DAISYSPOOL_TESTS_FLEET_FLEETCHECKS_H

#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

#include <string>

namespace daisyspool::testing {

/// Submits jobs of two steps of four tasks to the entries in turn.
inline void submitJobs(VirtualFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    Fleet.submit(I % Fleet.Entries.size(),
                 chainJob("job" + std::to_string(I), 2, 4), Millis(600));
    Fleet.Loop.runFor(Millis(100));
  }
}

inline void requireNoViolations(const VirtualFleet &Fleet) {
  INFO((Fleet.Invariants.Violations.empty()
            ? ""
            : Fleet.Invariants.Violations.front()));
  REQUIRE(Fleet.Invariants.Violations.empty());
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_FLEETCHECKS_H
