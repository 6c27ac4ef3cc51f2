#ifndef DAISYSPOOL_ENTRY_REQUESTMETRICS_H
#define DAISYSPOOL_ENTRY_REQUESTMETRICS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/WorkClass.h"
#include "daisyspool/telemetry/Metrics.h"

#include <array>
#include <string>

namespace daisyspool {

/// The metrics of callers' requests. Metrics that are labelled by work class
/// only are looked up once.
///
/// Thread safety: safe from any thread.
class RequestMetrics {
public:
  explicit RequestMetrics(Metrics &Registry);
  RequestMetrics(const RequestMetrics &) = delete;
  RequestMetrics &operator=(const RequestMetrics &) = delete;

  /// Counts a request that its target answered after \p Took.
  void countServed(WorkClass Class, Duration Took);

  /// Counts a request that ended with a problem document of \p Type.
  void countProblem(WorkClass Class, const std::string &Type);

  /// Counts a sent attempt that is not the first of its request.
  void countExtraAttempt() { ExtraAttempts.Increment(); }

  /// Counts a request that could not be read or parsed.
  void countBadRequest(const std::string &Reason);

private:
  Metrics &Registry;
  std::array<prometheus::Counter *, WorkClassCount> Served{};
  std::array<prometheus::Histogram *, WorkClassCount> Seconds{};
  prometheus::Counter &ExtraAttempts;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_REQUESTMETRICS_H
