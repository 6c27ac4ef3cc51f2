#ifndef DAISYSPOOL_ROUTING_HEDGEPOLICY_H
#define DAISYSPOOL_ROUTING_HEDGEPOLICY_H

#include "daisyspool/admission/ServiceEstimate.h"
#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool {

struct HedgeSettings {
  /// A second attempt starts when the first has taken longer than this part of
  /// recent attempts.
  double Quantile = 0.95;
  /// No hedging above this part of slots in use. Hedges near saturation take
  /// slots from first attempts.
  double MaxUtilization = 0.8;
  Duration InitialDelay = Millis(100);
};

/// Decides when an idempotent request gets a second attempt.
///
/// Use one policy per class of a service. The budget is checked by
/// Router::choose when the second attempt is due.
///
/// Thread safety: one thread at a time.
class HedgePolicy {
public:
  explicit HedgePolicy(HedgeSettings Settings)
      : Settings(Settings), Times(Settings.InitialDelay),
        Delay(Settings.InitialDelay) {}

  /// Takes the time of a successful attempt.
  void onReply(Duration Took) {
    Times.add(Took);
    if (++SinceUpdate < SamplesPerUpdate)
      return;

    SinceUpdate = 0;
    Delay = Times.quantile(Settings.Quantile);
  }

  /// Time after the first attempt at which to hedge, or nothing if the request
  /// must not be hedged. \p Utilization is the part of slots in use.
  std::optional<Duration> delay(bool Idempotent, Duration Remaining,
                                double Utilization) const {
    if (!Idempotent || Utilization > Settings.MaxUtilization ||
        Delay >= Remaining)
      return std::nullopt;

    return Delay;
  }

private:
  static constexpr std::uint32_t SamplesPerUpdate = 32;

  HedgeSettings Settings;
  ServiceEstimate Times;
  Duration Delay;
  std::uint32_t SinceUpdate = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_HEDGEPOLICY_H
