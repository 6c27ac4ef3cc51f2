#ifndef DAISYSPOOL_TELEMETRY_METRICS_H
#define DAISYSPOOL_TELEMETRY_METRICS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/WorkClass.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daisyspool {

/// The metrics of one process, in base units and with bounded cardinality.
///
/// Use one per process and keep the returned references, as each look-up takes
/// a lock. Teams beyond the limit share the label "other".
///
/// Thread safety: safe from any thread.
class Metrics {
public:
  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  using Labels = std::map<std::string, std::string>;

  /// The counter \p Name with \p LabelValues. By convention the name ends in
  /// _total.
  prometheus::Counter &counter(const std::string &Name, const std::string &Help,
                               const Labels &LabelValues = {});
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help,
                           const Labels &LabelValues = {});
  /// The histogram \p Name of durations in seconds with \p LabelValues.
  prometheus::Histogram &secondsHistogram(const std::string &Name,
                                          const std::string &Help,
                                          const Labels &LabelValues = {});

  /// The label value for \p Team: its name for the first 100 teams, "other" for
  /// all later ones.
  std::string teamLabel(const TeamId &Team);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_METRICS_H
