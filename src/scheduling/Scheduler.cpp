#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace daisyspool::scheduling {

namespace {

/// Whether a job can still be on time, late but useful, or neither. A job
/// earns its caller something up to three times its objective.
int lateness(const JobProgress &Job, TimePoint Now) {
  constexpr int UsefulFactor = 3;
  TimePoint Finish = Now + Job.ChainLeft;
  if (Finish <= Job.Objective)
    return 0;

  return Finish <= Job.Arrival + UsefulFactor * (Job.Objective - Job.Arrival)
             ? 1
             : 2;
}

bool isService(const JobProgress &Job) {
  const auto &Steps = Job.Record.Definition.Steps;
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const auto &Step) { return Step.LongRunning; });
}

} // namespace

void Scheduler::addJob(const workload::JobRecord &Record, Millis Age,
                       TimePoint Now) {
  auto [Where, New] = Jobs.try_emplace(Record.Id);
  if (!New)
    return;

  JobProgress &Job = Where->second;
  Job.Record = Record;
  if (const auto *Route = Fleet.queue(Record.Policy.Name))
    Job.Record.Policy = Route->Policy;
  if (Record.Definition.Repeats.Times == 0)
    addOccurrence(Job);
  else
    recount(Job);
  Job.Arrival = Now - std::max(Age, Millis(0));
  Job.IdleSince = Now;
  auto Chain = Job.ChainLeft.count();
  Job.Objective = Job.Arrival + Record.Policy.LatencyTarget +
                  Millis(static_cast<std::int64_t>(static_cast<double>(Chain) *
                                                   Record.Policy.SlackFactor));
  Open.emplace(Record.Id, &Job);
  LogEvent(LogLevel::Info, "job_known")
      .with("job", Record.Id)
      .with("queue", Record.Policy.Name)
      .with("age_ms", Age.count())
      .with("steps", static_cast<std::int64_t>(Record.Definition.Steps.size()));
}

void Scheduler::restore(const JobId &Id, std::string_view Progress,
                        TimePoint Now) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    throw ProtocolError("stored progress of an unknown job " + Id.str());

  JobProgress &Job = Found->second;
  // A cancellation that is read before the progress counts all the same.
  bool Cancelled = Job.Status == JobStatus::Cancelled;
  decodeProgress(Job, Progress);
  if (Cancelled && !isFinal(Job.Status)) {
    Job.Status = JobStatus::Cancelled;
    markDirty(Job);
  }
  for (const TaskName &Name : assignedTasks(Job)) {
    const TaskProgress &Task = *Job.find(Name);
    addVm(Task.Vm, Now);
    VmState &Vm = Vms.at(Task.Vm);
    assign(Job, Name, Task.LastRun, Vm, Now);
    Assignment &Run = Vm.Assigned.at(Name);
    Run.Life = Task.Life;
    Run.Commit = RestoredCommit;
    // The first answer of the agent tells whether it has the order.
    Run.SentIn = 1;
    Run.NewestOrder = 1;
    Run.Stopping = isFinal(Job.Status);
  }
  if (isFinal(Job.Status))
    Open.erase(Id);
}

bool Scheduler::cancel(const JobId &Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return false;

  if (!isFinal(Found->second.Status))
    end(Found->second, JobStatus::Cancelled);
  return true;
}

void Scheduler::configure(const workload::FleetConfig &Next) {
  Fleet = Next;
  for (auto &[Id, Job] : Jobs)
    if (const auto *Route = Fleet.queue(Job.Record.Policy.Name))
      Job.Record.Policy = Route->Policy;
}

void Scheduler::addVm(const VmId &Vm, TimePoint Now) {
  auto [Where, New] = Vms.try_emplace(Vm);
  if (!New)
    return;

  Where->second.Id = Vm;
  Where->second.GrantBound = Now;
  VmList.push_back(&Where->second);
}

void Scheduler::assumeGrants(TimePoint Until) {
  for (auto &[Id, Vm] : Vms)
    Vm.GrantBound = std::max(Vm.GrantBound, Until);
}

void Scheduler::markDirty(JobProgress &Job) {
  if (Job.Dirty)
    return;

  Job.Dirty = true;
  DirtyJobs.push_back(Job.Record.Id);
}

