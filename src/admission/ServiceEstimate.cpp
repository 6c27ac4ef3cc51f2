#include "daisyspool/admission/ServiceEstimate.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace daisyspool {

namespace {

// Buckets start at about one microsecond.
constexpr double FirstBucketNanos = 1024;

} // namespace

void ServiceEstimate::add(Duration Sample) {
  double Nanos =
      static_cast<double>(std::max(Sample.count(), Duration::rep(1)));
  double Octaves = std::max(std::log2(Nanos / FirstBucketNanos), 0.0);
  auto Index = static_cast<std::size_t>(Octaves * BucketsPerOctave);
  ++Buckets[std::min(Index, BucketCount - 1)];
  ++Count;

  if (Count >= HalvingCount)
    fade();
}

Duration ServiceEstimate::quantile(double Quantile) const {
  assert(Quantile >= 0 && Quantile <= 1);
  if (Count < MinSamples)
    return Initial;

  double Above = (1 - Quantile) * Count;
  double Seen = 0;
  std::size_t Index = BucketCount;
  while (Index > 0) {
    --Index;
    Seen += Buckets[Index];
    if (Seen > Above)
      break;
  }

  double Edge = FirstBucketNanos *
                std::exp2(static_cast<double>(Index + 1) / BucketsPerOctave);
  return Duration(static_cast<Duration::rep>(Edge));
}

void ServiceEstimate::fade() {
  Count = 0;
  for (std::uint32_t &Bucket : Buckets) {
    Bucket /= 2;
    Count += Bucket;
  }
}

} // namespace daisyspool
