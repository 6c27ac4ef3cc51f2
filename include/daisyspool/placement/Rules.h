#ifndef DAISYSPOOL_PLACEMENT_RULES_H
#define DAISYSPOOL_PLACEMENT_RULES_H

#include "daisyspool/placement/FleetView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool::placement {

/// The topology level at which an affinity rule applies.
enum class AffinityScope : std::uint8_t { Rack, Domain };

struct Affinity {
  GroupIndex With;
  AffinityScope Within = AffinityScope::Domain;
};

/// The operators' rules for the tasks of one service or job. Limits count
/// tasks of the same group; zero means no limit.
struct PlacementRules {
  std::uint32_t MaxPerVm = 0;
  std::uint32_t MaxPerRack = 0;
  std::uint32_t MaxPerDomain = 0;
  /// Empty means every failure domain.
  std::vector<DomainIndex> AllowedDomains;
  std::vector<DomainIndex> AvoidedDomains;
  /// Kinds that must not run on the same VM.
  std::vector<KindIndex> AvoidedKinds;
  std::optional<Affinity> Near;

  bool allowsDomain(DomainIndex Domain) const;
};

/// Whether \p Rules let a task of \p Spec start on \p Vm now.
bool permits(const PlacementRules &Rules, const TaskSpec &Spec,
             const FleetView &Fleet, VmIndex Vm);

/// The task could run on an empty fleet.
struct Feasible {
  std::uint32_t FittingVms = 0;
};

/// The task is larger than the capacity of every VM.
struct NeverFits {
  Resources Asked;
  Resources LargestVm;
};

/// The rules exclude each other or every VM that is large enough.
struct RulesUnsatisfiable {
  std::string Rule;
  std::uint32_t VmsLargeEnough = 0;
};

using Feasibility = std::variant<Feasible, NeverFits, RulesUnsatisfiable>;

/// Whether \p Count tasks of \p Spec could ever run together under \p Rules.
/// VMs that are temporarily closed count, so that an outage does not end jobs.
/// O(number of VM shapes).
Feasibility checkFeasible(const TaskSpec &Spec, const PlacementRules &Rules,
                          std::uint32_t Count, const FleetView &Fleet);

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_RULES_H