void Scheduler::end(JobProgress &Job, JobStatus Status) {
  Job.Status = Status;
  Open.erase(Job.Record.Id);
  markDirty(Job);
  LogEvent(LogLevel::Info, "job_ended")
      .with("job", Job.Record.Id)
      .with("status", static_cast<std::int64_t>(Status));
  for (const TaskName &Name : assignedTasks(Job))
    stop(Vms.at(Job.find(Name)->Vm), Name, "job_ended");
}

void Scheduler::stop(VmState &Vm, const TaskName &Name, const char *Cause) {
  auto Found = Vm.Assigned.find(Name);
  if (Found == Vm.Assigned.end() || Found->second.Stopping)
    return;

  LogEvent(LogLevel::Info, "run_stop")
      .with("task", workload::toString(Name))
      .with("run", Found->second.Run)
      .with("vm", Vm.Id)
      .with("cause", Cause);
  if (Found->second.NewestOrder == 0) {
    requeue(Vm, Name, {}, Cause);
    return;
  }
  Found->second.Stopping = true;
}

void Scheduler::noteIdle(JobProgress &Job) {
  --Job.AssignedTasks;
  if (Job.AssignedTasks == 0)
    Job.IdleSince = LastSchedule;
}

void Scheduler::requeue(VmState &Vm, const TaskName &Name, TimePoint NotBefore,
                        const char *Cause) {
  Vm.release(Name);
  auto Found = Jobs.find(Name.Job);
  if (Found == Jobs.end())
    return;

  JobProgress &Job = Found->second;
  TaskProgress *Task = Job.find(Name);
  if (!Task || Task->Phase != TaskPhase::Assigned)
    return;
  Task->Phase = TaskPhase::Waiting;
  Task->NotBefore = NotBefore;
  ++Job.ReadyTasks;
  noteIdle(Job);
  markDirty(Job);
  LogEvent(LogLevel::Info, "run_over")
      .with("task", workload::toString(Name))
      .with("run", Task->LastRun)
      .with("vm", Vm.Id)
      .with("cause", Cause);
}

const ServiceId &Scheduler::serviceOf(const JobProgress &Job) const {
  return Job.Record.Policy.Service;
}

bool Scheduler::isStarved(const JobProgress &Job, TimePoint Now) const {
  Millis Bound = FleetIdle ? Config.StarvedAfter : Config.StarvedInBusyFleet;
  return Job.AssignedTasks == 0 && Now - Job.IdleSince > Bound;
}

bool Scheduler::underHalfHeld() const {
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
    if (Now <= Vm->GrantBound || Vm->Assigned.empty())
      continue;
    LogEvent(LogLevel::Warning, "vm_lost")
        .with("vm", Vm->Id)
        .with("silent_ms",
              std::chrono::duration_cast<Millis>(Now - Vm->LastReply).count())
        .with("runs", static_cast<std::int64_t>(Vm->Assigned.size()));
    while (!Vm->Assigned.empty())
      requeue(*Vm, TaskName(Vm->Assigned.begin()->first), {}, "grant_expired");
  }
}

void Scheduler::evacuate(VmState &Vm) {
  if (!Vm.Worker || !Vm.Worker->Draining)
    return;

  std::vector<TaskName> Leaving;
  for (const auto &[Name, Run] : Vm.Assigned)
    if (Run.LongRunning || Run.Checkpoints)
      Leaving.push_back(Name);
  for (const TaskName &Name : Leaving)
    stop(Vm, Name, "draining");
}

void Scheduler::addDueOccurrences(JobProgress &Job, WallMillis Wall) {
  const workload::Repetition &Repeats = Job.Record.Definition.Repeats;
  while (Job.Occurrences.size() < Repeats.Times) {
    auto Count = static_cast<std::int64_t>(Job.Occurrences.size());
    if (Wall < Repeats.First + Count * Repeats.Interval)
      return;
    addOccurrence(Job);
    markDirty(Job);
  }
}

std::vector<JobProgress *> Scheduler::scheduleOrder(TimePoint Now) {
  // Load pattern: services lose tasks while short tasks of their class queue
  // up. A service's users are without it until it runs, so it goes first.
  //
  // Load pattern: a burst of batch far beyond the fleet. By deadline all jobs
  // would end late together; the least remaining work first ends most in time.
  using Key = std::tuple<int, bool, int, std::int64_t>;
  std::vector<std::pair<Key, JobProgress *>> Ordered;
  for (auto &[Id, Job] : Open)
    if (Job->ReadyTasks > 0)
      Ordered.emplace_back(Key{Job->Record.Policy.Priority, !isService(*Job),
                               lateness(*Job, Now), Job->WorkLeft},
                           Job);
  // Ties stay in the order of ids, so that a day can be played again.
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
  FleetIdle = underHalfHeld();
  expireGrants(Now);
  for (VmState *Vm : VmList)
    evacuate(*Vm);
  for (auto &[Id, Job] : Open)
    addDueOccurrences(*Job, Wall);
  Claimed.clear();
  BlockedFilling.clear();
  for (VmState *Vm : VmList)
    Vm->Reserved = {};
  for (JobProgress *Job : scheduleOrder(Now))
    placeJob(*Job, Now);
}

