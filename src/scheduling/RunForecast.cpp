#include "daisyspool/scheduling/RunForecast.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// Listings are up to 500 ms old and rounded to one percent; a rate over less
/// time or work says little.
constexpr Millis MinObservation{300};
constexpr std::uint32_t MinProgress = 5;

} // namespace

void RunForecast::observe(std::uint32_t NewPercent, TimePoint Now) {
  if (!Listed) {
    Listed = true;
    FirstPercent = Percent = NewPercent;
    FirstAt = ProgressAt = Now;
    return;
  }
  if (NewPercent <= Percent)
    return;
  Percent = NewPercent;
  ProgressAt = Now;
}

Millis RunForecast::remaining(Millis Estimate, TimePoint AssignedAt,
                              TimePoint Now) const {
  auto Since = [Now](TimePoint Begin) {
    return std::chrono::duration_cast<Millis>(Now - Begin);
  };
  if (!Listed)
    return std::max(Millis(0), Estimate - Since(AssignedAt));

  std::int64_t Left = 100 - std::min<std::int64_t>(Percent, 100);
  Millis AtListing = Estimate * Left / 100;
  auto Observed = std::chrono::duration_cast<Millis>(ProgressAt - FirstAt);
  std::uint32_t Progress = Percent - FirstPercent;
  if (Observed >= MinObservation && Progress >= MinProgress)
    AtListing = Observed * Left / static_cast<std::int64_t>(Progress);
  return std::max(Millis(0), AtListing - Since(ProgressAt));
}

} // namespace daisyspool::scheduling
