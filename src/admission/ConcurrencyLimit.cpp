#include "daisyspool/admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

constexpr double RecentWeight = 1.0 / 16;
constexpr double BaselineWeight = 1.0 / 1024;
// Service times vary between requests. A lower tolerance would shrink the limit
// because of this variation alone.
constexpr double Tolerance = 1.5;
constexpr double MinGradient = 0.5;
constexpr double Smoothing = 0.2;
constexpr std::uint32_t SamplesPerAdjustment = 16;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots)
    : Slots(Slots), Limit(Slots) {
  assert(Slots >= 1);
}

void ConcurrencyLimit::onSample(double Slowdown, std::uint32_t InFlight) {
  if (BaselineSlowdown == 0) {
    RecentSlowdown = Slowdown;
    BaselineSlowdown = Slowdown;
  }

  RecentSlowdown += RecentWeight * (Slowdown - RecentSlowdown);
  BaselineSlowdown += BaselineWeight * (Slowdown - BaselineSlowdown);
  PeakInFlight = std::max(PeakInFlight, InFlight);

  if (++WindowSamples >= SamplesPerAdjustment)
    adjust();
}

void ConcurrencyLimit::adjust() {
  Gradient = std::clamp(Tolerance * BaselineSlowdown / RecentSlowdown,
                        MinGradient, 1.0);
  // A target below half of its limit gives no evidence that more would be
  // sustained.
  bool LimitIsUsed = PeakInFlight * 2 >= limit();
  WindowSamples = 0;
  PeakInFlight = 0;
  if (!LimitIsUsed && Gradient >= 1)
    return;

  double NewLimit = Limit * Gradient + std::sqrt(Limit);
  if (Gradient < 1)
    NewLimit = Limit * Gradient;
  Limit += Smoothing * (NewLimit - Limit);
  Limit = std::clamp(Limit, 1.0, static_cast<double>(Slots));
}

} // namespace daisyspool