void Scheduler::placeJob(JobProgress &Job, TimePoint Now) {
  for (std::uint32_t K = 0; K < Job.Occurrences.size(); ++K)
    for (std::uint32_t I = 0; I < Job.Occurrences[K].Steps.size(); ++I) {
      const StepProgress &Step = Job.Occurrences[K].Steps[I];
      if (Step.complete() || !isReady(Job, Job.Occurrences[K], I))
        continue;
      if (Job.Record.Definition.Steps[I].Gang)
        placeGang(Job, K, I, Now);
      else
        placeStep(Job, K, I, Now);
    }
}

std::map<VmId, std::uint32_t> Scheduler::siblings(const JobProgress &Job,
                                                  std::uint32_t Occurrence,
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

void Scheduler::placeStep(JobProgress &Job, std::uint32_t Occurrence,
                          std::uint32_t Step, TimePoint Now) {
  auto &Tasks = Job.Occurrences[Occurrence].Steps[Step].Tasks;
  auto Siblings = siblings(Job, Occurrence, Step);
  for (std::uint32_t N = 0; N < Tasks.size(); ++N) {
    TaskProgress &Task = Tasks[N];
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now)
      continue;
    VmRequest Request{&Job.Record.Definition.Steps[Step],
                      serviceOf(Job),
                      &Task.Avoid,
                      &Siblings,
                      &Tails,
                      isStarved(Job, Now)};
    if (isBlocked(Request))
      return;
    VmState *Vm = chooseVm(VmList, Request, Now);
    if (!Vm) {
      noteBlocked(Request);
      preemptFor(Job, Request, Now);
      if (VmState *Kept = chooseReservation(VmList, Request, Now))
        Kept->Reserved = Kept->Reserved + heldBy(*Request.Step);
      return;
    }
    ++Siblings[Vm->Id];
    assign(Job, {Job.Record.Id, Occurrence, Step, N}, Task.LastRun.next(), *Vm,
           Now);
  }
}

void Scheduler::placeGang(JobProgress &Job, std::uint32_t Occurrence,
                          std::uint32_t Step, TimePoint Now) {
  auto &Tasks = Job.Occurrences[Occurrence].Steps[Step].Tasks;
  RunNumber Run;
  for (const TaskProgress &Task : Tasks) {
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now)
      return;
    Run = std::max(Run, Task.LastRun.next());
  }

  // All members or none: a part of a gang would hold room and do no work.
  auto Siblings = siblings(Job, Occurrence, Step);
  std::vector<std::pair<TaskName, VmState *>> Placed;
  for (std::uint32_t N = 0; N < Tasks.size(); ++N) {
    VmRequest Request{&Job.Record.Definition.Steps[Step],
                      serviceOf(Job),
                      &Tasks[N].Avoid,
                      &Siblings,
                      &Tails,
                      isStarved(Job, Now)};
    VmState *Vm = chooseVm(VmList, Request, Now);
    if (!Vm)
      break;
    ++Siblings[Vm->Id];
    TaskName Name{Job.Record.Id, Occurrence, Step, N};
    Tasks[N].Checkpoint = Tasks[0].Checkpoint;
    assign(Job, Name, Run, *Vm, Now);
    Placed.emplace_back(Name, Vm);
  }
  if (Placed.size() == Tasks.size())
    return;
  for (auto &[Name, Vm] : Placed)
    requeue(*Vm, Name, Now + Config.RetryPause, "gang_without_room");
}

