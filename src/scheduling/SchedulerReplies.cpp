// The part of Scheduler that handles the agents' replies and creates the next
// sync for each.
#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// A rack label consists of "r", digits and dashes; the other labels name the
/// worker's kind.
RackId rackOf(const runner::WorkerReport &Worker) {
  for (const std::string &Label : Worker.Labels)
    if (Label.size() > 1 && Label[0] == 'r' &&
        Label.find_first_not_of("0123456789-", 1) == std::string::npos)
      return RackId(Label);

  return {};
}

/// So many recorded ends are acknowledged at once; fewer wait for the next
/// sync. Load pattern: hundreds of short tasks on one worker, which has no room
/// to list newer ends.
constexpr std::uint64_t ManyEnds = 100;
/// Upper bound for the orders of one sync: a quarter of what an agent's server
/// takes, and a fraction of a second on a link of 20 Mbit/s.
constexpr std::size_t MaxOrderBytes = 1024 * 1024;
/// Of an order's names, numbers and encoding; more than they take.
constexpr std::size_t OtherOrderBytes = 200;

std::size_t bytesOf(const runner::StartOrder &Start) {
  std::size_t Result = OtherOrderBytes + Start.Spec.size() +
                       Start.Checkpoint.size() + Start.Image.str().size();
  for (const workload::ImageId &Image : Start.HarmlessTo)
    Result += OtherOrderBytes + Image.str().size();
  return Result;
}

Millis stallTimeout(const workload::StepDefinition &Step) {
  // Well above one percent of a long task's duration, and above a start-up.
  constexpr Millis MinTaskTimeout{1500};
  constexpr Millis StartupTimeout{4000};
  // Members of a gang make no progress until all of them have started.
  if (Step.Gang)
    return Millis(0);
  return Step.LongRunning ? StartupTimeout
                          : std::max(MinTaskTimeout, Step.Estimate / 4);
}

} // namespace

void Scheduler::onSyncReply(const VmId &Id, std::uint64_t Number,
                            const runner::SyncReply &Reply, TimePoint Now) {
  auto Found = Vms.find(Id);
  if (Found == Vms.end() || !Reply.Accepted)
    return;

  VmState &Vm = Found->second;
  Vm.LastReply = Now;
  Vm.LatestGrantExpiry = std::max(Vm.LatestGrantExpiry,
                                  Now + Reply.GrantLeft + Config.GrantMargin);
  if (Vm.AgentIncarnation != Reply.AgentIncarnation) {
    Vm.AgentIncarnation = Reply.AgentIncarnation;
    Vm.RefusalsApplied = 0;
    Vm.NewestStamp = 0;
    // Its first replies may lack a worker that has not been lost.
    Vm.Worker.reset();
    // A new agent process knows its worker's runs but not the orders sent.
    for (auto &[Name, Run] : Vm.Assigned)
      Run.SentInSync = Run.StopSentInSync = 0;
  }
  Vm.NewestStamp = std::max(Vm.NewestStamp, Reply.Stamp);
  applyWorker(Vm, Reply, Now);
  applyEnds(Vm, Reply, Now);
  applyRefusals(Vm, Reply, Now);
  reconcile(Vm, Number, Reply, Now);
}

void Scheduler::applyWorker(VmState &Vm, const runner::SyncReply &Reply,
                            TimePoint Now) {
  observeWorker(Vm, Reply, Now);
  if (!Reply.Worker || Reply.LeaseExpired) {
    Vm.Worker.reset();
    return;
  }

  if (Vm.Worker == Reply.Worker)
    return;
  bool NewLife = !Vm.Worker || Vm.Worker->Life != Reply.Worker->Life;
  bool BeginsDraining =
      Reply.Worker->Draining && (NewLife || !Vm.Worker->Draining);
  if (NewLife || BeginsDraining)
    LogEvent(LogLevel::Info, "worker_seen")
        .with("vm", Vm.Id)
        .with("life", Reply.Worker->Life)
        .with("draining", Reply.Worker->Draining ? "yes" : "no");
  Vm.Worker = Reply.Worker;
  Vm.Rack = rackOf(*Vm.Worker);
  Vm.FailureDomain = Vm.Worker->FailureDomain;
  Vm.Evacuated = isEvacuated(Vm, Evacuated);
}

