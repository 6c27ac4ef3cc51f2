// The part of Scheduler that takes starts in evacuated failure domains back.
#include "daisyspool/scheduling/Scheduler.h"

#include <algorithm>
#include <utility>

namespace daisyspool::scheduling {

void Scheduler::evacuate(const EvacuatedDomains &Domains) {
  Evacuated = Domains;
  for (VmState *Vm : VmList)
    Vm->Evacuated = isEvacuated(*Vm, Evacuated);
  withdrawLateStarts();
}

std::size_t Scheduler::evacuatedVmCount() const {
  return static_cast<std::size_t>(
      std::count_if(VmList.begin(), VmList.end(), [](const VmState *Vm) {
        return Vm->Evacuated && Vm->FailureDomain;
      }));
}

void Scheduler::withdrawLateStarts() {
  for (VmState *Vm : VmList) {
    if (!Vm->Evacuated)
      continue;
    std::vector<TaskName> Late;
    for (const auto &[Name, Run] : Vm->Assigned)
      if (isLateStart(*Vm, Run))
        Late.push_back(Name);
    for (const TaskName &Name : Late)
      withdrawStart(*Vm, Name);
  }
}

void Scheduler::withdrawStart(VmState &Vm, const TaskName &Name) {
  ++WithdrawnStarts;
  stopRun(Vm, Name, "evacuated");
  auto Found = Jobs.find(Name.Job);
  if (Found == Jobs.end() || !Found->second.stepDefinition(Name).Gang)
    return;
  // The other members of a gang cannot work without this one.
  const JobProgress &Job = Found->second;
  std::vector<std::pair<TaskName, VmId>> Others;
  const auto &Tasks = Job.Occurrences[Name.Occurrence].Steps[Name.Step].Tasks;
  for (std::uint32_t N = 0; N < Tasks.size(); ++N)
    if (Tasks[N].Phase == TaskPhase::Assigned)
      Others.push_back(
          {{Name.Job, Name.Occurrence, Name.Step, N}, Tasks[N].Vm});
  for (const auto &[Member, MemberVm] : Others)
    stopRun(Vms.at(MemberVm), Member, "evacuated");
}

std::size_t Scheduler::takeWithdrawnStarts() {
  return std::exchange(WithdrawnStarts, 0);
}

} // namespace daisyspool::scheduling
