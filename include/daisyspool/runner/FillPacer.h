#ifndef DAISYSPOOL_RUNNER_FILLPACER_H
#define DAISYSPOOL_RUNNER_FILLPACER_H

#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool::runner {

/// Computes the share of full speed at which tasks that only fill idle CPUs
/// run, from the tail latency of the serving tasks beside them.
///
/// Load pattern: filling tasks slow down a serving task whose own load changes
/// within seconds; the tail latency is a noisy measurement over the last 500
/// ms. The share is cut at once and raised in steps, so that a load that rises
/// again costs one measurement and not all of the time that a service may
/// exceed its target.
///
/// Thread safety: one thread at a time.
class FillPacer {
public:
  /// \p WorstTailRatio is the largest ratio of tail latency to target beside
  /// the filling tasks, 0 without serving tasks. Returns the share in percent.
  std::uint32_t update(double WorstTailRatio, TimePoint Now);

  std::uint32_t percent() const { return Percent; }

  /// The ratio that the last update() got.
  double tailRatio() const { return TailRatio; }

  /// Below this tail ratio the share may rise.
  static constexpr double SpeedUpBelow = 0.75;

private:
  /// The tail latency is measured over 500 ms; a change takes effect in it only
  /// after that.
  static constexpr Millis EffectDelay{700};
  /// Above this tail ratio the share falls; the gap to SpeedUpBelow keeps
  /// measurement noise from moving it back and forth.
  static constexpr double SlowDownAt = 0.88;
  /// Set point of the tail ratio.
  static constexpr double SetPoint = 0.8;
  /// Smallest factor of one reduction.
  static constexpr double MinDecreaseFactor = 0.4;
  /// Percentage points gained per unit of tail ratio below the set point, and
  /// the most that one step gains.
  static constexpr double StepPerRatio = 200;
  static constexpr double MaxStep = 50;
  /// Below this share a filling task makes little progress and mainly disturbs
  /// the services.
  static constexpr double MinPercent = 8;

  std::uint32_t Percent = 100;
  double TailRatio = 0;
  TimePoint LastChange{};
};

/// Detects that a service has exceeded its latency target for so long that
/// filling tasks beside it must stop: first those that may disturb it, then
/// all.
///
/// Load pattern: many filling tasks that each disturb the service a little, all
/// the time, beside others that do not; and a pair of images that was wrongly
/// classified as harmless.
///
/// Thread safety: one thread at a time.
class TailOverrun {
public:
  /// Suspects are the filling tasks that are not known to be harmless to the
  /// service.
  enum class Stop : std::uint8_t { None, Suspects, All };

  /// \p WorstTailRatio as in FillPacer::update(). Returns level().
  Stop update(double WorstTailRatio, TimePoint Now);

  /// Which filling tasks must be stopped.
  Stop level() const { return Level; }

private:
  /// A service counts as harmed after 4 s above its target; measurement,
  /// listing and effect lag by more than 1 s.
  static constexpr Millis MaxAboveTarget{1500};
  /// Leaves time for a listing, a measurement and the effect of stopping the
  /// suspects.
  static constexpr Millis MaxAboveTargetWithoutSuspects{2500};
  /// The tail latency has to fall well below the target before the tasks
  /// resume.
  static constexpr double ResumeBelow = 0.85;

  Stop Level = Stop::None;
  std::optional<TimePoint> AboveTargetSince;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_FILLPACER_H
