// The part of Scheduler that assigns the tasks of a job to VMs.
#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace daisyspool::scheduling {

namespace {

/// The number of occurrences in which a task of the step may find no VM before
/// the others are left to the next pass.
std::uint32_t maxFailedOccurrences(const workload::StepDefinition &Step) {
  // These limits count the siblings of one occurrence only.
  bool HasOwnLimits = Step.MaxPerVm != 0 || Step.LongRunning;
  return HasOwnLimits ? 8 : 1;
}

} // namespace

void Scheduler::placeJob(JobProgress &Job, TimePoint Now) {
  const auto &Definitions = Job.Record.Definition.Steps;
  auto &Occurrences = Job.Occurrences;
  while (Job.FirstOpenOccurrence < Occurrences.size() &&
         isComplete(Occurrences[Job.FirstOpenOccurrence]))
    ++Job.FirstOpenOccurrence;
  auto OpenCount =
      static_cast<std::uint32_t>(Occurrences.size()) - Job.FirstOpenOccurrence;
  std::uint32_t Begin = std::exchange(Job.NextOccurrence, 0);
  std::uint32_t Offset =
      Begin > Job.FirstOpenOccurrence ? Begin - Job.FirstOpenOccurrence : 0;
  // A step that finds no VM in one occurrence finds none in the others either.
  std::vector<std::uint32_t> Failures(Definitions.size(), 0);
  std::size_t BlockedSteps = 0;
  for (std::uint32_t N = 0; N < OpenCount && Job.ReadyTasks > 0; ++N) {
    std::uint32_t K = Job.FirstOpenOccurrence + (Offset + N) % OpenCount;
    for (std::uint32_t I = 0; I < Definitions.size(); ++I) {
      const StepProgress &Step = Occurrences[K].Steps[I];
      std::uint32_t MaxFailures = maxFailedOccurrences(Definitions[I]);
      if (Step.isComplete() || Failures[I] >= MaxFailures ||
          !isStepReady(Job, Occurrences[K], I))
        continue;
      if (PlacementsLeft == 0) {
        WorkDeferred = true;
        return;
      }
      bool HasRoom = Definitions[I].Gang ? placeGang(Job, K, I, Now)
                                         : placeStep(Job, K, I, Now);
      if (HasRoom || ++Failures[I] < MaxFailures)
        continue;
      if (MaxFailures > 1)
        Job.NextOccurrence = K + 1;
      if (++BlockedSteps == Definitions.size())
        return;
    }
  }
}

std::map<VmId, std::uint32_t>
Scheduler::siblingsByVm(const JobProgress &Job, std::uint32_t Occurrence,
                        std::uint32_t Step) const {
  std::map<VmId, std::uint32_t> Result;
  const auto &Definition = Job.Record.Definition.Steps[Step];
  if (Definition.MaxPerVm == 0 && !Definition.LongRunning)
    return Result;
  for (const TaskProgress &Task : Job.Occurrences[Occurrence].Steps[Step].Tasks)
    if (Task.Phase == TaskPhase::Assigned)
      ++Result[Task.Vm];

  return Result;
}

bool Scheduler::placeStep(JobProgress &Job, std::uint32_t Occurrence,
                          std::uint32_t Step, TimePoint Now) {
  StepProgress &Progress = Job.Occurrences[Occurrence].Steps[Step];
  auto &Tasks = Progress.Tasks;
  while (Progress.FirstOpen < Tasks.size() &&
         Tasks[Progress.FirstOpen].Phase == TaskPhase::Done)
    ++Progress.FirstOpen;
  auto SiblingsByVm = siblingsByVm(Job, Occurrence, Step);
  for (std::uint32_t N = Progress.FirstOpen; N < Tasks.size(); ++N) {
    TaskProgress &Task = Tasks[N];
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now)
      continue;
    if (PlacementsLeft == 0) {
      WorkDeferred = true;
      return true;
    }
    VmRequest Request{&Job.Record.Definition.Steps[Step],
                      serviceOf(Job),
                      &Task.AvoidedVms,
                      &SiblingsByVm,
                      &Tails,
                      isStarved(Job, Now)};
    if (isBlocked(Request)) {
      TaskWithoutVm = true;
      return false;
    }
    VmState *Vm = chooseVm(VmList, Request, Now);
    // Load pattern: a full fleet, or failing jobs that put all VMs on
    // probation. A service on a doubtful VM is better than none.
    if (!Vm && Request.Step->LongRunning &&
        Now - std::max(Task.WaitingSince, Job.Arrival) > Config.StarvedAfter) {
      Request.LastResort = true;
      Vm = chooseVm(VmList, Request, Now);
    }
    if (!Vm) {
      TaskWithoutVm = true;
      recordBlocked(Request);
      preemptFor(Job, Request, Now);
      if (VmState *Candidate = chooseReservation(VmList, Request, Now))
        Candidate->Reserved =
            Candidate->Reserved + heldResources(*Request.Step);
      return false;
    }
    ++SiblingsByVm[Vm->Id];
    assignTask(Job, {Job.Record.Id, Occurrence, Step, N}, Task.LastRun.next(),
               *Vm, Now);
    --PlacementsLeft;
  }

  return true;
}

