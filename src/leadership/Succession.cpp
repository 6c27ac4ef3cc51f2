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
/// Margin beyond the longest recent interval between renewals. About one
/// interval, so that a single delayed renewal does not cause a takeover.
constexpr Millis RenewalMargin{450};
/// Renewals that arrive together after a delay must not shorten the patience
/// below this.
constexpr Millis MinPatience{900};

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

void RenewalRhythm::observe(Epoch Term, TimePoint Now) {
  if (Term != Observed) {
    Observed = Term;
    LastAt.reset();
    Total = 0;
  }
  // The same status was read again.
  if (LastAt == Now)
    return;
  if (LastAt)
    Intervals[Total++ % IntervalCount] =
        std::chrono::duration_cast<Millis>(Now - *LastAt);
  LastAt = Now;
}

Millis RenewalRhythm::patience(Millis Limit) const {
  if (Total < IntervalCount)
    return Limit;
  Millis Longest = *std::max_element(Intervals.begin(), Intervals.end());
  return std::min(Limit, std::max(MinPatience, Longest + RenewalMargin));
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
