#include "daisyspool/platform/RetryPolicy.h"

#include <algorithm>
#include <cassert>

namespace daisyspool {

using Seconds = std::chrono::duration<double>;

RetryPolicy::RetryPolicy(Options Limits, std::uint64_t Seed)
    : Limits(Limits), Jitter(Seed), Budget(Limits.Burst) {
  assert(Limits.FirstDelay > Millis::zero());
  assert(Limits.MaxDelay >= Limits.FirstDelay);
  assert(Limits.Burst >= 1);
  assert(Limits.EarnedPerSecond > 0);
}

void RetryPolicy::onSuccess(TimePoint Now) {
  earn(Now);
  Budget = std::min(Limits.Burst, Budget + Limits.EarnedPerSuccess);
  Failures = 0;
  NotBefore = Now;
}

Duration RetryPolicy::onFailure(TimePoint Now) {
  earn(Now);
  Budget -= 1;
  Duration Wait = std::max(backoff(), waitForBudget());
  ++Failures;
  NotBefore = Now + Wait;

  return Wait;
}

void RetryPolicy::earn(TimePoint Now) {
  if (Now <= EarnedUntil)
    return;

  double Passed = Seconds(Now - EarnedUntil).count();
  Budget = std::min(Limits.Burst, Budget + Passed * Limits.EarnedPerSecond);
  EarnedUntil = Now;
}

Duration RetryPolicy::backoff() {
  // Stops doubling before the shift overflows; MaxDelay applies long before.
  constexpr unsigned MaxDoublings = 20;
  Duration Bound = Limits.FirstDelay * (1U << std::min(Failures, MaxDoublings));
  Bound = std::min<Duration>(Bound, Limits.MaxDelay);

  return std::chrono::duration_cast<Duration>(Bound * Jitter.unit());
}

Duration RetryPolicy::waitForBudget() const {
  if (Budget >= 0)
    return Duration::zero();

  return std::chrono::ceil<Duration>(Seconds(-Budget / Limits.EarnedPerSecond));
}

} // namespace daisyspool
