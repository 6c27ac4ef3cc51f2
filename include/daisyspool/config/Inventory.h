#ifndef DAISYSPOOL_CONFIG_INVENTORY_H
#define DAISYSPOOL_CONFIG_INVENTORY_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace daisyspool {

/// Location of a record in the operator's files, for error messages.
struct SourceLocation {
  std::string File;
  int Line = 0;
};

/// State of a VM as operators declare it. A VM may be removed from the
/// inventory only after its state there was Drained.
enum class VmState : std::uint8_t { Active, Draining, Drained };

struct VmRecord {
  VmId Id;
  RegionId Region;
  FailureDomainId FailureDomain;
  RackId Rack;
  Resources Capacity;
  VmState State = VmState::Active;
  SourceLocation Location;
};

/// A latency-critical service: the number of its workers, and the slots,
/// connections and resources of each.
struct ServiceRecord {
  ServiceId Id;
  TeamId Team;
  std::uint32_t Workers = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  Resources Need;
  SourceLocation Location;
};

/// A batch job that operators submit repeatedly.
struct JobRecord {
  JobId Id;
  TeamId Team;
  std::uint32_t Tasks = 0;
  Resources Need;
  std::chrono::seconds MaxRuntime{0};
  std::string Command;
  SourceLocation Location;
};

struct TeamRule {
  TeamId Id;
  Resources Quota;
  std::uint32_t Weight = 1;
  SourceLocation Location;
};

/// Guaranteed share of a request class; see section 9 of docs/design.md.
struct ClassRule {
  std::string Name;
  std::uint32_t SharePercent = 0;
  SourceLocation Location;
};

/// Restricts the VMs on which a service or job may run.
struct PlacementRule {
  /// The id of a service or job.
  std::string Subject;
  /// Allowed failure domains; empty allows all of them.
  std::vector<FailureDomainId> FailureDomains;
  /// Most workers on one rack; 0 means no limit.
  std::uint32_t MaxPerRack = 0;
  SourceLocation Location;
};

/// The parsed content of a configuration.
struct Inventory {
  std::string Deployment;
  std::vector<VmRecord> Vms;
  std::vector<ServiceRecord> Services;
  std::vector<JobRecord> Jobs;
  std::vector<TeamRule> Teams;
  std::vector<ClassRule> Classes;
  std::vector<PlacementRule> Placements;
};

/// Returns the errors that make \p Next impossible to satisfy: rules that no VM
/// satisfies, quotas above the capacity of the fleet, references to unknown
/// names, and VMs that are missing in \p Next but not drained in \p Previous.
/// \p Previous may be null.
std::vector<SettingsError> validate(const Inventory &Next,
                                    const Inventory *Previous);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_INVENTORY_H
