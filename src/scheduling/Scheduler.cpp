#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace daisyspool::scheduling {

namespace {

/// 0 if the job can still complete on time, 1 if late but useful, else 2. A
/// result is worth something to the caller up to three times the target time.
int latenessClass(const JobProgress &Job, TimePoint Now) {
  constexpr int UsefulFactor = 3;
  TimePoint Finish = Now + Job.RemainingCriticalPath;
  if (Finish <= Job.TargetCompletion)
    return 0;

  return Finish <= Job.Arrival +
                       UsefulFactor * (Job.TargetCompletion - Job.Arrival)
             ? 1
             : 2;
}

/// Limits of one scheduling pass, which holds the leader's event loop: an entry
/// of 0.07 of a core must still renew its status every half second. A pass of
/// 1,000 placements took 1 ms of processor time on a machine with x86-64.
constexpr std::size_t MaxPlacements = 1000;
constexpr std::uint64_t MaxDueTasks = 1000;

/// The number of occurrences in which a task of the step may find no VM before
/// the others are left to the next pass.
std::uint32_t maxFailedOccurrences(const workload::StepDefinition &Step) {
  // These limits count the siblings of one occurrence only.
  bool HasOwnLimits = Step.MaxPerVm != 0 || Step.LongRunning;
  return HasOwnLimits ? 8 : 1;
}

bool hasLongRunningStep(const JobProgress &Job) {
  const auto &Steps = Job.Record.Definition.Steps;
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const auto &Step) { return Step.LongRunning; });
}

} // namespace

void Scheduler::addJob(const workload::JobRecord &Record, Millis Age,
                       TimePoint Now) {
  auto [Entry, Inserted] = Jobs.try_emplace(Record.Id);
  if (!Inserted)
    return;

  JobProgress &Job = Entry->second;
  Job.Record = Record;
  if (const auto *Route = Fleet.queue(Record.Policy.Name))
    Job.Record.Policy = Route->Policy;
  if (std::uint32_t Limit = tasksPerRow(Config.RowBytes);
      taskCount(Job) > Limit)
    Job.TasksPerRow = Limit;
  if (Record.Definition.Repeats.Times == 0)
    addOccurrence(Job);
  else
    updateDerivedFields(Job);
  Job.Arrival = Now - std::max(Age, Millis(0));
  Job.IdleSince = Now;
  auto CriticalPath = Job.RemainingCriticalPath.count();
  Job.TargetCompletion =
      Job.Arrival + Record.Policy.LatencyTarget +
      Millis(static_cast<std::int64_t>(static_cast<double>(CriticalPath) *
                                       Record.Policy.SlackFactor));
  UnfinishedJobs.emplace(Record.Id, &Job);
  LogEvent(LogLevel::Info, "job_known")
      .with("job", Record.Id)
      .with("queue", Record.Policy.Name)
      .with("age_ms", Age.count())
      .with("steps", static_cast<std::int64_t>(Record.Definition.Steps.size()));
}

bool Scheduler::cancel(const JobId &Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return false;

  if (!isFinal(Found->second.Status))
    endJob(Found->second, JobStatus::Cancelled);
  return true;
}

void Scheduler::configure(const workload::FleetConfig &Next) {
  Fleet = Next;
  for (auto &[Id, Job] : Jobs)
    if (const auto *Route = Fleet.queue(Job.Record.Policy.Name))
      Job.Record.Policy = Route->Policy;
}

void Scheduler::addVm(const VmId &Vm, TimePoint Now) {
  auto [Entry, Inserted] = Vms.try_emplace(Vm);
  if (!Inserted)
    return;

  Entry->second.Id = Vm;
  Entry->second.LatestGrantExpiry = Now;
  VmList.push_back(&Entry->second);
}

void Scheduler::assumeGrants(TimePoint Until) {
  for (auto &[Id, Vm] : Vms)
    Vm.LatestGrantExpiry = std::max(Vm.LatestGrantExpiry, Until);
}

void Scheduler::endJob(JobProgress &Job, JobStatus Status) {
  Job.Status = Status;
  UnfinishedJobs.erase(Job.Record.Id);
  markDirty(Job);
  LogEvent(LogLevel::Info, "job_ended")
      .with("job", Job.Record.Id)
      .with("status", static_cast<std::int64_t>(Status));
  for (const TaskName &Name : assignedTasks(Job))
    stopRun(Vms.at(Job.findTask(Name)->Vm), Name, "job_ended");
}

