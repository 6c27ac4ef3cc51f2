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
  assert(Limits.BudgetPerSecond > 0);
}

void RetryPolicy::onSuccess(TimePoint Now) {
  refill(Now);
  Budget = std::min(Limits.Burst, Budget + Limits.BudgetPerSuccess);
  Failures = 0;
  NotBefore = Now;
}

Duration RetryPolicy::onFailure(TimePoint Now) {
  refill(Now);
  Budget -= 1;
  Duration Wait = std::max(backoff(), waitForBudget());
  ++Failures;
  NotBefore = Now + Wait;

  return Wait;
}

void RetryPolicy::refill(TimePoint Now) {
  if (Now <= RefilledAt)
    return;

  double ElapsedSeconds = Seconds(Now - RefilledAt).count();
  Budget =
      std::min(Limits.Burst, Budget + ElapsedSeconds * Limits.BudgetPerSecond);
  RefilledAt = Now;
}

Duration RetryPolicy::backoff() {
  // Keeps the shift from overflowing; MaxDelay limits the wait long before.
  constexpr unsigned MaxDoublings = 20;
  Duration MaxWait =
      Limits.FirstDelay * (1U << std::min(Failures, MaxDoublings));
  MaxWait = std::min<Duration>(MaxWait, Limits.MaxDelay);

  return std::chrono::duration_cast<Duration>(MaxWait * Jitter.unit());
}

Duration RetryPolicy::waitForBudget() const {
  if (Budget >= 0)
    return Duration::zero();

  return std::chrono::ceil<Duration>(Seconds(-Budget / Limits.BudgetPerSecond));
}

} // namespace daisyspool
