#ifndef DAISYSPOOL_PLACEMENT_URGENTRESERVE_H
#define DAISYSPOOL_PLACEMENT_URGENTRESERVE_H

#include "daisyspool/core/Clock.h"

#include <cstdint>

namespace daisyspool::placement {

/// Urgent work starts within this bound (section 1.7 of the design).
inline constexpr Millis UrgentStartBound{3300};

/// Computes how many urgent starts the fleet reserves capacity for, from the
/// arrivals in earlier windows, each as long as the start bound.
///
/// Starts beyond the reserve need throttling or eviction, which take part of
/// the bound themselves. Thread safety: one thread at a time.
class UrgentReserve {
public:
  struct Options {
    std::int64_t MinSlots = 1;
    /// Largest fraction of the fleet that is reserved.
    double MaxShare = 0.05;
    /// Number of standard deviations above the mean that are reserved.
    double Deviations = 3;
    /// Half-life of the exponential decay of the peak.
    Millis PeakHalfLife{600000};
  };

  explicit UrgentReserve(Options Config) : Config(Config) {}
  UrgentReserve() : UrgentReserve(Options{}) {}

  /// Records the arrival of an urgent task.
  void onArrival(TimePoint Now);

  /// Updates the mean and the peak with the elapsed windows. Call before
  /// slots().
  void advance(TimePoint Now);

  /// Number of slots to reserve, given that the fleet has \p TotalSlots when
  /// empty.
  std::int64_t slots(std::int64_t TotalSlots) const;

private:
  Options Config;
  TimePoint WindowStart{};
  std::uint32_t ArrivalsInWindow = 0;
  double Mean = 0;
  double Peak = 0;
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_URGENTRESERVE_H
