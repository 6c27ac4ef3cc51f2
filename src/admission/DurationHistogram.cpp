#include "daisyspool/admission/DurationHistogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

// Buckets start at about one microsecond.
constexpr double FirstBucketNanos = 1024;

} // namespace

void DurationHistogram::add(Duration Sample) {
  double Nanos =
      static_cast<double>(std::max(Sample.count(), Duration::rep(1)));
  double Octaves = std::max(std::log2(Nanos / FirstBucketNanos), 0.0);
  auto Index = static_cast<std::size_t>(Octaves * BucketsPerOctave);
  ++Buckets[std::min(Index, BucketCount - 1)];
  ++Count;

  if (Count >= MaxCount)
    decay();
}

Duration DurationHistogram::quantile(double Quantile) const {
  assert(Quantile >= 0 && Quantile <= 1);
  if (Count < MinSamples)
    return InitialQuantile;

  double Above = (1 - Quantile) * Count;
  double Counted = 0;
  std::size_t Index = BucketCount;
  while (Index > 0) {
    --Index;
    Counted += Buckets[Index];
    if (Counted > Above)
      break;
  }

  double UpperBound =
      FirstBucketNanos *
      std::exp2(static_cast<double>(Index + 1) / BucketsPerOctave);
  return Duration(static_cast<Duration::rep>(UpperBound));
}

void DurationHistogram::decay() {
  Count = 0;
  for (std::uint32_t &Bucket : Buckets) {
    Bucket /= 2;
    Count += Bucket;
  }
}

} // namespace daisyspool
