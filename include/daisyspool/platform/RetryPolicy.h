#ifndef DAISYSPOOL_PLATFORM_RETRYPOLICY_H
#define DAISYSPOOL_PLATFORM_RETRYPOLICY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"

#include <cstdint>

namespace daisyspool {

/// Says when a failed call may be repeated: exponential backoff with full
/// jitter, within a retry budget.
///
/// Use one for each thing that fails as a whole, such as the table service as
/// seen by one duty thread. The budget grows with successes, so that retries
/// are a fixed share of the calls, and slowly with time, so that the end of an
/// outage is found. In any period the retries are at most
/// Burst + successes * EarnedPerSuccess + seconds * EarnedPerSecond.
/// Pure: it neither sleeps nor repeats anything.
///
/// Thread safety: one thread at a time.
class RetryPolicy {
public:
  struct Options {
    /// Upper bound of the delay after the first failure; doubles with each
    /// further one.
    Millis FirstDelay{50};
    /// A third of the shard lease, so that an owner finds the store again
    /// before its lease ends.
    Millis MaxDelay{2000};
    /// Retries that may follow each other without new budget.
    double Burst = 5;
    /// The share of retries in the calls, from the target of at most 10%.
    double EarnedPerSuccess = 0.1;
    double EarnedPerSecond = 0.5;
  };

  /// Precondition: delays, Burst and EarnedPerSecond are positive. Different
  /// processes pass different seeds, so that they do not retry in step.
  RetryPolicy(Options Limits, std::uint64_t Seed);

  /// Notes a success and ends the backoff.
  void onSuccess(TimePoint Now);

  /// Notes a failure and takes one retry from the budget. Returns the time to
  /// wait before the next call.
  Duration onFailure(TimePoint Now);

  /// Whether the wait of the last failure is over.
  bool mayTry(TimePoint Now) const { return Now >= NotBefore; }

  /// End of the wait of the last failure.
  TimePoint notBefore() const { return NotBefore; }

private:
  void earn(TimePoint Now);
  Duration backoff();
  Duration waitForBudget() const;

  Options Limits;
  Random Jitter;
  double Budget;
  unsigned Failures = 0;
  TimePoint EarnedUntil{};
  TimePoint NotBefore{};
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_RETRYPOLICY_H
