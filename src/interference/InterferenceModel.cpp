#include "daisyspool/interference/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace daisyspool::interference {

namespace {

/// Number of reports at which the learning rate of a pair is the lowest.
constexpr double SlowestRateWeight = 10;

std::uint32_t seconds(TimePoint At) {
  return static_cast<std::uint32_t>(At.time_since_epoch() /
                                    std::chrono::seconds(1));
}

} // namespace

LoadBand bandOf(double Load) {
  if (Load < 1.0 / 3)
    return LoadBand::Low;

  return Load < 2.0 / 3 ? LoadBand::Middle : LoadBand::High;
}

InterferenceModel::InterferenceModel(Options Config)
    : Config(Config), Cells(Config.MaxKinds * Config.MaxKinds * LoadBandCount) {
}

InterferenceModel::Cell &
InterferenceModel::cell(KindIndex Victim, KindIndex Aggressor, LoadBand Band) {
  return Cells[(Victim.index() * Config.MaxKinds + Aggressor.index()) *
                   LoadBandCount +
               static_cast<std::size_t>(Band)];
}

const InterferenceModel::Cell &InterferenceModel::cell(KindIndex Victim,
                                                       KindIndex Aggressor,
                                                       LoadBand Band) const {
  return const_cast<InterferenceModel *>(this)->cell(Victim, Aggressor, Band);
}

double InterferenceModel::decay(const Cell &Pair, TimePoint Now) const {
  std::uint32_t NowSeconds = seconds(Now);
  if (Pair.Weight == 0 || NowSeconds <= Pair.UpdatedAt)
    return 1;

  double HalfLife = std::chrono::duration<double>(Config.HalfLife).count();
  return std::exp2(-static_cast<double>(NowSeconds - Pair.UpdatedAt) /
                   HalfLife);
}

void InterferenceModel::observe(KindIndex Victim, LoadBand Band,
                                std::span<const Neighbour> Neighbours,
                                double Slowdown, TimePoint Now) {
  if (Victim.index() >= Config.MaxKinds)
    return;

  double Predicted = 0;
  double Norm = 0;
  for (const Neighbour &Each : Neighbours) {
    if (Each.Kind.index() >= Config.MaxKinds || Each.Presence <= 0)
      continue;
    Predicted += pair(Victim, Each.Kind, Band, Now).Excess * Each.Presence;
    Norm += Each.Presence * Each.Presence;
  }
  if (Norm == 0)
    return;

  double Error = std::max(Slowdown - 1, 0.0) - Predicted;
  // A norm below 1 would increase the correction, and a neighbour that was
  // present only briefly would be attributed the whole slowdown.
  Norm = std::max(Norm, 1.0);
  for (const Neighbour &Each : Neighbours) {
    if (Each.Kind.index() >= Config.MaxKinds || Each.Presence <= 0)
      continue;
    Cell &Pair = cell(Victim, Each.Kind, Band);
    double Retained = decay(Pair, Now);
    double Weight = Pair.Weight * Retained;
    double Rate =
        std::max(Config.SlowestRate,
                 Config.FastestRate * (1 - Weight / SlowestRateWeight));
    double Excess =
        Pair.Excess * Retained + Rate * Error * Each.Presence / Norm;
    Pair.Excess = static_cast<float>(std::max(Excess, 0.0));
    Pair.Weight = static_cast<float>(Weight + Each.Presence);
    Pair.UpdatedAt = std::max(Pair.UpdatedAt, seconds(Now));
  }
}

void InterferenceModel::restore(KindIndex Victim, KindIndex Aggressor,
                                LoadBand Band, const PairEstimate &Known,
                                TimePoint Now) {
  if (Victim.index() >= Config.MaxKinds || Aggressor.index() >= Config.MaxKinds)
    return;

  cell(Victim, Aggressor, Band) = {static_cast<float>(Known.Excess),
                                   static_cast<float>(Known.Weight),
                                   seconds(Now)};
}

PairEstimate InterferenceModel::pair(KindIndex Victim, KindIndex Aggressor,
                                     LoadBand Band, TimePoint Now) const {
  if (Victim.index() >= Config.MaxKinds || Aggressor.index() >= Config.MaxKinds)
    return {};

  const Cell &Pair = cell(Victim, Aggressor, Band);
  double Retained = decay(Pair, Now);
  return {Pair.Excess * Retained, Pair.Weight * Retained};
}

double InterferenceModel::worstExcess(KindIndex Victim, KindIndex Aggressor,
                                      TimePoint Now) const {
  double Worst = 0;
  for (std::size_t I = 0; I < LoadBandCount; ++I)
    Worst = std::max(
        Worst, pair(Victim, Aggressor, static_cast<LoadBand>(I), Now).Excess);

  return Worst;
}

} // namespace daisyspool::interference
