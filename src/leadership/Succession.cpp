#include "daisyspool/leadership/Succession.h"

#include <algorithm>
#include <cmath>

namespace daisyspool::leadership {

namespace {

/// Extra wait for each halving of the processor share compared with the last
/// leader. A takeover by a larger entry takes two calls of the store.
constexpr double DelayPerHalvingMs = 150;
/// Limit of the extra wait, as possibly no larger entry is left.
constexpr double MaxDelayMs = 450;
/// Stands for the last leader before the first one.
constexpr MilliCores FirstReference{1000};
/// How much larger an entry must be to relieve an overloaded leader, in
/// percent; a takeover between similar entries would only cost time.
constexpr std::int64_t ReliefPercent = 150;

} // namespace

Millis takeoverDelay(MilliCores Own, const LeaderStatus &Leader) {
  MilliCores Reference =
      Leader.Leader.Term == Epoch{} ? FirstReference : Leader.Processors;
  if (Own <= MilliCores(0) || Reference <= Own)
    return Millis(0);

  double Halvings = std::log2(static_cast<double>(Reference.value()) /
                              static_cast<double>(Own.value()));
  return Millis(static_cast<std::int64_t>(
      std::min(MaxDelayMs, Halvings * DelayPerHalvingMs)));
}

bool shouldRelieve(MilliCores Own, const LeaderStatus &Leader) {
  return Leader.Overloaded && !Leader.Released &&
         Own.value() * 100 >= Leader.Processors.value() * ReliefPercent;
}

void LagMonitor::observe(Millis Lag, TimePoint Now) {
  double Sample = std::clamp(static_cast<double>(Lag.count()), 0.0, MaxSample);
  Smoothed += Gain * (Sample - Smoothed);
  if (Smoothed < OverloadLag)
    HighSince.reset();
  else if (!HighSince)
    HighSince = Now;
}

bool LagMonitor::isOverloaded(TimePoint Now) const {
  return HighSince && Now - *HighSince >= SustainedFor;
}

} // namespace daisyspool::leadership
