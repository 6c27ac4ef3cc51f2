#ifndef DAISYSPOOL_TESTS_SIM_SIMCLOCK_H
#define DAISYSPOOL_TESTS_SIM_SIMCLOCK_H

#include "daisyspool/core/Clock.h"

namespace daisyspool::sim {

/// Clock of one node, which runs at its own rate relative to the simulated
/// time.
class SimClock final : public Clock {
public:
  explicit SimClock(const TimePoint &Simulated) : Simulated(Simulated) {}

  TimePoint now() const override {
    return LocalAtChange +
           (Simulated - SimulatedAtChange) * RatePerThousand / 1000;
  }
  WallMillis wallNow() const override {
    return std::chrono::duration_cast<WallMillis>(Simulated.time_since_epoch());
  }

  /// Sets the rate of the clock; 1000 is the rate of the simulated time.
  void setRate(int PerThousand) {
    LocalAtChange = now();
    SimulatedAtChange = Simulated;
    RatePerThousand = PerThousand;
  }

private:
  const TimePoint &Simulated;
  TimePoint LocalAtChange{std::chrono::hours(1)};
  TimePoint SimulatedAtChange{};
  int RatePerThousand = 1000;
};

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_SIMCLOCK_H
