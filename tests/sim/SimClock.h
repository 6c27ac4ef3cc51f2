#ifndef DAISYSPOOL_TESTS_SIM_SIMCLOCK_H
#define DAISYSPOOL_TESTS_SIM_SIMCLOCK_H

#include "daisyspool/core/Clock.h"

namespace daisyspool::sim {

/// A VM's clock, which runs at its own rate of the simulated time.
class SimClock final : public Clock {
public:
  explicit SimClock(const TimePoint &World) : World(World) {}

  TimePoint now() const override {
    return Local + (World - Since) * RatePerThousand / 1000;
  }
  WallMillis wallNow() const override {
    return std::chrono::duration_cast<WallMillis>(World.time_since_epoch());
  }

  /// Sets the clock's rate; 1000 is that of the simulated time.
  void setRate(int PerThousand) {
    Local = now();
    Since = World;
    RatePerThousand = PerThousand;
  }

private:
  const TimePoint &World;
  TimePoint Local{std::chrono::hours(1)};
  TimePoint Since{};
  int RatePerThousand = 1000;
};

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_SIMCLOCK_H
