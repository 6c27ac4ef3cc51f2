#ifndef DAISYSPOOL_PLACEMENT_USAGEESTIMATOR_H
#define DAISYSPOOL_PLACEMENT_USAGEESTIMATOR_H

#include "daisyspool/core/Units.h"
#include "daisyspool/placement/Handles.h"

#include <array>
#include <cstdint>
#include <vector>

namespace daisyspool::placement {

/// Estimates, for each kind of task, the fraction of its declared size that it
/// uses. Use it to size reclaimable tasks and to find what guaranteed tasks can
/// lend.
///
/// The estimate is a high percentile of the observed ratios plus a margin that
/// narrows as observations accumulate. Thread safety: one thread at a time.
class UsageEstimator {
public:
  struct Options {
    double Percentile = 0.95;
    /// Fraction added to the percentile, at few observations and at many.
    double WidestMargin = 0.5;
    double NarrowestMargin = 0.1;
    /// With fewer observations the estimate is the declared size.
    std::uint32_t MinObservations = 20;
    /// Number of observations at which all counts are halved, so that older
    /// observations lose weight.
    std::uint32_t HalveAt = 2000;
  };

  /// The inputs and the result of one estimate.
  struct Estimate {
    Resources Size;
    double CpuRatio = 1;
    double MemoryRatio = 1;
    double Margin = 0;
    std::uint32_t Observations = 0;
  };

  explicit UsageEstimator(Options Config) : Config(Config) {}
  UsageEstimator() : UsageEstimator(Options{}) {}

  /// Records the use reported for a task of \p Kind, which may exceed
  /// \p Declared.
  void observe(KindIndex Kind, const Resources &Declared,
               const Resources &Used);

  /// Expected peak use of a task. Accelerators are always as declared.
  Estimate estimate(KindIndex Kind, const Resources &Declared) const;

  std::size_t bytes() const { return Kinds.capacity() * sizeof(Usage); }

private:
  static constexpr std::size_t Bins = 40;
  using Histogram = std::array<std::uint16_t, Bins>;
  struct Usage {
    Histogram Cpu{};
    Histogram Memory{};
    std::uint32_t Observations = 0;
    std::uint32_t Total = 0;
  };

  static std::size_t binOf(double Ratio);
  static double upperBound(std::size_t Bin);
  double percentile(const Histogram &Counts, std::uint32_t Count) const;

  Options Config;
  std::vector<Usage> Kinds;
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_USAGEESTIMATOR_H