void Scheduler::applyEnds(VmState &Vm, const runner::SyncReply &Reply,
                          TimePoint Now) {
  if (!Reply.Worker)
    return;
  if (Vm.EndsLife != Reply.Worker->Life) {
    Vm.EndsLife = Reply.Worker->Life;
    Vm.EndsApplied = Vm.EndsRecorded = Vm.EndsAcknowledged = EndNumber{};
    Vm.UnrecordedEnds.clear();
  }
  for (const runner::EndedTask &End : Reply.Ended)
    if (End.Number > Vm.EndsApplied) {
      applyEnd(Vm, End, Now);
      Vm.EndsApplied = End.Number;
      // A row that is not waiting has been taken with what the end changed, if
      // it changed anything.
      Vm.UnrecordedEnds.push_back(
          {End.Number, End.Name.Task,
           isUnsaved(End.Name.Task) ? CommitNumber{} : NewestTaken});
    }
  Vm.recordEnds(Durable);
}

void Scheduler::applyEnd(VmState &Vm, const runner::EndedTask &End,
                         TimePoint Now) {
  const TaskName &Name = End.Name.Task;
  auto Run = Vm.Assigned.find(Name);
  auto Found = Jobs.find(Name.Job);
  bool IsAssigned = Run != Vm.Assigned.end() && Run->second.Run == End.Name.Run;
  LogEvent(LogLevel::Info, "run_end")
      .with("task", workload::toString(Name))
      .with("run", End.Name.Run)
      .with("vm", Vm.Id)
      .with("number", End.Number)
      .with("cause", static_cast<std::int64_t>(End.Cause))
      .with("assigned", IsAssigned ? "yes" : "no");
  if (!IsAssigned || Found == Jobs.end())
    return;

  JobProgress &Job = Found->second;
  recordStart(Run->second, Job);
  TaskProgress *Task = Job.findTask(Name);
  if (!Task)
    return;
  if (!End.Checkpoint.empty())
    Task->Checkpoint = End.Checkpoint;
  if (End.Cause == runner::EndCause::Done &&
      Task->Phase == TaskPhase::Assigned &&
      !Job.stepDefinition(Name).LongRunning) {
    Vm.FailureScore /= 2;
    Vm.release(Name);
    finishTask(Job, Name);
    return;
  }
  bool Failed = End.Cause == runner::EndCause::Failed;
  requeueTask(Vm, Name, Failed ? Now + Config.RetryDelay : TimePoint{},
              Failed ? "failed" : "ended");
  if (Failed)
    failTask(Job, Vm, Name, Now);
}

void Scheduler::finishTask(JobProgress &Job, const TaskName &Name) {
  auto &Step = Job.Occurrences[Name.Occurrence].Steps[Name.Step];
  // The successful end of one member completes the whole gang.
  bool Gang = Job.stepDefinition(Name).Gang;
  std::uint32_t First = Gang ? 0 : Name.Index;
  auto End = Gang ? static_cast<std::uint32_t>(Step.Tasks.size()) : First + 1;
  for (std::uint32_t N = First; N < End; ++N) {
    if (Step.Tasks[N].Phase == TaskPhase::Done)
      continue;
    if (Step.Tasks[N].Phase == TaskPhase::Assigned)
      onRunOver(Job, true);
    TaskName Member{Name.Job, Name.Occurrence, Name.Step, N};
    completeTask(Job, Member);
    markDirty(Job, Member);
  }
  if (!isFinal(Job.Status) && isComplete(Job))
    endJob(Job, JobStatus::Completed);
}

void Scheduler::failTask(JobProgress &Job, VmState &Vm, const TaskName &Name,
                         TimePoint Now) {
  auto &Tasks = Job.Occurrences[Name.Occurrence].Steps[Name.Step].Tasks;
  const auto &Step = Job.stepDefinition(Name);
  avoidVm(Name, Vm.Id);
  // A gang fails as a whole.
  std::uint32_t First = Step.Gang ? 0 : Name.Index;
  auto End = Step.Gang ? static_cast<std::uint32_t>(Tasks.size()) : First + 1;
  for (std::uint32_t N = First; N < End; ++N) {
    ++Tasks[N].Failures;
    markDirty(Job, {Name.Job, Name.Occurrence, Name.Step, N});
  }

  // Load pattern: a worker on which every task fails ends them at once, looks
  // idle and would attract the whole queue.
  countFailure(Vm, Now);
  if (!Step.LongRunning && !isFinal(Job.Status) &&
      Tasks[Name.Index].Failures >= Job.Record.Policy.MaxAttempts)
    endJob(Job, JobStatus::Failed);
}

void Scheduler::countFailure(VmState &Vm, TimePoint Now) {
  Vm.FailureScore += 1;
  if (Vm.FailureScore < Config.ProbationFailureScore)
    return;

  Vm.ProbationUntil = Now + Config.Probation;
  LogEvent(LogLevel::Warning, "worker_on_probation")
      .with("vm", Vm.Id)
      .with("failure_score", static_cast<std::int64_t>(Vm.FailureScore));
}

