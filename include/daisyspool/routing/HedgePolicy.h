#ifndef DAISYSPOOL_ROUTING_HEDGEPOLICY_H
#define DAISYSPOOL_ROUTING_HEDGEPOLICY_H

#include "daisyspool/admission/DurationHistogram.h"
#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool {

struct HedgeSettings {
  /// The hedge delay, as a quantile of the latencies of recent attempts.
  double Quantile = 0.95;
  /// Fraction of slots in use above which no hedge is sent, since hedges near
  /// saturation take slots from first attempts.
  double MaxUtilization = 0.8;
  /// Hedge delay until enough latencies have been observed.
  Duration InitialDelay = Millis(100);
};

/// Decides when an idempotent request gets a second attempt.
///
/// Use one policy per class of a service. Router::choose checks the RetryBudget
/// when the second attempt is due.
///
/// Thread safety: one thread at a time.
class HedgePolicy {
public:
  explicit HedgePolicy(HedgeSettings Settings)
      : Settings(Settings), Latencies(Settings.InitialDelay),
        Delay(Settings.InitialDelay) {}

  /// Records the latency of a successful attempt.
  void onReply(Duration Latency) {
    Latencies.add(Latency);
    if (++SamplesSinceUpdate < SamplesPerUpdate)
      return;

    SamplesSinceUpdate = 0;
    Delay = Latencies.quantile(Settings.Quantile);
  }

  /// Time after the first attempt at which to send the hedge, or std::nullopt
  /// if the request must not be hedged. \p Utilization is the fraction of slots
  /// in use.
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
  DurationHistogram Latencies;
  Duration Delay;
  std::uint32_t SamplesSinceUpdate = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ROUTING_HEDGEPOLICY_H
