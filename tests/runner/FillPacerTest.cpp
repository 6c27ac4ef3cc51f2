#include "daisyspool/runner/FillPacer.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;

// Load pattern: batch tasks beside a service with a changing load. Guards
// against a share that drops to 0 at the first high measurement, and against
// one that never recovers.
TEST_CASE(
    "the share of filling tasks falls and recovers with the tail latency") {
  FillPacer Pacer;
  TimePoint Now{Millis(10000)};
  REQUIRE(Pacer.update(0.5, Now) == 100);
  std::uint32_t FirstShare = Pacer.update(1.1, Now);
  REQUIRE(FirstShare < 100);
  REQUIRE(FirstShare > 40);
  // The measurement lags, so the same one does not lower the share twice.
  REQUIRE(Pacer.update(1.1, Now + Millis(300)) == FirstShare);
  REQUIRE(Pacer.update(1.1, Now + Millis(800)) < FirstShare);
  for (int I = 2; I < 20; ++I)
    Pacer.update(0.4, Now + I * Millis(800));
  REQUIRE(Pacer.percent() == 100);
}

// Guards against a share that stays low after the last service has left.
TEST_CASE("filling tasks run at full speed without services") {
  FillPacer Pacer;
  TimePoint Now{Millis(10000)};
  Pacer.update(3, Now);
  REQUIRE(Pacer.percent() < 100);
  REQUIRE(Pacer.update(0, Now + Millis(10)) == 100);
}

// Load pattern: many filling tasks that each disturb a service a little, beside
// harmless ones. Guards against a service that stays above its target for 4 s,
// and against stopping the harmless tasks together with the others.
TEST_CASE(
    "a service that stays above its target stops filling tasks in two steps") {
  using Stop = TailOverrun::Stop;
  TailOverrun Overrun;
  TimePoint Now{Millis(10000)};
  REQUIRE(Overrun.update(1.05, Now) == Stop::None);
  REQUIRE(Overrun.update(1.05, Now + Millis(1000)) == Stop::None);
  REQUIRE(Overrun.update(1.05, Now + Millis(2000)) == Stop::Suspects);
  REQUIRE(Overrun.update(1.05, Now + Millis(2400)) == Stop::Suspects);
  REQUIRE(Overrun.update(1.05, Now + Millis(2600)) == Stop::All);
  // Slightly below the target is not enough to resume.
  REQUIRE(Overrun.update(0.95, Now + Millis(3000)) == Stop::All);
  REQUIRE(Overrun.update(0.5, Now + Millis(3400)) == Stop::None);
  // Short peaks above the target stop nothing.
  REQUIRE(Overrun.update(1.2, Now + Millis(3600)) == Stop::None);
  REQUIRE(Overrun.update(0.9, Now + Millis(4600)) == Stop::None);
  REQUIRE(Overrun.update(1.2, Now + Millis(5600)) == Stop::None);
}
