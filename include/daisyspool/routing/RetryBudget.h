#ifndef DAISYSPOOL_ROUTING_RETRYBUDGET_H
#define DAISYSPOOL_ROUTING_RETRYBUDGET_H

#include <cassert>
#include <cstdint>

namespace daisyspool {

struct RetryBudgetSettings {
  /// Extra attempts allowed for each hundred first attempts.
  std::uint32_t Percent = 10;
  /// Extra attempts that unused budget accumulates to. An unbounded sum would
  /// let a quiet hour pay for a retry storm.
  std::uint32_t MaxSaved = 100;
};

/// Limits the extra load of retries and hedges to a part of the first attempts.
///
/// The budget starts empty, so the number of extra attempts never exceeds the
/// set part of the first attempts, counted from the start. Use one budget for
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
    ++First;
    Hundredths += Settings.Percent;
    std::uint64_t Limit = std::uint64_t(Settings.MaxSaved) * PerAttempt;
    if (Hundredths > Limit)
      Hundredths = Limit;
  }

  /// Whether one extra attempt is allowed now.
  bool allows() const { return Hundredths >= PerAttempt; }

  /// Pays for one extra attempt. Precondition: allows().
  void spend() {
    assert(allows());
    ++Extra;
    Hundredths -= PerAttempt;
  }

  std::uint64_t firstAttempts() const { return First; }
  std::uint64_t extraAttempts() const { return Extra; }

private:
  static constexpr std::uint64_t PerAttempt = 100;

  RetryBudgetSettings Settings;
  std::uint64_t Hundredths = 0;
  std::uint64_t First = 0;
  std::uint64_t Extra = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_RETRYBUDGET_H
