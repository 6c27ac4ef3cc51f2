#include "daisyspool/config/Inventory.h"

#include <algorithm>
#include <map>
#include <set>

namespace daisyspool {

namespace {

std::string describe(const Resources &Size) {
  return std::to_string(Size.Cpu.value()) + " millicores, " +
         std::to_string(Size.Memory.value()) + " MiB, " +
         std::to_string(Size.Accelerator.value()) + " accelerators";
}

/// Runs the checks and collects the errors that they find.
class Validator {
public:
  Validator(const Inventory &Next, const Inventory *Previous)
      : Next(Next), Previous(Previous) {}

  std::vector<SettingsError> run() {
    checkTopology();
    checkRemovals();
    checkShares();
    checkQuotas();
    checkPlacementSubjects();
    for (const ServiceRecord &Service : Next.Services)
      checkService(Service);
    for (const JobRecord &Job : Next.Jobs)
      checkJob(Job);
    return std::move(Errors);
  }

private:
  /// Whether the capacity of \p Vm counts. A draining VM may become active
  /// again, and a drain must not be refused because every VM is needed. A
  /// drained VM is about to be removed.
  static bool countsAsCapacity(const VmRecord &Vm) {
    return Vm.State != VmState::Drained;
  }

  void addError(const SourceLocation &Location, std::string Key,
                std::string Found, std::string Allowed) {
    Errors.emplace_back(Location.File, Location.Line, std::move(Key),
                        std::move(Found), std::move(Allowed));
  }

  void checkTopology() {
    std::map<RackId, FailureDomainId> DomainOf;
    std::map<FailureDomainId, RegionId> RegionOf;
    for (const VmRecord &Vm : Next.Vms) {
      const auto Rack = DomainOf.emplace(Vm.Rack, Vm.FailureDomain).first;
      if (Rack->second != Vm.FailureDomain)
        addError(Vm.Location, "failure_domain", Vm.FailureDomain.str(),
                 Rack->second.str() + ", as for the rest of rack " +
                     Vm.Rack.str());
      const auto Domain = RegionOf.emplace(Vm.FailureDomain, Vm.Region).first;
      if (Domain->second != Vm.Region)
        addError(Vm.Location, "region", Vm.Region.str(),
                 Domain->second.str() + ", as for the rest of " +
                     Vm.FailureDomain.str());
    }
  }

  void checkRemovals() {
    if (!Previous)
      return;
    std::set<VmId> Remaining;
    for (const VmRecord &Vm : Next.Vms)
      Remaining.insert(Vm.Id);
    for (const VmRecord &Vm : Previous->Vms)
      if (!Remaining.count(Vm.Id) && Vm.State != VmState::Drained)
        addError(Vm.Location, "vm", Vm.Id.str() + " removed",
                 "removal of a VM whose state is drained");
  }

  void checkShares() {
    std::uint32_t Sum = 0;
    for (const ClassRule &Class : Next.Classes) {
      Sum += Class.SharePercent;
      if (Sum > 100)
        addError(Class.Location, "share_percent",
                 std::to_string(Sum) + " over all classes", "at most 100");
    }
  }

  void checkQuotas() {
    Resources Fleet;
    for (const VmRecord &Vm : Next.Vms)
      if (countsAsCapacity(Vm))
        Fleet = Fleet + Vm.Capacity;
    Resources Sum;
    for (const TeamRule &Team : Next.Teams) {
      Sum = Sum + Team.Quota;
      if (!Sum.fitsIn(Fleet))
        addError(Team.Location, "quota",
                 describe(Sum) + " with the teams before it",
                 "at most the VMs that are not drained: " + describe(Fleet));
    }
  }

  void checkPlacementSubjects() {
    std::set<FailureDomainId> Domains;
    for (const VmRecord &Vm : Next.Vms)
      Domains.insert(Vm.FailureDomain);
    for (const PlacementRule &Rule : Next.Placements) {
      const auto IsSubject = [&](const auto &Record) {
        return Record.Id.str() == Rule.Subject;
      };
      if (std::none_of(Next.Services.begin(), Next.Services.end(), IsSubject) &&
          std::none_of(Next.Jobs.begin(), Next.Jobs.end(), IsSubject))
        addError(Rule.Location, "placement", Rule.Subject,
                 "the name of a service or job");
      for (const FailureDomainId &Domain : Rule.FailureDomains)
        if (!Domains.count(Domain))
          addError(Rule.Location, "failure_domains", Domain.str(),
                   "failure domains that have a VM");
    }
  }

  const PlacementRule *findRule(const std::string &Subject) const {
    for (const PlacementRule &Rule : Next.Placements)
      if (Rule.Subject == Subject)
        return &Rule;
    return nullptr;
  }

  /// Returns how many workers fit at the same time, at most one on each VM.
  std::uint32_t maxWorkers(const PlacementRule *Rule,
                           const Resources &Need) const {
    std::map<RackId, std::uint32_t> PerRack;
    for (const VmRecord &Vm : Next.Vms) {
      const bool IsAllowed =
          !Rule || Rule->FailureDomains.empty() ||
          std::find(Rule->FailureDomains.begin(), Rule->FailureDomains.end(),
                    Vm.FailureDomain) != Rule->FailureDomains.end();
      if (IsAllowed && countsAsCapacity(Vm) && Need.fitsIn(Vm.Capacity))
        ++PerRack[Vm.Rack];
    }

    std::uint32_t Sum = 0;
    for (const auto &[Rack, Count] : PerRack)
      Sum += Rule && Rule->MaxPerRack != 0 ? std::min(Count, Rule->MaxPerRack)
                                           : Count;
    return Sum;
  }

  /// Returns the rule of a team. Adds an error and returns null if there is
  /// none.
  const TeamRule *findTeam(const TeamId &Id, const SourceLocation &Location) {
    for (const TeamRule &Team : Next.Teams)
      if (Team.Id == Id)
        return &Team;
    addError(Location, "team", Id.str(), "a team that has a rule");
    return nullptr;
  }

  void checkService(const ServiceRecord &Service) {
    findTeam(Service.Team, Service.Location);
    const PlacementRule *Rule = findRule(Service.Id.str());
    const std::uint32_t MaxWorkers = maxWorkers(Rule, Service.Need);
    if (MaxWorkers < Service.Workers)
      addError(Rule ? Rule->Location : Service.Location, "workers",
               std::to_string(Service.Workers) + " for " + Service.Id.str(),
               "at most " + std::to_string(MaxWorkers) +
                   ", the VMs that satisfy its size and placement");
  }

  void checkJob(const JobRecord &Job) {
    const TeamRule *Team = findTeam(Job.Team, Job.Location);
    const PlacementRule *Rule = findRule(Job.Id.str());
    if (maxWorkers(Rule, Job.Need) == 0)
      addError(Rule ? Rule->Location : Job.Location, "job",
               Job.Id.str() + " with " + describe(Job.Need) + " a task",
               "a size and placement that a VM satisfies");
    if (Team && !Job.Need.fitsIn(Team->Quota))
      addError(Job.Location, "team", describe(Job.Need) + " a task",
               "at most the quota of " + Team->Id.str() + ": " +
                   describe(Team->Quota));
  }

  const Inventory &Next;
  const Inventory *Previous;
  std::vector<SettingsError> Errors;
};

} // namespace

std::vector<SettingsError> validate(const Inventory &Next,
                                    const Inventory *Previous) {
  return Validator(Next, Previous).run();
}

} // namespace daisyspool
