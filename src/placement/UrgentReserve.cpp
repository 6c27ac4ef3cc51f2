#include "daisyspool/placement/UrgentReserve.h"

#include <algorithm>
#include <cmath>

namespace daisyspool::placement {

namespace {

/// Weight of the newest window in the mean.
constexpr double Smoothing = 0.05;

} // namespace

void UrgentReserve::onArrival(TimePoint Now) {
  advance(Now);
  ++ArrivalsInWindow;
}

void UrgentReserve::advance(TimePoint Now) {
  if (Now - WindowStart < UrgentStartBound)
    return;

  auto Windows = static_cast<double>((Now - WindowStart) / UrgentStartBound);
  Mean += Smoothing * (ArrivalsInWindow - Mean);
  Mean *= std::pow(1 - Smoothing, Windows - 1);
  double Elapsed =
      std::chrono::duration<double>(UrgentStartBound).count() * Windows;
  double HalfLife = std::chrono::duration<double>(Config.PeakHalfLife).count();
  Peak = std::max(Peak * std::exp2(-Elapsed / HalfLife),
                  static_cast<double>(ArrivalsInWindow));
  ArrivalsInWindow = 0;
  WindowStart += UrgentStartBound * static_cast<std::int64_t>(Windows);
}

std::int64_t UrgentReserve::slots(std::int64_t TotalSlots) const {
  double Steady = Mean + Config.Deviations * std::sqrt(Mean);
  auto Wanted = static_cast<std::int64_t>(std::ceil(std::max(Steady, Peak)));
  auto Most = static_cast<std::int64_t>(Config.MaxShare *
                                        static_cast<double>(TotalSlots));

  return std::max(Config.MinSlots, std::min(Wanted, Most));
}

} // namespace daisyspool::placement