void Scheduler::assign(JobProgress &Job, const TaskName &Name, RunNumber Run,
                       VmState &Vm, TimePoint Now) {
  const auto &Step = Job.definition(Name);
  TaskProgress &Task = *Job.find(Name);
  if (Task.Phase == TaskPhase::Waiting)
    --Job.ReadyTasks;
  Task.Phase = TaskPhase::Assigned;
  Task.LastRun = Run;
  Task.Vm = Vm.Id;
  if (Vm.Worker)
    Task.Life = Vm.Worker->Life;

  Assignment What;
  What.Run = Run;
  What.Life = Task.Life;
  What.Held = heldBy(Step);
  What.Filling = Step.FillsIdleCpu ? Step.Needs.Cpu : MilliCores(0);
  What.Priority = Job.Record.Policy.Priority;
  What.Checkpoints = Step.Checkpoints;
  What.LongRunning = Step.LongRunning;
  What.Image = Step.Image;
  What.TailTarget = Step.TailTarget;
  What.Since = Now;
  Vm.assign(Name, What);
  ++Job.AssignedTasks;
  if (Job.Status == JobStatus::Queued)
    Job.Status = JobStatus::Active;
  markDirty(Job);
  LogEvent(LogLevel::Info, "run_assigned")
      .with("task", workload::toString(Name))
      .with("run", Run)
      .with("vm", Vm.Id)
      .with("life", Task.Life)
      .with("report_age_ms",
            std::chrono::duration_cast<Millis>(Now - Vm.LastReply).count())
      .with("held_cpu", Vm.Held.Cpu.value())
      .with("wait_ms",
            std::chrono::duration_cast<Millis>(Now - Job.Arrival).count());
}

bool Scheduler::isBlocked(const VmRequest &Request) const {
  if (!Request.Step->FillsIdleCpu || Request.Starved)
    return false;
  auto Found = BlockedFilling.find({Request.Service, Request.Step->Image});
  return Found != BlockedFilling.end() &&
         Found->second <= Request.Step->Needs.Cpu;
}

void Scheduler::noteBlocked(const VmRequest &Request) {
  const auto &Step = *Request.Step;
  // Only what says something about other tasks of the image.
  bool Plain = Step.FillsIdleCpu && !Request.Starved &&
               Request.Avoid->empty() && Step.RequiredLabel.empty() &&
               Step.MaxPerVm == 0;
  if (Plain)
    BlockedFilling.try_emplace({Request.Service, Step.Image}, Step.Needs.Cpu);
}

void Scheduler::preemptFor(const JobProgress &Job, const VmRequest &Request,
                           TimePoint Now) {
  // Only the first class preempts.
  if (Job.Record.Policy.Priority != 0)
    return;

  Preemption Chosen = choosePreemption(
      VmList, Request, Job.Record.Policy.Priority, Claimed, Now);
  if (!Chosen.Vm)
    return;
  Claimed[Chosen.Vm->Id] = Claimed[Chosen.Vm->Id] + heldBy(*Request.Step);
  for (const TaskName &Victim : Chosen.Victims)
    stop(*Chosen.Vm, Victim, "preempted");
}

std::vector<Scheduler::Change> Scheduler::takeChanges(CommitNumber Number) {
  std::vector<Change> Result;
  std::size_t Count = std::min(DirtyJobs.size(), Config.MaxChanges);
  for (std::size_t I = 0; I < Count; ++I) {
    auto Found = Jobs.find(DirtyJobs[I]);
    if (Found == Jobs.end())
      continue;
    Found->second.Dirty = false;
    Result.push_back({Found->first, encodeProgress(Found->second)});
  }
  DirtyJobs.erase(DirtyJobs.begin(),
                  DirtyJobs.begin() + static_cast<std::ptrdiff_t>(Count));

  for (VmState *Vm : VmList) {
    for (auto &[Name, Run] : Vm->Assigned) {
      if (Run.Commit != CommitNumber{})
        continue;
      auto Found = Jobs.find(Name.Job);
      if (Found == Jobs.end() || !Found->second.Dirty)
        Run.Commit = Number;
    }
    // Ends are acknowledged only when every job that they touched is written.
    if (DirtyJobs.empty()) {
      Vm->EndsInCommit = Vm->EndsApplied;
      Vm->EndsCommit = Number;
    }
  }
  return Result;
}

void Scheduler::onCommitted(CommitNumber Number) {
  Durable = Number;
  for (VmState *Vm : VmList)
    if (Vm->EndsCommit != CommitNumber{} && Vm->EndsCommit <= Durable)
      Vm->EndsRecorded = std::max(Vm->EndsRecorded, Vm->EndsInCommit);
}

std::map<workload::QueueId, std::uint32_t> Scheduler::pending() const {
  std::map<workload::QueueId, std::uint32_t> Result;
  for (const auto &[Id, Job] : Open)
    if (Job->Status == JobStatus::Queued)
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
