#include "daisyspool/placement/UsageEstimator.h"

#include <algorithm>
#include <cmath>

namespace daisyspool::placement {

namespace {

/// Bins cover ratios from 1/16 to 64 in steps of 2^(1/4), which bounds the
/// rounding of an estimate to 19%.
constexpr double LowestLog = -4;
constexpr double BinsPerDoubling = 4;

double ratio(std::int64_t Used, std::int64_t Declared) {
  return Declared == 0
             ? 1
             : static_cast<double>(Used) / static_cast<double>(Declared);
}

} // namespace

std::size_t UsageEstimator::binOf(double Ratio) {
  if (Ratio <= 0)
    return 0;

  double Bin = std::ceil((std::log2(Ratio) - LowestLog) * BinsPerDoubling);
  return static_cast<std::size_t>(
      std::clamp(Bin, 0.0, static_cast<double>(Bins - 1)));
}

double UsageEstimator::upperBound(std::size_t Bin) {
  return std::exp2(LowestLog + static_cast<double>(Bin) / BinsPerDoubling);
}

void UsageEstimator::observe(KindIndex Kind, const Resources &Declared,
                             const Resources &Used) {
  if (Kind.index() >= Kinds.size())
    Kinds.resize(Kind.index() + 1);

  Usage &Observed = Kinds[Kind.index()];
  ++Observed.Cpu[binOf(ratio(Used.Cpu.value(), Declared.Cpu.value()))];
  ++Observed.Memory[binOf(ratio(Used.Memory.value(), Declared.Memory.value()))];
  ++Observed.Observations;
  ++Observed.Total;
  if (Observed.Observations < Config.HalveAt)
    return;

  Observed.Observations = 0;
  for (std::size_t I = 0; I < Bins; ++I) {
    Observed.Cpu[I] /= 2;
    Observed.Memory[I] /= 2;
    Observed.Observations += Observed.Cpu[I];
  }
}

double UsageEstimator::percentile(const Histogram &Counts,
                                  std::uint32_t Count) const {
  auto Wanted = static_cast<std::uint32_t>(Config.Percentile * Count);
  std::uint32_t Seen = 0;
  for (std::size_t I = 0; I < Bins; ++I) {
    Seen += Counts[I];
    if (Seen > Wanted)
      return upperBound(I);
  }
  return upperBound(Bins - 1);
}

UsageEstimator::Estimate
UsageEstimator::estimate(KindIndex Kind, const Resources &Declared) const {
  if (Kind.index() >= Kinds.size() ||
      Kinds[Kind.index()].Total < Config.MinObservations)
    return {Declared, 1, 1, 0, 0};

  const Usage &Observed = Kinds[Kind.index()];
  double Margin = std::max(Config.NarrowestMargin,
                           Config.WidestMargin *
                               std::sqrt(Config.MinObservations /
                                         static_cast<double>(Observed.Total)));
  double Cpu = percentile(Observed.Cpu, Observed.Observations);
  double Memory = percentile(Observed.Memory, Observed.Observations);
  auto Scale = [&](std::int64_t Size, double Ratio) {
    return static_cast<std::int64_t>(
        std::ceil(static_cast<double>(Size) * Ratio * (1 + Margin)));
  };
  Resources Size{MilliCores(Scale(Declared.Cpu.value(), Cpu)),
                 MebiBytes(Scale(Declared.Memory.value(), Memory)),
                 Declared.Accelerator};

  return {Size, Cpu, Memory, Margin, Observed.Total};
}

} // namespace daisyspool::placement
