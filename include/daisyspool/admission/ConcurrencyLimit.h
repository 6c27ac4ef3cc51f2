#ifndef DAISYSPOOL_ADMISSION_CONCURRENCYLIMIT_H
#define DAISYSPOOL_ADMISSION_CONCURRENCYLIMIT_H

#include <cstdint>

namespace daisyspool {

/// Adaptive concurrency limit of one target, based on the latency gradient.
///
/// Compares the recent slowdown with a long-run baseline. While the recent
/// value stays within a tolerance, the limit grows towards the target's slots;
/// otherwise it shrinks in proportion. A lasting slowdown becomes the baseline,
/// so that the limit recovers and does not stay at its minimum. Samples are
/// ratios to the expected service time of the class, so that a change in the
/// mix of classes does not look like a slowdown. See Router.
///
/// Thread safety: one thread at a time.
class ConcurrencyLimit {
public:
  /// Precondition: \p Slots is at least 1. The limit starts at \p Slots.
  explicit ConcurrencyLimit(std::uint32_t Slots);

  /// Records one reply. \p Slowdown is the observed time over the expected
  /// time; \p InFlight is the concurrency while the request ran.
  void onSample(double Slowdown, std::uint32_t InFlight);

  /// The current limit, in [1, slots].
  std::uint32_t limit() const { return static_cast<std::uint32_t>(Limit); }

  /// The factor of the last adjustment, at most 1; 1 if there is no slowdown.
  double gradient() const { return Gradient; }

private:
  void adjust();

  std::uint32_t Slots;
  double Limit;
  double Gradient = 1;
  double RecentSlowdown = 0;
  double BaselineSlowdown = 0;
  std::uint32_t WindowSamples = 0;
  std::uint32_t PeakInFlight = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_CONCURRENCYLIMIT_H
