#ifndef DAISYSPOOL_WORKLOAD_FLEETCONFIG_H
#define DAISYSPOOL_WORKLOAD_FLEETCONFIG_H

#include "daisyspool/workload/JobDefinition.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::workload {

/// Where callers reach a queue, and its policy.
struct QueueRoute {
  std::string Host;
  std::string PathPrefix;
  QueuePolicy Policy;
  /// The queue's policy allows only some workers; a start needs their leave.
  bool NeedsAdvice = false;
};

struct ServicePolicy {
  ServiceId Name;
  /// Its workers refuse what would exceed their capacity.
  bool ChecksAdmission = false;
  /// Its VMs are switched off until they are needed.
  bool Standby = false;
};

/// One whole configuration as the operator wrote it.
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