bool Scheduler::placeGang(JobProgress &Job, std::uint32_t Occurrence,
                          std::uint32_t Step, TimePoint Now) {
  auto &Tasks = Job.Occurrences[Occurrence].Steps[Step].Tasks;
  RunNumber Run;
  for (const TaskProgress &Task : Tasks) {
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now)
      return true;
    Run = std::max(Run, Task.LastRun.next());
  }

  // All members or none: an incomplete gang holds resources but does no work.
  // The VMs hold the members' resources while the others are placed; the job
  // itself changes only if all have found a VM.
  auto SiblingsByVm = siblingsByVm(Job, Occurrence, Step);
  std::vector<std::pair<TaskName, VmState *>> Placed;
  for (std::uint32_t N = 0; N < Tasks.size(); ++N) {
    VmRequest Request{&Job.Record.Definition.Steps[Step],
                      serviceOf(Job),
                      &Tasks[N].AvoidedVms,
                      &SiblingsByVm,
                      &Tails,
                      isStarved(Job, Now)};
    VmState *Vm = chooseVm(VmList, Request, Now);
    if (!Vm)
      break;
    ++SiblingsByVm[Vm->Id];
    TaskName Name{Job.Record.Id, Occurrence, Step, N};
    Vm->assign(Name, newAssignment(Job, Name, Run, *Vm, Now));
    Placed.emplace_back(Name, Vm);
  }
  for (auto &[Name, Vm] : Placed)
    Vm->release(Name);
  if (Placed.size() < Tasks.size()) {
    TaskWithoutVm = true;
    Tasks.front().NotBefore = Now + Config.RetryDelay;
    return false;
  }
  for (auto &[Name, Vm] : Placed) {
    Tasks[Name.Index].Checkpoint = Tasks[0].Checkpoint;
    assignTask(Job, Name, Run, *Vm, Now);
  }
  PlacementsLeft -= std::min(PlacementsLeft, Placed.size());
  return true;
}

Assignment Scheduler::newAssignment(const JobProgress &Job,
                                    const TaskName &Name, RunNumber Run,
                                    const VmState &Vm, TimePoint Now) const {
  const auto &Step = Job.stepDefinition(Name);
  Assignment Result;
  Result.Run = Run;
  if (Vm.Worker)
    Result.Life = Vm.Worker->Life;
  Result.Held = heldResources(Step);
  Result.BestEffortCpu = Step.FillsIdleCpu ? Step.Needs.Cpu : MilliCores(0);
  Result.Priority = Job.Record.Policy.Priority;
  Result.Checkpoints = Step.Checkpoints;
  Result.LongRunning = Step.LongRunning;
  Result.Image = Step.Image;
  Result.TailTarget = Step.TailTarget;
  Result.AssignedAt = Now;
  return Result;
}

void Scheduler::assignTask(JobProgress &Job, const TaskName &Name,
                           RunNumber Run, VmState &Vm, TimePoint Now) {
  assert(Vm.Worker);
  TaskProgress &Task = *Job.findTask(Name);
  --Job.ReadyTasks;
  Task.Phase = TaskPhase::Assigned;
  Task.LastRun = Run;
  Task.Vm = Vm.Id;
  Task.Life = Vm.Worker->Life;
  countRun(Job, Name, newAssignment(Job, Name, Run, Vm, Now), Vm, Now);
  markDirty(Job, Name);
}

void Scheduler::countRun(JobProgress &Job, const TaskName &Name,
                         const Assignment &Run, VmState &Vm, TimePoint Now) {
  Vm.assign(Name, Run);
  ++Job.AssignedTasks;
  if (Job.Status == JobStatus::Queued)
    Job.Status = JobStatus::Active;
  LogEvent(LogLevel::Info, "run_assigned")
      .with("task", workload::toString(Name))
      .with("run", Run.Run)
      .with("vm", Vm.Id)
      .with("life", Run.Life)
      .with("report_age_ms",
            std::chrono::duration_cast<Millis>(Now - Vm.LastReply).count())
      .with("held_cpu", Vm.Held.Cpu.value())
      .with("wait_ms",
            std::chrono::duration_cast<Millis>(Now - Job.Arrival).count());
}

bool Scheduler::isBlocked(const VmRequest &Request) const {
  if (!Request.Step->FillsIdleCpu || Request.Starved)
    return false;
  auto Found =
      BlockedBestEffortCpu.find({Request.Service, Request.Step->Image});
  return Found != BlockedBestEffortCpu.end() &&
         Found->second <= Request.Step->Needs.Cpu;
}

void Scheduler::recordBlocked(const VmRequest &Request) {
  const auto &Step = *Request.Step;
  // A task with constraints of its own says nothing about others of the image.
  bool Unconstrained = Step.FillsIdleCpu && !Request.Starved &&
                       Request.AvoidedVms->empty() &&
                       Step.RequiredLabel.empty() && Step.MaxPerVm == 0;
  if (Unconstrained)
    BlockedBestEffortCpu.try_emplace({Request.Service, Step.Image},
                                     Step.Needs.Cpu);
}

void Scheduler::preemptFor(const JobProgress &Job, const VmRequest &Request,
                           TimePoint Now) {
  // Only the highest priority class preempts.
  if (Job.Record.Policy.Priority != 0 || Job.Yields)
    return;

  Preemption Chosen = choosePreemption(
      VmList, Request, Job.Record.Policy.Priority, PreemptionClaims, Now);
  if (!Chosen.Vm)
    return;
  PreemptionClaims[Chosen.Vm->Id] =
      PreemptionClaims[Chosen.Vm->Id] + heldResources(*Request.Step);
  for (const TaskName &Victim : Chosen.Victims)
    stopRun(*Chosen.Vm, Victim, "preempted");
}

} // namespace daisyspool::scheduling
