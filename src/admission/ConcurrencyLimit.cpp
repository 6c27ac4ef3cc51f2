#include "daisyspool/admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

constexpr double RecentWeight = 1.0 / 16;
constexpr double BaselineWeight = 1.0 / 1024;
// Service times vary from request to request; a lower tolerance shrinks the
// limit on that variation alone.
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
  if (Baseline == 0) {
    Recent = Slowdown;
    Baseline = Slowdown;
  }

  Recent += RecentWeight * (Slowdown - Recent);
  Baseline += BaselineWeight * (Slowdown - Baseline);
  WindowPeak = std::max(WindowPeak, InFlight);

  if (++WindowSamples >= SamplesPerAdjustment)
    adjust();
}

void ConcurrencyLimit::adjust() {
  Gradient = std::clamp(Tolerance * Baseline / Recent, MinGradient, 1.0);
  // A target that uses less than half of its limit says nothing about it.
  bool Used = WindowPeak * 2 >= limit();
  WindowSamples = 0;
  WindowPeak = 0;
  if (!Used && Gradient >= 1)
    return;

  double Wanted = Limit * Gradient + std::sqrt(Limit);
  if (Gradient < 1)
    Wanted = Limit * Gradient;
  Limit += Smoothing * (Wanted - Limit);
  Limit = std::clamp(Limit, 1.0, static_cast<double>(Slots));
}

} // namespace daisyspool
