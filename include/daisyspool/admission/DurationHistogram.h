#ifndef DAISYSPOOL_ADMISSION_DURATIONHISTOGRAM_H
#define DAISYSPOOL_ADMISSION_DURATIONHISTOGRAM_H

#include "daisyspool/core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace daisyspool {

/// Histogram of durations that estimates any quantile in fixed memory.
///
/// The buckets are logarithmic, four per power of two. Counts are halved by
/// decay() and when MaxCount is reached, so that old samples lose weight. It
/// estimates the service times that decide whether a deadline can be met, and
/// the delay of a hedge. See AdmissionQueue and HedgePolicy.
///
/// Thread safety: one thread at a time.
class DurationHistogram {
public:
  /// \p InitialQuantile is returned by every query until MinSamples have been
  /// added.
  explicit DurationHistogram(Duration InitialQuantile)
      : InitialQuantile(InitialQuantile) {}

  void add(Duration Sample);

  /// Returns the upper bound of the bucket that holds the quantile.
  /// Precondition: \p Quantile is in [0, 1].
  Duration quantile(double Quantile) const;

  /// Halves the weight of all samples added so far.
  void decay();

private:
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t BucketCount = 160;
  static constexpr std::uint32_t MinSamples = 20;
  static constexpr std::uint32_t MaxCount = 1U << 14;

  Duration InitialQuantile;
  std::array<std::uint32_t, BucketCount> Buckets{};
  std::uint32_t Count = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_DURATIONHISTOGRAM_H
