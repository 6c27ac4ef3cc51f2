#ifndef DAISYSPOOL_ADMISSION_SERVICEESTIMATE_H
#define DAISYSPOOL_ADMISSION_SERVICEESTIMATE_H

#include "daisyspool/core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace daisyspool {

/// Learned distribution of durations: any quantile, in fixed memory.
///
/// Samples fall into logarithmic buckets a quarter of a power of two wide.
/// Counts are halved at a bound and by fade(), so that old samples lose weight.
/// Use it for
/// service times that decide whether a deadline can be met and for the delay
/// before a hedge. See AdmissionQueue and HedgePolicy.
///
/// Thread safety: one thread at a time.
class ServiceEstimate {
public:
  /// \p Initial is returned by every query until enough samples are known.
  explicit ServiceEstimate(Duration Initial) : Initial(Initial) {}

  void add(Duration Sample);

  /// The upper edge of the bucket that holds quantile \p Quantile, in [0, 1].
  Duration quantile(double Quantile) const;

  /// Halves the weight of all samples so far.
  void fade();

private:
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t BucketCount = 160;
  static constexpr std::uint32_t MinSamples = 20;
  static constexpr std::uint32_t HalvingCount = 1U << 14;

  Duration Initial;
  std::array<std::uint32_t, BucketCount> Buckets{};
  std::uint32_t Count = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_SERVICEESTIMATE_H
