#ifndef DAISYSPOOL_PLACEMENT_URGENTRESERVE_H
#define DAISYSPOOL_PLACEMENT_URGENTRESERVE_H

#include "daisyspool/core/Clock.h"

#include <cstdint>

namespace daisyspool::placement {

/// Urgent work starts within this bound (section 1.7 of the design).
inline constexpr Millis UrgentStartBound{3300};

/// Decides how many urgent starts the fleet keeps room for, from the starts
/// that arrived in earlier windows of one start bound each.
///
/// Room beyond the reserve comes from throttling and eviction, which take
/// part of the bound themselves. Thread safety: one thread at a time.
class UrgentReserve {
public:
  struct Options {
    std::int64_t MinSlots = 1;
    /// Largest part of the fleet that is kept free.
    double MaxShare = 0.05;
    /// Standard deviations above the mean that are covered.
    double Deviations = 3;
    /// Time in which a remembered peak halves.
    Millis PeakHalfLife{600000};
  };

  explicit UrgentReserve(Options Config) : Config(Config) {}
  UrgentReserve() : UrgentReserve(Options{}) {}

  /// Records the arrival of an urgent task.
  void onArrival(TimePoint Now);

  /// Closes elapsed windows. Call before slots().
  void advance(TimePoint Now);

  /// Starts to keep room for, of \p TotalSlots that the fleet has when empty.
  std::int64_t slots(std::int64_t TotalSlots) const;

private:
  Options Config;
  TimePoint WindowStart{};
  std::uint32_t InWindow = 0;
  double Mean = 0;
  double Peak = 0;
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_URGENTRESERVE_H
