#include "daisyspool/placement/Rules.h"

#include <algorithm>
#include <set>

namespace daisyspool::placement {

namespace {

template <typename T> bool contains(const std::vector<T> &In, T Wanted) {
  return std::find(In.begin(), In.end(), Wanted) != In.end();
}

bool within(std::uint32_t Limit, std::uint32_t Count) {
  return Limit == 0 || Count < Limit;
}

bool satisfiesAffinity(const Affinity &Near, const FleetView &Fleet,
                       const VmState &Host) {
  if (Near.Within == AffinityScope::Rack)
    return Fleet.groupIn(Near.With, Host.Rack) > 0;

  return Fleet.groupIn(Near.With, Host.Domain) > 0;
}

} // namespace

bool PlacementRules::allowsDomain(DomainIndex Domain) const {
  return (AllowedDomains.empty() || contains(AllowedDomains, Domain)) &&
         !contains(AvoidedDomains, Domain);
}

bool permits(const PlacementRules &Rules, const TaskSpec &Spec,
             const FleetView &Fleet, VmIndex Vm) {
  const VmState &Host = Fleet.vm(Vm);
  if (!Rules.allowsDomain(Host.Domain))
    return false;
  if (Rules.Near && !satisfiesAffinity(*Rules.Near, Fleet, Host))
    return false;
  if (Spec.Group.valid() &&
      !(within(Rules.MaxPerVm, Fleet.groupOn(Spec.Group, Vm)) &&
        within(Rules.MaxPerRack, Fleet.groupIn(Spec.Group, Host.Rack)) &&
        within(Rules.MaxPerDomain, Fleet.groupIn(Spec.Group, Host.Domain))))
    return false;
  if (Rules.AvoidedKinds.empty())
    return true;

  bool Clear = true;
  Fleet.eachTask(Vm, [&](TaskIndex, const TaskState &Neighbour) {
    Clear = Clear && !contains(Rules.AvoidedKinds, Neighbour.Kind);
  });
  return Clear;
}

Feasibility checkFeasible(const TaskSpec &Spec, const PlacementRules &Rules,
                          std::uint32_t Count, const FleetView &Fleet) {
  std::uint32_t Large = 0;
  std::uint32_t Allowed = 0;
  Resources Largest;
  std::set<DomainIndex> Domains;
  for (const FleetView::Shape &Each : Fleet.shapes()) {
    if (Each.Vms == 0)
      continue;
    if (Each.Capacity.Cpu > Largest.Cpu)
      Largest = Each.Capacity;
    if (!Spec.Declared.fitsIn(Each.Capacity))
      continue;
    Large += Each.Vms;
    if (!Rules.allowsDomain(Each.Domain))
      continue;
    Allowed += Each.Vms;
    Domains.insert(Each.Domain);
  }

  if (Large == 0)
    return NeverFits{Spec.Declared, Largest};
  if (Allowed == 0)
    return RulesUnsatisfiable{"failure domains", Large};
  // The first task of a group with affinity to itself can never be placed.
  if (Rules.Near && Rules.Near->With == Spec.Group)
    return RulesUnsatisfiable{"affinity with itself", Large};
  if (Rules.MaxPerVm != 0 && Rules.MaxPerVm * Allowed < Count)
    return RulesUnsatisfiable{"tasks per VM", Large};
  if (Rules.MaxPerDomain != 0 && Rules.MaxPerDomain * Domains.size() < Count)
    return RulesUnsatisfiable{"tasks per failure domain", Large};

  return Feasible{Allowed};
}

} // namespace daisyspool::placement
