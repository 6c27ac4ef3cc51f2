#ifndef DAISYSPOOL_WORKLOAD_FLEETCONFIG_H
#define DAISYSPOOL_WORKLOAD_FLEETCONFIG_H

#include "daisyspool/workload/JobDefinition.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::workload {

/// The host and path at which callers reach a queue, and its policy.
struct QueueRoute {
  std::string Host;
  std::string PathPrefix;
  QueuePolicy Policy;
  /// The queue's policy allows only some workers; starts need a recommendation.
  bool NeedsAdvice = false;
};

struct ServicePolicy {
  ServiceId Name;
  /// The service's workers reject tasks that would exceed their capacity.
  bool ChecksAdmission = false;
  /// The service's VMs are switched off until they are needed.
  bool Standby = false;
};

/// A complete configuration as the operator wrote it.
struct FleetConfig {
  ConfigVersion Version;
  std::vector<QueueRoute> Routes;
  std::vector<ServicePolicy> Services;
  std::size_t MaxBodyBytes = 262144;

  /// The route with \p Host and the longest prefix of \p Path, or null.
  const QueueRoute *route(std::string_view Host, std::string_view Path) const;

  /// The route of the queue \p Name, or null.
  const QueueRoute *queue(const QueueId &Name) const;
};

} // namespace daisyspool::workload

#endif // DAISYSPOOL_WORKLOAD_FLEETCONFIG_H