void Scheduler::avoidVm(const TaskName &Name, const VmId &Vm) {
  auto Found = Jobs.find(Name.Job);
  if (Found == Jobs.end())
    return;
  if (TaskProgress *Task = Found->second.findTask(Name))
    Task->AvoidedVms.insert(Vm);
}

void Scheduler::applyRefusals(VmState &Vm, const runner::SyncReply &Reply,
                              TimePoint Now) {
  for (const runner::RefusedRun &Refusal : Reply.Refused) {
    if (Refusal.Number <= Vm.RefusalsApplied)
      continue;
    Vm.RefusalsApplied = Refusal.Number;
    const TaskName &Name = Refusal.Name.Task;
    auto Run = Vm.Assigned.find(Name);
    if (Run == Vm.Assigned.end() || Run->second.Run != Refusal.Name.Run)
      continue;
    LogEvent(LogLevel::Info, "run_refused")
        .with("task", workload::toString(Name))
        .with("run", Refusal.Name.Run)
        .with("vm", Vm.Id)
        .with("reason", static_cast<std::int64_t>(Refusal.Reason));
    // Load pattern: a worker turns away all starts while it reports free room.
    // The choice of a VM would not change otherwise, and the task would be
    // offered to the same worker for as long as that lasts.
    if (Refusal.Reason == runner::RefusalReason::Unhealthy) {
      countFailure(Vm, Now);
      avoidVm(Name, Vm.Id);
    }
    requeueTask(Vm, Name, Now + Config.RetryDelay, "refused");
  }
}

void Scheduler::applyListing(Assignment &Run, const runner::RunningTask &Listed,
                             TimePoint Now) {
  Run.Percent = Listed.Percent;
  Run.Load = Listed.Load;
  Run.Forecast.observe(Listed.Percent, Now);
  auto Found = Jobs.find(Listed.Name.Task.Job);
  if (Found == Jobs.end())
    return;
  if (!Run.Started)
    recordStart(Run, Found->second);
  // Load pattern: workers are lost with hundreds of runs. Only an end carries a
  // checkpoint otherwise, so their tasks would begin anew. Not written at once,
  // as the next leader reads it from a listing, too.
  TaskProgress *Task = Found->second.findTask(Listed.Name.Task);
  if (Task && !Listed.Checkpoint.empty())
    Task->Checkpoint = Listed.Checkpoint;
}

void Scheduler::updateListedRuns(VmState &Vm, const runner::SyncReply &Reply,
                                 TimePoint Now) {
  ++Vm.Replies;
  auto MarkListed = [&Vm](const runner::RunName &Name) -> Assignment * {
    auto Run = Vm.Assigned.find(Name.Task);
    if (Run == Vm.Assigned.end() || Run->second.Run != Name.Run)
      return nullptr;
    Run->second.ListedInReply = Vm.Replies;
    return &Run->second;
  };
  // Once the lease has expired, the runs in the reply have ended.
  if (!Reply.LeaseExpired)
    for (const runner::RunningTask &Task : Reply.Running)
      if (Assignment *Run = MarkListed(Task.Name))
        applyListing(*Run, Task, Now);
  for (const runner::RunName &Name : Reply.Starting)
    if (Assignment *Run = MarkListed(Name))
      Run->OrderListedInReply = Vm.Replies;
}

void Scheduler::reconcile(VmState &Vm, std::uint64_t Number,
                          const runner::SyncReply &Reply, TimePoint Now) {
  updateListedRuns(Vm, Reply, Now);
  std::vector<TaskName> EndedTasks;
  for (auto &[Name, Run] : Vm.Assigned) {
    // The agent lists a stop until its outcome is reported.
    if (Run.Stopping && Run.OrderListedInReply != Vm.Replies &&
        Number >= Run.StopSentInSync)
      Run.StopSentInSync = 0;
    // An order that is in flight to the agent may still be carried out.
    if (Run.ListedInReply == Vm.Replies || Number < Run.NewestOrderSync)
      continue;
    bool WorkerRestarted = Reply.Worker && Reply.Worker->Life != Run.Life;
    if (Reply.LeaseExpired || WorkerRestarted)
      EndedTasks.push_back(Name);
    else if (Run.SentInSync != 0 && Number >= Run.SentInSync)
      Run.SentInSync = 0;
  }
  Vm.clearExpectedTails();
  Tails.observe(Vm, Now);
  for (const TaskName &Name : EndedTasks)
    requeueTask(Vm, Name, {},
                Reply.LeaseExpired ? "lease_expired" : "new_life");
  stopStalled(Vm, Reply, Now);
}

