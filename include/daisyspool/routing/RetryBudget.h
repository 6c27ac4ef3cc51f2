#ifndef DAISYSPOOL_ROUTING_RETRYBUDGET_H
#define DAISYSPOOL_ROUTING_RETRYBUDGET_H

#include <cassert>
#include <cstdint>

namespace daisyspool {

struct RetryBudgetSettings {
  /// Extra attempts allowed per hundred first attempts.
  std::uint32_t Percent = 10;
  /// Maximum number of extra attempts for which unused budget accumulates.
  /// Without a limit, the budget of a quiet hour would allow a retry storm.
  std::uint32_t MaxBalance = 100;
};

/// Limits retries and hedges to a percentage of the first attempts.
///
/// The budget starts empty, so the number of extra attempts never exceeds this
/// percentage of the first attempts, counted from the start. Use one budget for
/// all routers of an entry. See Router and HedgePolicy.
///
/// Thread safety: one thread at a time.
class RetryBudget {
public:
  RetryBudget() : RetryBudget(RetryBudgetSettings{}) {}
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}
  RetryBudget(const RetryBudget &) = delete;
  RetryBudget &operator=(const RetryBudget &) = delete;

  /// Counts one first attempt.
  void onFirstAttempt() {
    ++FirstAttempts;
    Balance += Settings.Percent;
    std::uint64_t Limit = std::uint64_t(Settings.MaxBalance) * AttemptCost;
    if (Balance > Limit)
      Balance = Limit;
  }

  /// Whether one extra attempt is allowed now.
  bool allows() const { return Balance >= AttemptCost; }

  /// Deducts one extra attempt from the budget. Precondition: allows().
  void spend() {
    assert(allows());
    ++ExtraAttempts;
    Balance -= AttemptCost;
  }

  std::uint64_t firstAttempts() const { return FirstAttempts; }
  std::uint64_t extraAttempts() const { return ExtraAttempts; }

private:
  static constexpr std::uint64_t AttemptCost = 100;

  RetryBudgetSettings Settings;
  /// In hundredths of an extra attempt.
  std::uint64_t Balance = 0;
  std::uint64_t FirstAttempts = 0;
  std::uint64_t ExtraAttempts = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_RETRYBUDGET_H
