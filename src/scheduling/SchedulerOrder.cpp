// The part of Scheduler that says which jobs wait and how much room there is.
#include "daisyspool/scheduling/Scheduler.h"

#include <algorithm>
#include <utility>

namespace daisyspool::scheduling {

namespace {

template <typename Predicate>
bool hasStep(const JobProgress &Job, Predicate Matches) {
  const auto &Steps = Job.Record.Definition.Steps;
  return std::any_of(Steps.begin(), Steps.end(), Matches);
}

} // namespace

void setTargets(JobProgress &Job) {
  const workload::QueuePolicy &Policy = Job.Record.Policy;
  auto CriticalPath = static_cast<double>(Job.RemainingCriticalPath.count());
  Job.TargetCompletion =
      Job.Arrival + Policy.LatencyTarget +
      Millis(static_cast<std::int64_t>(CriticalPath * Policy.SlackFactor));
  Job.InitialSlack = std::chrono::duration_cast<Millis>(
      Job.TargetCompletion - Job.Arrival - Job.RemainingCriticalPath);
  Job.InitialWork = Job.RemainingWork;
}

overload::JobDemand demandOf(const JobProgress &Job) {
  overload::JobDemand Result;
  Result.Id = &Job.Record.Id;
  Result.Policy = &Job.Record.Policy;
  Result.LongRunning =
      hasStep(Job, [](const auto &Step) { return Step.LongRunning; });
  Result.Repeats = Job.Record.Definition.Repeats.Times != 0;
  Result.FillsIdleCpu =
      hasStep(Job, [](const auto &Step) { return Step.FillsIdleCpu; });
  Result.Begun = Job.Started == StartEvidence::Seen;
  Result.Arrival = Job.Arrival;
  Result.TargetCompletion = Job.TargetCompletion;
  Result.InitialSlack = Job.InitialSlack;
  Result.IdleSince = Job.IdleSince;
  Result.RemainingPath = Job.RemainingCriticalPath;
  Result.RemainingWork = Job.RemainingWork;
  Result.ReadyTasks = Job.ReadyTasks;
  Result.AssignedTasks = Job.AssignedTasks;
  return Result;
}

std::optional<overload::Refusal>
refuseSubmission(const workload::JobRecord &Record,
                 const overload::RoomEstimate &Estimate, Millis Age) {
  if (Estimate.Waits.count(Record.Policy.Name) == 0)
    return std::nullopt;
  JobProgress Job;
  Job.Record = Record;
  addOccurrence(Job);
  setTargets(Job);
  return overload::refuse(demandOf(Job), Estimate, Age);
}

std::vector<overload::JobDemand> Scheduler::demands() const {
  std::vector<overload::JobDemand> Result;
  Result.reserve(UnfinishedJobs.size());
  for (const auto &[Id, Job] : UnfinishedJobs) {
    Result.push_back(demandOf(*Job));
    Result.back().Large =
        Order.isLarge(Job->Record.Policy.Name, Job->InitialWork);
  }
  return Result;
}

overload::Room Scheduler::room(TimePoint Now) const {
  const workload::StepDefinition AnyStep;
  const std::set<VmId> NoVms;
  const std::map<VmId, std::uint32_t> NoSiblings;
  overload::Room Result;
  for (const VmState *Vm : VmList) {
    if (!Vm->Worker)
      continue;
    VmRequest Request{&AnyStep, Vm->Worker->Service, &NoVms, &NoSiblings};
    if (!isFeasible(*Vm, Request, Vm->Worker->Capacity, Now))
      continue;
    MilliCores Kept;
    for (const auto &[Task, Run] : Vm->Assigned)
      if (Run.LongRunning)
        Kept += Run.Held.Cpu;
    overload::ServiceRoom &Service = Result[Vm->Worker->Service];
    Service.ToReserve += Vm->Worker->Capacity.Cpu - Kept;
    Service.ToFill +=
        Vm->Worker->Capacity.Cpu -
        MilliCores(Vm->ServingHeldCpu.value() * ServingCpuUsePercent / 100);
  }
  return Result;
}

overload::RoomEstimate Scheduler::roomEstimate(TimePoint Now) const {
  if (!Order.isScarce())
    return {};
  return overload::estimateWaits(demands(), room(Now), Now);
}

std::vector<JobProgress *> Scheduler::scheduleOrder(TimePoint Now) {
  std::vector<overload::JobDemand> Demands = demands();
  Order.updateRegime(Demands, std::exchange(TaskWithoutVm, false), Now);
  std::vector<JobProgress *> Result;
  for (const overload::Turn &Each : Order.decide(Demands, Now)) {
    JobProgress &Job = Jobs.at(*Demands[Each.Job].Id);
    Job.Yields = Each.Later;
    Result.push_back(&Job);
  }
  return Result;
}

} // namespace daisyspool::scheduling
