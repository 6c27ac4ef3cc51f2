#ifndef DAISYSPOOL_RUNNER_FILLPACER_H
#define DAISYSPOOL_RUNNER_FILLPACER_H

#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool::runner {

/// Decides at which share of their speed tasks that only fill idle processors
/// work, from the tail latency of the tasks that serve beside them.
///
/// Load pattern: filling batch slows a serving task whose own load swings
/// within seconds; the tail is a rough figure of the last half second. The
/// share is halved at once and raised in steps, so that a swing back costs one
/// figure and not the whole bound of the service.
///
/// Thread safety: one thread at a time.
class FillPacer {
public:
  /// \p WorstTail is the largest quotient of tail and target beside the filling
  /// tasks, 0 if nothing serves there. Returns the share in percent.
  std::uint32_t update(double WorstTail, TimePoint Now);

  std::uint32_t percent() const { return Percent; }

  /// Below this quotient the share may rise.
  static constexpr double SpeedUpBelow = 0.75;

private:
  /// The tail is a figure of half a second; an effect shows after that.
  static constexpr Millis EffectDelay{700};
  /// Above this quotient the share falls; the gap keeps a rough figure from
  /// moving it back and forth.
  static constexpr double SlowDownAt = 0.88;
  /// Where the quotient is steered.
  static constexpr double Aim = 0.8;
  static constexpr double LeastFactor = 0.4;
  /// Percent gained per unit of the quotient that is left, and at most.
  static constexpr double StepPerTail = 80;
  static constexpr double MaxStep = 30;
  /// Below it a filling task hardly works and only disturbs.
  static constexpr double LeastPercent = 8;

  std::uint32_t Percent = 100;
  TimePoint LastChange{};
};

/// Tells when a service has been beyond its target for so long that filling
/// tasks beside it must stop: first those that may disturb it, then all.
///
/// Load pattern: a steady crowd of filling tasks that each do little harm,
/// beside others that do none; and a pair of images that was wrongly taken for
/// harmless.
///
/// Thread safety: one thread at a time.
class TailOverrun {
public:
  enum class Stop : std::uint8_t { None, Suspects, All };

  /// \p WorstTail as in FillPacer::update(). Returns level().
  Stop update(double WorstTail, TimePoint Now);

  /// Which filling tasks must stand still.
  Stop level() const { return Level; }

private:
  /// A service counts as harmed after 4 s beyond its target; figure, listing
  /// and effect lag by more than a second.
  static constexpr Millis MaxOver{1500};
  /// Leaves a listing, a figure and the effect of the stop their time.
  static constexpr Millis MaxOverBesideSuspects{2500};
  /// The tail has to fall well below the target before they go on.
  static constexpr double EndsBelow = 0.85;

  Stop Level = Stop::None;
  std::optional<TimePoint> Since;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_FILLPACER_H
