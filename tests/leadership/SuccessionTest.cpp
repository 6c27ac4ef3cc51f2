#include "daisyspool/leadership/Succession.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::leadership;

namespace {

LeaderStatus leaderWith(std::int64_t Processors, bool Overloaded = false) {
  LeaderStatus Status;
  Status.Leader = {Epoch(3), ProcessId("leader"), Incarnation(1)};
  Status.Processors = MilliCores(Processors);
  Status.Overloaded = Overloaded;
  return Status;
}

/// Observes timers that each run \p Lag late for \p Span.
void observeLag(LagMonitor &Monitor, TimePoint &Now, Millis Lag, Millis Span) {
  constexpr Millis Interval{100};
  for (TimePoint End = Now + Span; Now < End;) {
    Now += Interval + Lag;
    Monitor.observe(Lag, Now);
  }
}

} // namespace

// Load pattern: the store turns the leader away while work arrives. Guards
// against waiting as long as a slow store requires, and against a takeover from
// a leader whose renewals are irregular or not known yet.
TEST_CASE("a regular leader is missed sooner than an irregular one") {
  constexpr Millis Limit{1600};
  RenewalRhythm Rhythm;
  TimePoint Now{};
  auto Renew = [&](Millis Interval, int Count) {
    for (int I = 0; I < Count; ++I)
      Rhythm.observe(Epoch(3), Now += Interval);
  };
  Renew(Millis(510), 5);
  REQUIRE(Rhythm.patience(Limit) == Limit);
  Renew(Millis(510), 10);
  REQUIRE(Rhythm.patience(Limit) >= Millis(900));
  REQUIRE(Rhythm.patience(Limit) <= Millis(1050));
  Renew(Millis(0), 20);
  REQUIRE(Rhythm.patience(Limit) >= Millis(900));
  Renew(Millis(1200), 1);
  REQUIRE(Rhythm.patience(Limit) == Limit);
  Rhythm.observe(Epoch(4), Now);
  REQUIRE(Rhythm.patience(Limit) == Limit);
}

// Load pattern: the leader of a large fleet dies. Guards against a takeover by
// whichever entry is nearest to the store, able or not.
TEST_CASE("smaller entries take over later than larger ones") {
  auto Dead = leaderWith(500);
  REQUIRE(takeoverDelay(MilliCores(500), Dead) == Millis(0));
  REQUIRE(takeoverDelay(MilliCores(1000), Dead) == Millis(0));
  Millis Half = takeoverDelay(MilliCores(250), Dead);
  Millis Quarter = takeoverDelay(MilliCores(125), Dead);
  REQUIRE(Half >= Millis(100));
  REQUIRE(Quarter >= Half + Millis(100));
  REQUIRE(takeoverDelay(MilliCores(1), Dead) <= Millis(500));
}

// Guards against a slower takeover where all entries are small.
TEST_CASE("entries like the last leader take over without an extra wait") {
  REQUIRE(takeoverDelay(MilliCores(69), leaderWith(69)) == Millis(0));
  // The status of an older version does not name the processors.
  REQUIRE(takeoverDelay(MilliCores(69), leaderWith(0)) == Millis(0));
}

// Guards against a first leader that is chosen by the speed of its start alone.
TEST_CASE("the first leader is the larger entry") {
  REQUIRE(takeoverDelay(MilliCores(500), LeaderStatus{}) + Millis(100) <=
          takeoverDelay(MilliCores(120), LeaderStatus{}));
}

// Guards against takeovers between similar entries, and from a leader that
// keeps up.
TEST_CASE("only a larger entry relieves an overloaded leader") {
  REQUIRE(shouldRelieve(MilliCores(500), leaderWith(120, true)));
  REQUIRE_FALSE(shouldRelieve(MilliCores(500), leaderWith(120, false)));
  REQUIRE_FALSE(shouldRelieve(MilliCores(130), leaderWith(120, true)));
  auto Released = leaderWith(120, true);
  Released.Released = true;
  REQUIRE_FALSE(shouldRelieve(MilliCores(500), Released));
}

// Load pattern: events queue up for seconds in a process with too little
// processor time.
TEST_CASE("a lasting lag is an overload, a single pause is not") {
  TimePoint Now{std::chrono::hours(1)};
  LagMonitor Monitor;
  observeLag(Monitor, Now, Millis(5), Millis(5000));
  REQUIRE_FALSE(Monitor.isOverloaded(Now));
  Now += Millis(8000);
  Monitor.observe(Millis(8000), Now);
  observeLag(Monitor, Now, Millis(5), Millis(2000));
  REQUIRE_FALSE(Monitor.isOverloaded(Now));
  observeLag(Monitor, Now, Millis(600), Millis(4000));
  REQUIRE(Monitor.isOverloaded(Now));
  observeLag(Monitor, Now, Millis(5), Millis(2000));
  REQUIRE_FALSE(Monitor.isOverloaded(Now));
}
