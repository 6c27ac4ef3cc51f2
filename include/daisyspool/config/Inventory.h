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

/// Place of a record in the operator's files, for messages about it.
struct SourcePlace {
  std::string File;
  int Line = 0;
};

/// What operators declare about a VM. A VM may be removed from the inventory
/// only after it was Drained there.
enum class VmState : std::uint8_t { Active, Draining, Drained };

struct VmRecord {
  VmId Id;
  RegionId Region;
  FailureDomainId FailureDomain;
  RackId Rack;
  Resources Capacity;
  VmState State = VmState::Active;
  SourcePlace Place;
};

/// A latency-critical service and what each of its workers offers and needs.
struct ServiceRecord {
  ServiceId Id;
  TeamId Team;
  std::uint32_t Workers = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  Resources Need;
  SourcePlace Place;
};

/// A batch job that operators submit again and again.
struct JobRecord {
  JobId Id;
  TeamId Team;
  std::uint32_t Tasks = 0;
  Resources Need;
  std::chrono::seconds MaxRuntime{0};
  std::string Command;
  SourcePlace Place;
};

struct TeamRule {
  TeamId Id;
  Resources Quota;
  std::uint32_t Weight = 1;
  SourcePlace Place;
};

/// Guaranteed share of a class of work; see section 9 of docs/design.md.
struct ClassRule {
  std::string Name;
  std::uint32_t SharePercent = 0;
  SourcePlace Place;
};

/// Where a service or job may run.
struct PlacementRule {
  /// The id of a service or job.
  std::string Subject;
  /// Empty: every failure domain.
  std::vector<FailureDomainId> FailureDomains;
  /// Zero: no limit.
  std::uint32_t MaxPerRack = 0;
  SourcePlace Place;
};

/// The checked content of a configuration.
struct Inventory {
  std::string Deployment;
  std::vector<VmRecord> Vms;
  std::vector<ServiceRecord> Services;
  std::vector<JobRecord> Jobs;
  std::vector<TeamRule> Teams;
  std::vector<ClassRule> Classes;
  std::vector<PlacementRule> Placements;
};

/// Mistakes that make \p Next impossible to hold: rules that no VM satisfies,
/// quotas over the fleet, references to nothing, and VMs that \p Previous has
/// as not drained and \p Next has no more. \p Previous may be null.
std::vector<SettingsError> validate(const Inventory &Next,
                                    const Inventory *Previous);

} // namespace daisyspool

#endif // DAISYSPOOL_CONFIG_INVENTORY_H
