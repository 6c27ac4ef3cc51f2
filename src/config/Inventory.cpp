#include "daisyspool/config/Inventory.h"

#include <algorithm>
#include <map>
#include <set>

namespace daisyspool {

namespace {

std::string show(const Resources &Size) {
  return std::to_string(Size.Cpu.value()) + " millicores, " +
         std::to_string(Size.Memory.value()) + " MiB, " +
         std::to_string(Size.Accelerator.value()) + " accelerators";
}

/// Runs the checks and collects what they find.
class Validator {
public:
  Validator(const Inventory &Next, const Inventory *Previous)
      : Next(Next), Previous(Previous) {}

  std::vector<SettingsError> run() {
    checkPlaces();
    checkRemovals();
    checkShares();
    checkQuotas();
    checkPlacementSubjects();
    for (const ServiceRecord &Service : Next.Services)
      checkService(Service);
    for (const JobRecord &Job : Next.Jobs)
      checkJob(Job);
    return std::move(Mistakes);
  }

private:
  /// A draining VM may return, so its drain must not be refused for lack of
  /// room; a drained one is about to be removed.
  static bool stays(const VmRecord &Vm) { return Vm.State != VmState::Drained; }

  void mistake(const SourcePlace &Place, std::string Key, std::string Found,
               std::string Allowed) {
    Mistakes.emplace_back(Place.File, Place.Line, std::move(Key),
                          std::move(Found), std::move(Allowed));
  }

  void checkPlaces() {
    std::map<RackId, FailureDomainId> DomainOf;
    std::map<FailureDomainId, RegionId> RegionOf;
    for (const VmRecord &Vm : Next.Vms) {
      const auto Rack = DomainOf.emplace(Vm.Rack, Vm.FailureDomain).first;
      if (Rack->second != Vm.FailureDomain)
        mistake(Vm.Place, "failure_domain", Vm.FailureDomain.str(),
                Rack->second.str() + ", as for the rest of rack " +
                    Vm.Rack.str());
      const auto Domain = RegionOf.emplace(Vm.FailureDomain, Vm.Region).first;
      if (Domain->second != Vm.Region)
        mistake(Vm.Place, "region", Vm.Region.str(),
                Domain->second.str() + ", as for the rest of " +
                    Vm.FailureDomain.str());
    }
  }

  void checkRemovals() {
    if (!Previous)
      return;
    std::set<VmId> Kept;
    for (const VmRecord &Vm : Next.Vms)
      Kept.insert(Vm.Id);
    for (const VmRecord &Vm : Previous->Vms)
      if (!Kept.count(Vm.Id) && Vm.State != VmState::Drained)
        mistake(Vm.Place, "vm", Vm.Id.str() + " removed",
                "removal of a VM whose state is drained");
  }

  void checkShares() {
    std::uint32_t Sum = 0;
    for (const ClassRule &Class : Next.Classes) {
      Sum += Class.SharePercent;
      if (Sum > 100)
        mistake(Class.Place, "share_percent",
                std::to_string(Sum) + " over all classes", "at most 100");
    }
  }

  void checkQuotas() {
    Resources Fleet;
    for (const VmRecord &Vm : Next.Vms)
      if (stays(Vm))
        Fleet = Fleet + Vm.Capacity;
    Resources Sum;
    for (const TeamRule &Team : Next.Teams) {
      Sum = Sum + Team.Quota;
      if (!Sum.fitsIn(Fleet))
        mistake(Team.Place, "quota", show(Sum) + " with the teams before it",
                "at most the VMs that are not drained: " + show(Fleet));
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
        mistake(Rule.Place, "placement", Rule.Subject,
                "the name of a service or job");
      for (const FailureDomainId &Domain : Rule.FailureDomains)
        if (!Domains.count(Domain))
          mistake(Rule.Place, "failure_domains", Domain.str(),
                  "failure domains that have a VM");
    }
  }

  const PlacementRule *ruleFor(const std::string &Subject) const {
    for (const PlacementRule &Rule : Next.Placements)
      if (Rule.Subject == Subject)
        return &Rule;
    return nullptr;
  }

  /// Workers that fit at the same time, one to a VM.
  std::uint32_t places(const PlacementRule *Rule, const Resources &Need) const {
    std::map<RackId, std::uint32_t> PerRack;
    for (const VmRecord &Vm : Next.Vms) {
      const bool Inside =
          !Rule || Rule->FailureDomains.empty() ||
          std::find(Rule->FailureDomains.begin(), Rule->FailureDomains.end(),
                    Vm.FailureDomain) != Rule->FailureDomains.end();
      if (Inside && stays(Vm) && Need.fitsIn(Vm.Capacity))
        ++PerRack[Vm.Rack];
    }

    std::uint32_t Sum = 0;
    for (const auto &[Rack, Count] : PerRack)
      Sum += Rule && Rule->MaxPerRack != 0 ? std::min(Count, Rule->MaxPerRack)
                                           : Count;
    return Sum;
  }

  const TeamRule *teamOf(const TeamId &Id, const SourcePlace &Place) {
    for (const TeamRule &Team : Next.Teams)
      if (Team.Id == Id)
        return &Team;
    mistake(Place, "team", Id.str(), "a team that has a rule");
    return nullptr;
  }

  void checkService(const ServiceRecord &Service) {
    teamOf(Service.Team, Service.Place);
    const PlacementRule *Rule = ruleFor(Service.Id.str());
    const std::uint32_t Room = places(Rule, Service.Need);
    if (Room < Service.Workers)
      mistake(Rule ? Rule->Place : Service.Place, "workers",
              std::to_string(Service.Workers) + " for " + Service.Id.str(),
              "at most " + std::to_string(Room) +
                  ", the VMs that satisfy its size and placement");
  }

  void checkJob(const JobRecord &Job) {
    const TeamRule *Team = teamOf(Job.Team, Job.Place);
    const PlacementRule *Rule = ruleFor(Job.Id.str());
    if (places(Rule, Job.Need) == 0)
      mistake(Rule ? Rule->Place : Job.Place, "job",
              Job.Id.str() + " with " + show(Job.Need) + " a task",
              "a size and placement that a VM satisfies");
    if (Team && !Job.Need.fitsIn(Team->Quota))
      mistake(Job.Place, "team", show(Job.Need) + " a task",
              "at most the quota of " + Team->Id.str() + ": " +
                  show(Team->Quota));
  }

  const Inventory &Next;
  const Inventory *Previous;
  std::vector<SettingsError> Mistakes;
};

} // namespace

std::vector<SettingsError> validate(const Inventory &Next,
                                    const Inventory *Previous) {
  return Validator(Next, Previous).run();
}

} // namespace daisyspool
