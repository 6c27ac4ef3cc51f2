#ifndef DAISYSPOOL_ENTRY_REQUESTMETRICS_H
#define DAISYSPOOL_ENTRY_REQUESTMETRICS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/WorkClass.h"
#include "daisyspool/telemetry/Metrics.h"

#include <array>
#include <string>

namespace daisyspool {

/// The metrics of callers' requests, looked up once per label set.
///
/// Thread safety: safe from any thread.
class RequestMetrics {
public:
  explicit RequestMetrics(Metrics &Values);
  RequestMetrics(const RequestMetrics &) = delete;
  RequestMetrics &operator=(const RequestMetrics &) = delete;

  /// A request was answered by its target after \p Took.
  void served(WorkClass Class, Duration Took);

  /// A request ended with a problem of \p Type.
  void refused(WorkClass Class, const std::string &Type);

  /// An attempt beyond the first of its request was sent.
  void extraAttempt() { Extra.Increment(); }

  /// A request could not be read or understood.
  void badRequest(const std::string &Reason);

private:
  Metrics &Values;
  std::array<prometheus::Counter *, WorkClassCount> Served{};
  std::array<prometheus::Histogram *, WorkClassCount> Seconds{};
  prometheus::Counter &Extra;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_REQUESTMETRICS_H
