#ifndef DAISYSPOOL_INTERFERENCE_INTERFERENCEMODEL_H
#define DAISYSPOOL_INTERFERENCE_INTERFERENCEMODEL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/interference/ColocationHistory.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace daisyspool::interference {

/// Load of the slowed task: below one third, below two thirds, or above.
enum class LoadBand : std::uint8_t { Low, Middle, High };
inline constexpr std::size_t LoadBandCount = 3;

/// The band of \p Load, the used part of a task's capacity.
LoadBand bandOf(double Load);

/// The learned interference of one pair of kinds.
struct PairEstimate {
  /// Slowdown beyond 1 that one neighbour causes.
  double Excess = 0;
  /// Decayed number of reports that contributed to it.
  double Weight = 0;
};

/// Learns how much a neighbour of one kind slows a task of another, for each
/// load band, from reports about whole VMs.
///
/// The excess slowdown of a report is taken as the sum of its neighbours'
/// excesses. Each report corrects the pairs in proportion to their presence
/// (normalised least mean squares), so a kind that is often present without a
/// slowdown converges to an excess of zero. Estimates without new reports
/// decay.
///
/// Thread safety: one thread at a time. See NoiseResponder next.
class InterferenceModel {
public:
  struct Options {
    std::size_t MaxKinds = 128;
    /// Learning rate: the fraction of the error that one report corrects, for a
    /// new pair and for a pair with many reports.
    double FastestRate = 0.5;
    double SlowestRate = 0.1;
    Millis HalfLife{900000};
  };

  explicit InterferenceModel(Options Config);
  InterferenceModel() : InterferenceModel(Options{}) {}

  /// Records that a task of \p Victim ran \p Slowdown times slower than alone
  /// beside \p Neighbours. Kinds beyond MaxKinds are ignored.
  void observe(KindIndex Victim, LoadBand Band,
               std::span<const Neighbour> Neighbours, double Slowdown,
               TimePoint Now);

  /// Sets the estimate of a pair to one that pair() returned elsewhere. Kinds
  /// beyond MaxKinds are ignored.
  void restore(KindIndex Victim, KindIndex Aggressor, LoadBand Band,
               const PairEstimate &Known, TimePoint Now);

  PairEstimate pair(KindIndex Victim, KindIndex Aggressor, LoadBand Band,
                    TimePoint Now) const;

  /// The largest excess over load bands. Placement uses it because a task may
  /// run through several bands.
  double worstExcess(KindIndex Victim, KindIndex Aggressor,
                     TimePoint Now) const;

  std::size_t bytes() const { return Cells.capacity() * sizeof(Cell); }

private:
  struct Cell {
    float Excess = 0;
    float Weight = 0;
    /// Time of the last report in seconds.
    std::uint32_t UpdatedAt = 0;
  };

  Cell &cell(KindIndex Victim, KindIndex Aggressor, LoadBand Band);
  const Cell &cell(KindIndex Victim, KindIndex Aggressor, LoadBand Band) const;
  double decay(const Cell &Pair, TimePoint Now) const;

  Options Config;
  std::vector<Cell> Cells;
};

} // namespace daisyspool::interference

#endif // DAISYSPOOL_INTERFERENCE_INTERFERENCEMODEL_H