void Scheduler::stopStalled(VmState &Vm, const runner::SyncReply &Reply,
                            TimePoint Now) {
  for (const runner::RunName &Stalled : Reply.Stalled) {
    auto Run = Vm.Assigned.find(Stalled.Task);
    if (Run == Vm.Assigned.end() || Run->second.Run != Stalled.Run ||
        Run->second.Stopping)
      continue;
    // Load pattern: tasks on some workers stall while their leases are still
    // renewed, so only the missing progress shows it.
    countFailure(Vm, Now);
    avoidVm(Stalled.Task, Vm.Id);
    stopRun(Vm, Stalled.Task, "stalled");
  }
}

void Scheduler::onSyncFailed(const VmId &Id, std::uint64_t Number) {
  auto Found = Vms.find(Id);
  if (Found == Vms.end())
    return;

  for (auto &[Name, Run] : Found->second.Assigned) {
    if (Run.SentInSync == Number)
      Run.SentInSync = 0;
    if (Run.StopSentInSync == Number)
      Run.StopSentInSync = 0;
  }
}

bool Scheduler::isStartDue(const VmState &Vm, const Assignment &Run) const {
  bool IsDurable = Run.Commit != CommitNumber{} && Run.Commit <= Durable;
  return Run.SentInSync == 0 && IsDurable && !StartsHeld && !Vm.Evacuated;
}

bool Scheduler::hasOrders(const VmId &Id) const {
  auto Found = Vms.find(Id);
  if (Found == Vms.end())
    return false;

  const VmState &Vm = Found->second;
  if (Vm.EndsRecorded.value() - Vm.EndsAcknowledged.value() >= ManyEnds)
    return true;
  return std::any_of(
      Vm.Assigned.begin(), Vm.Assigned.end(), [&](const auto &Each) {
        const Assignment &Run = Each.second;
        return Run.Stopping ? Run.StopSentInSync == 0 : isStartDue(Vm, Run);
      });
}

runner::SyncRequest Scheduler::nextSync(const VmId &Id, Epoch Leader,
                                        TimePoint Now) {
  VmState &Vm = Vms.at(Id);
  runner::SyncRequest Sync;
  Sync.Leader = Leader;
  Sync.Number = ++Vm.LastSync;
  Sync.EchoedStamp = Vm.NewestStamp;
  Sync.StampedBy = Vm.AgentIncarnation;
  Sync.Grant = Config.Grant;
  Sync.EndsLife = Vm.EndsLife;
  Sync.EndsRecorded = Vm.EndsAcknowledged = Vm.EndsRecorded;
  Sync.RefusalsSeen = Vm.RefusalsApplied;
  Sync.Wait = Config.SyncWait;
  // The stamp was made before the last reply, so the agent's grant ends before
  // this limit, however long syncs remain without a reply.
  if (Vm.NewestStamp != 0)
    Vm.LatestGrantExpiry = std::max(
        Vm.LatestGrantExpiry, Vm.LastReply + Config.Grant + Config.GrantMargin);

  // The others follow in the next syncs: hasOrders() stays true.
  std::size_t Bytes = 0;
  for (auto &[Name, Run] : Vm.Assigned) {
    if (Bytes >= MaxOrderBytes)
      break;
    if (Run.Stopping) {
      if (Run.StopSentInSync == 0) {
        Run.StopSentInSync = Sync.Number;
        Sync.Stops.push_back({Name, Run.Run});
        Bytes += OtherOrderBytes;
      }
      continue;
    }
    if (!isStartDue(Vm, Run))
      continue;
    auto Found = Jobs.find(Name.Job);
    if (Found == Jobs.end())
      continue;
    const auto &Step = Found->second.stepDefinition(Name);
    Run.SentInSync = Sync.Number;
    Run.NewestOrderSync = Sync.Number;
    Sync.Starts.push_back({{Name, Run.Run},
                           Run.Life,
                           Found->second.Record.Definition.Spec,
                           Found->second.findTask(Name)->Checkpoint,
                           Step.Image,
                           Step.FillsIdleCpu,
                           Step.TailTarget,
                           stallTimeout(Step),
                           Step.FillsIdleCpu
                               ? Tails.unaffectedImages(Step.Image, Now)
                               : std::vector<workload::ImageId>{}});
    Bytes += bytesOf(Sync.Starts.back());
  }
  return Sync;
}

} // namespace daisyspool::scheduling