void Scheduler::stopRun(VmState &Vm, const TaskName &Name, const char *Cause) {
  auto Found = Vm.Assigned.find(Name);
  if (Found == Vm.Assigned.end() || Found->second.Stopping)
    return;

  LogEvent(LogLevel::Info, "run_stop")
      .with("task", workload::toString(Name))
      .with("run", Found->second.Run)
      .with("vm", Vm.Id)
      .with("cause", Cause);
  if (Found->second.NewestOrderSync == 0) {
    requeueTask(Vm, Name, {}, Cause);
    return;
  }
  Vm.markStopping(Found->second);
}

void Scheduler::recordStart(Assignment &Run, JobProgress &Job) {
  Run.Started = true;
  Job.Started = StartEvidence::Seen;
}

void Scheduler::onRunOver(JobProgress &Job, bool Started) {
  --Job.AssignedTasks;
  if (Started) {
    Job.IdleSince = LastSchedule;
    return;
  }
  if (Job.AssignedTasks > 0 || Job.Started == StartEvidence::Seen)
    return;
  Job.Started = StartEvidence::None;
  if (Job.Status == JobStatus::Active)
    Job.Status = JobStatus::Queued;
}

void Scheduler::requeueTask(VmState &Vm, const TaskName &Name,
                            TimePoint NotBefore, const char *Cause) {
  auto Run = Vm.Assigned.find(Name);
  bool Started = Run != Vm.Assigned.end() && Run->second.Started;
  Vm.release(Name);
  auto Found = Jobs.find(Name.Job);
  if (Found == Jobs.end())
    return;

  JobProgress &Job = Found->second;
  TaskProgress *Task = Job.findTask(Name);
  if (!Task || Task->Phase != TaskPhase::Assigned)
    return;
  Task->Phase = TaskPhase::Waiting;
  Task->NotBefore = NotBefore;
  if (Started)
    Task->WaitingSince = LastSchedule;
  ++Job.ReadyTasks;
  onRunOver(Job, Started);
  markDirty(Job, Name);
  LogEvent(LogLevel::Info, "run_over")
      .with("task", workload::toString(Name))
      .with("run", Task->LastRun)
      .with("vm", Vm.Id)
      .with("started", Started ? "yes" : "no")
      .with("cause", Cause);
}

const ServiceId &Scheduler::serviceOf(const JobProgress &Job) const {
  return Job.Record.Policy.Service;
}

bool Scheduler::isStarved(const JobProgress &Job, TimePoint Now) const {
  Millis Limit =
      FleetUnderHalfHeld ? Config.StarvedAfter : Config.StarvedAfterInBusyFleet;
  return Job.AssignedTasks == 0 && Now - Job.IdleSince > Limit;
}

bool Scheduler::isFleetUnderHalfHeld() const {
  std::int64_t Held = 0;
  std::int64_t Capacity = 0;
  for (const VmState *Vm : VmList)
    if (Vm->Worker) {
      Held += Vm->Held.Cpu.value();
      Capacity += Vm->Worker->Capacity.Cpu.value();
    }
  return 2 * Held < Capacity;
}

void Scheduler::expireGrants(TimePoint Now) {
  for (VmState *Vm : VmList) {
    if (Now <= Vm->LatestGrantExpiry || Vm->Assigned.empty())
      continue;
    LogEvent(LogLevel::Warning, "vm_lost")
        .with("vm", Vm->Id)
        .with("silent_ms",
              std::chrono::duration_cast<Millis>(Now - Vm->LastReply).count())
        .with("runs", static_cast<std::int64_t>(Vm->Assigned.size()));
    while (!Vm->Assigned.empty())
      requeueTask(*Vm, TaskName(Vm->Assigned.begin()->first), {},
                  "grant_expired");
  }
}

void Scheduler::stopRunsOfDrainingWorker(VmState &Vm) {
  if (!Vm.Worker || !Vm.Worker->Draining)
    return;

  std::vector<TaskName> ToStop;
  for (const auto &[Name, Run] : Vm.Assigned)
    if (Run.LongRunning || Run.Checkpoints)
      ToStop.push_back(Name);
  for (const TaskName &Name : ToStop)
    stopRun(Vm, Name, "draining");
}

