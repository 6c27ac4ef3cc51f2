#ifndef DAISYSPOOL_PLATFORM_RETRYPOLICY_H
#define DAISYSPOOL_PLATFORM_RETRYPOLICY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"

#include <cstdint>

namespace daisyspool {

/// Decides when a failed call may be retried: exponential backoff with full
/// jitter, within a retry budget.
///
/// Use one instance per dependency that fails as a whole, such as the table
/// service as used by one duty thread. The budget grows with successes, so that
/// retries are a fixed share of the calls, and slowly with time, so that the
/// end of an outage is noticed. In any period the retries are at most
/// Burst + successes * BudgetPerSuccess + seconds * BudgetPerSecond.
/// The policy neither sleeps nor sends anything itself.
///
/// Thread safety: one thread at a time.
class RetryPolicy {
public:
  struct Options {
    /// Upper bound of the delay after the first failure; doubles with each
    /// further one.
    Millis FirstDelay{50};
    /// A third of the shard lease, so that an owner reaches a recovered store
    /// before its lease ends.
    Millis MaxDelay{2000};
    /// Size of the budget: retries in a row without a refill.
    double Burst = 5;
    /// Retries that one success adds to the budget, from the target of at most
    /// 10% retries.
    double BudgetPerSuccess = 0.1;
    /// Retries that one second adds to the budget without successes, so that
    /// calls are still tried in an outage.
    double BudgetPerSecond = 0.5;
  };

  /// Precondition: delays, Burst and BudgetPerSecond are positive. Different
  /// processes pass different seeds, so that they do not retry at
  /// the same time.
  RetryPolicy(Options Limits, std::uint64_t Seed);

  /// Records a success and ends the backoff.
  void onSuccess(TimePoint Now);

  /// Records a failure and takes one retry from the budget. Returns the time to
  /// wait before the next call.
  Duration onFailure(TimePoint Now);

  /// Whether the wait after the last failure is over.
  bool mayRetry(TimePoint Now) const { return Now >= NotBefore; }

  /// End of the wait after the last failure.
  TimePoint notBefore() const { return NotBefore; }

private:
  void refill(TimePoint Now);
  Duration backoff();
  Duration waitForBudget() const;

  Options Limits;
  Random Jitter;
  double Budget;
  unsigned Failures = 0;
  TimePoint RefilledAt{};
  TimePoint NotBefore{};
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_RETRYPOLICY_H