bool Scheduler::addDueOccurrences(JobProgress &Job, WallMillis Wall,
                                  std::uint64_t &TasksLeft) {
  const workload::Repetition &Repeats = Job.Record.Definition.Repeats;
  while (Job.Occurrences.size() < Repeats.Times) {
    auto Count = static_cast<std::int64_t>(Job.Occurrences.size());
    if (Wall < Repeats.First + Count * Repeats.Interval)
      return true;
    if (TasksLeft == 0)
      return false;
    addOccurrence(Job);
    markDirty(Job, {Job.Record.Id, static_cast<std::uint32_t>(Count), 0, 0});
    TasksLeft -= std::min<std::uint64_t>(TasksLeft, tasksPerOccurrence(Job));
  }

  return true;
}

/// Load pattern: a job with tens of thousands of occurrences that are due at
/// once. Each pass adds a limited number, in turn with those of other jobs.
void Scheduler::addDueOccurrences(WallMillis Wall) {
  std::uint64_t TasksLeft = MaxDueTasks;
  auto Next = UnfinishedJobs.upper_bound(DeferredOccurrencesOf);
  for (std::size_t I = 0; I < UnfinishedJobs.size(); ++I, ++Next) {
    if (Next == UnfinishedJobs.end())
      Next = UnfinishedJobs.begin();
    if (addDueOccurrences(*Next->second, Wall, TasksLeft))
      continue;
    WorkDeferred = true;
    DeferredOccurrencesOf = Next->first;
    return;
  }
}

std::vector<JobProgress *> Scheduler::scheduleOrder(TimePoint Now) {
  // Load pattern: services lose tasks while short tasks of their class queue
  // up. Users cannot reach a service until it runs again, so it goes first.
  //
  // Load pattern: a burst of batch far beyond the fleet. In order of deadlines
  // all jobs would be late; with the least remaining work first, most are on
  // time.
  using Key = std::tuple<int, bool, int, std::int64_t>;
  std::vector<std::pair<Key, JobProgress *>> Ordered;
  for (auto &[Id, Job] : UnfinishedJobs)
    if (Job->ReadyTasks > 0)
      Ordered.emplace_back(Key{Job->Record.Policy.Priority,
                               !hasLongRunningStep(*Job),
                               latenessClass(*Job, Now), Job->RemainingWork},
                           Job);
  // Ties keep the order of ids, so that a recorded day can be replayed.
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<JobProgress *> Result;
  Result.reserve(Ordered.size());
  for (auto &Each : Ordered)
    Result.push_back(Each.second);

  return Result;
}

void Scheduler::schedule(TimePoint Now, WallMillis Wall) {
  LastSchedule = Now;
  FleetUnderHalfHeld = isFleetUnderHalfHeld();
  expireGrants(Now);
  for (VmState *Vm : VmList)
    stopRunsOfDrainingWorker(*Vm);
  WorkDeferred = false;
  PlacementsLeft = MaxPlacements;
  addDueOccurrences(Wall);
  PreemptionClaims.clear();
  BlockedBestEffortCpu.clear();
  for (VmState *Vm : VmList)
    Vm->Reserved = {};
  for (JobProgress *Job : scheduleOrder(Now))
    placeJob(*Job, Now);
}

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
    if (isBlocked(Request))
      return false;
    VmState *Vm = chooseVm(VmList, Request, Now);
    // Load pattern: a full fleet, or failing jobs that put all VMs on
    // probation. A service on a doubtful VM is better than none.
    if (!Vm && Request.Step->LongRunning &&
        Now - std::max(Task.WaitingSince, Job.Arrival) > Config.StarvedAfter) {
      Request.LastResort = true;
      Vm = chooseVm(VmList, Request, Now);
    }
    if (!Vm) {
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
  if (Job.Record.Policy.Priority != 0)
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

std::map<workload::QueueId, std::uint32_t> Scheduler::pending() const {
  std::map<workload::QueueId, std::uint32_t> Result;
  for (const auto &[Id, Job] : UnfinishedJobs)
    if (Job->Started == StartEvidence::None)
      ++Result[Job->Record.Policy.Name];

  return Result;
}

const JobProgress *Scheduler::job(const JobId &Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const VmState *Scheduler::vm(const VmId &Id) const {
  auto Found = Vms.find(Id);
  return Found == Vms.end() ? nullptr : &Found->second;
}

} // namespace daisyspool::scheduling
