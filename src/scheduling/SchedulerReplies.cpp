// The part of Scheduler that talks with the agents: their answers and the
// next message to each.
#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// A rack label is "r" and digits with dashes between; the other labels name
/// the worker's kind.
RackId rackOf(const runner::WorkerReport &Worker) {
  for (const std::string &Label : Worker.Labels)
    if (Label.size() > 1 && Label[0] == 'r' &&
        Label.find_first_not_of("0123456789-", 1) == std::string::npos)
      return RackId(Label);

  return {};
}

Millis stallBound(const workload::StepDefinition &Step) {
  // One hundredth of a long task is well below it; a start-up is too.
  constexpr Millis TaskBound{1500};
  constexpr Millis StartupBound{4000};
  // Members of a gang stand still until all are there.
  if (Step.Gang)
    return Millis(0);
  return Step.LongRunning ? StartupBound
                          : std::max(TaskBound, Step.Estimate / 4);
}

} // namespace

void Scheduler::onSyncReply(const VmId &Id, std::uint64_t Number,
                            const runner::SyncReply &Reply, TimePoint Now) {
  auto Found = Vms.find(Id);
  if (Found == Vms.end() || !Reply.Accepted)
    return;

  VmState &Vm = Found->second;
  Vm.LastReply = Now;
  Vm.GrantBound =
      std::max(Vm.GrantBound, Now + Reply.GrantLeft + Config.GrantMargin);
  if (Vm.AgentIncarnation != Reply.AgentIncarnation) {
    Vm.AgentIncarnation = Reply.AgentIncarnation;
    Vm.RefusalsApplied = 0;
    Vm.NewestStamp = 0;
    // A new agent process knows its worker's runs but not their orders.
    for (auto &[Name, Run] : Vm.Assigned)
      Run.SentIn = 0;
  }
  Vm.NewestStamp = std::max(Vm.NewestStamp, Reply.Stamp);
  applyWorker(Vm, Reply);
  applyEnds(Vm, Reply, Now);
  applyRefusals(Vm, Reply, Now);
  reconcile(Vm, Number, Reply, Now);
}

void Scheduler::applyWorker(VmState &Vm, const runner::SyncReply &Reply) {
  if (!Reply.Worker || Reply.LeaseExpired) {
    Vm.Worker.reset();
    return;
  }

  if (Vm.Worker == Reply.Worker)
    return;
  bool NewLife = !Vm.Worker || Vm.Worker->Life != Reply.Worker->Life;
  bool Leaves = Reply.Worker->Draining && (NewLife || !Vm.Worker->Draining);
  if (NewLife || Leaves)
    LogEvent(LogLevel::Info, "worker_seen")
        .with("vm", Vm.Id)
        .with("life", Reply.Worker->Life)
        .with("draining", Reply.Worker->Draining ? "yes" : "no");
  Vm.Worker = Reply.Worker;
  Vm.Rack = rackOf(*Vm.Worker);
}

void Scheduler::applyEnds(VmState &Vm, const runner::SyncReply &Reply,
                          TimePoint Now) {
  if (!Reply.Worker)
    return;
  if (Vm.EndsOf != Reply.Worker->Life) {
    Vm.EndsOf = Reply.Worker->Life;
    Vm.EndsApplied = Vm.EndsRecorded = Vm.EndsInCommit = EndNumber{};
    Vm.EndsCommit = CommitNumber{};
  }
  for (const runner::EndedTask &End : Reply.Ended)
    if (End.Number > Vm.EndsApplied) {
      applyEnd(Vm, End, Now);
      Vm.EndsApplied = End.Number;
    }
  // With nothing to write, the store already has all that the ends changed.
  if (DirtyJobs.empty() && Vm.EndsCommit <= Durable)
    Vm.EndsRecorded = Vm.EndsApplied;
}

void Scheduler::applyEnd(VmState &Vm, const runner::EndedTask &End,
                         TimePoint Now) {
  const TaskName &Name = End.Name.Task;
  auto Run = Vm.Assigned.find(Name);
  auto Found = Jobs.find(Name.Job);
  bool Ours = Run != Vm.Assigned.end() && Run->second.Run == End.Name.Run;
  LogEvent(LogLevel::Info, "run_end")
      .with("task", workload::toString(Name))
      .with("run", End.Name.Run)
      .with("vm", Vm.Id)
      .with("number", End.Number)
      .with("cause", static_cast<std::int64_t>(End.Cause))
      .with("assigned", Ours ? "yes" : "no");
  if (!Ours || Found == Jobs.end())
    return;

  JobProgress &Job = Found->second;
  TaskProgress *Task = Job.find(Name);
  if (!Task)
    return;
  if (!End.Checkpoint.empty())
    Task->Checkpoint = End.Checkpoint;
  if (End.Cause == runner::EndCause::Done &&
      Task->Phase == TaskPhase::Assigned && !Job.definition(Name).LongRunning) {
    Vm.FailureScore /= 2;
    Vm.release(Name);
    finishTask(Job, Name);
    return;
  }
  bool Failed = End.Cause == runner::EndCause::Failed;
  requeue(Vm, Name, Failed ? Now + Config.RetryPause : TimePoint{},
          Failed ? "failed" : "ended");
  if (Failed)
    failTask(Job, Vm, Name, Now);
}

void Scheduler::finishTask(JobProgress &Job, const TaskName &Name) {
  auto &Step = Job.Occurrences[Name.Occurrence].Steps[Name.Step];
  // One good end of a gang stands for all of its members.
  bool Gang = Job.definition(Name).Gang;
  for (std::uint32_t N = 0; N < Step.Tasks.size(); ++N)
    if ((Gang || N == Name.Index) && Step.Tasks[N].Phase != TaskPhase::Done) {
      if (Step.Tasks[N].Phase == TaskPhase::Assigned)
        noteIdle(Job);
      Step.Tasks[N].Phase = TaskPhase::Done;
      ++Step.Done;
    }
  recount(Job);
  markDirty(Job);
  if (!isFinal(Job.Status) && isComplete(Job))
    end(Job, JobStatus::Completed);
}

void Scheduler::failTask(JobProgress &Job, VmState &Vm, const TaskName &Name,
                         TimePoint Now) {
  auto &Tasks = Job.Occurrences[Name.Occurrence].Steps[Name.Step].Tasks;
  const auto &Step = Job.definition(Name);
  Tasks[Name.Index].Avoid.push_back(Vm.Id);
  // A gang fails as a whole.
  for (std::uint32_t N = 0; N < Tasks.size(); ++N)
    if (Step.Gang || N == Name.Index)
      ++Tasks[N].Failures;
  markDirty(Job);

  // Load pattern: a worker that fails all it starts ends tasks at once, looks
  // idle and would draw the whole queue.
  Vm.FailureScore += 1;
  if (Vm.FailureScore >= Config.FailuresForProbation) {
    Vm.ProbationUntil = Now + Config.Probation;
    LogEvent(LogLevel::Warning, "worker_on_probation")
        .with("vm", Vm.Id)
        .with("failure_score", static_cast<std::int64_t>(Vm.FailureScore));
  }
  if (!Step.LongRunning && !isFinal(Job.Status) &&
      Tasks[Name.Index].Failures >= Job.Record.Policy.MaxAttempts)
    end(Job, JobStatus::Failed);
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
    requeue(Vm, Name, Now + Config.RetryPause, "refused");
  }
}

void Scheduler::noteListed(VmState &Vm, const runner::SyncReply &Reply) {
  ++Vm.Replies;
  auto Listed = [&Vm](const runner::RunName &Name) -> Assignment * {
    auto Run = Vm.Assigned.find(Name.Task);
    if (Run == Vm.Assigned.end() || Run->second.Run != Name.Run)
      return nullptr;
    Run->second.ListedIn = Vm.Replies;
    return &Run->second;
  };
  // Runs that were listed before the lease expired are over.
  if (!Reply.LeaseExpired)
    for (const runner::RunningTask &Task : Reply.Running)
      if (Assignment *Run = Listed(Task.Name)) {
        Run->Percent = Task.Percent;
        Run->Load = Task.Load;
      }
  for (const runner::RunName &Name : Reply.Starting)
    Listed(Name);
}

void Scheduler::reconcile(VmState &Vm, std::uint64_t Number,
                          const runner::SyncReply &Reply, TimePoint Now) {
  noteListed(Vm, Reply);
  std::vector<TaskName> Gone;
  for (auto &[Name, Run] : Vm.Assigned) {
    // An order that is on its way to the agent may still be carried out.
    if (Run.ListedIn == Vm.Replies || Number < Run.NewestOrder)
      continue;
    bool OtherLife = Reply.Worker && Reply.Worker->Life != Run.Life;
    if (Reply.LeaseExpired || OtherLife)
      Gone.push_back(Name);
    else if (Run.SentIn != 0 && Number >= Run.SentIn)
      Run.SentIn = 0;
  }
  Vm.dropExpectedTails();
  Tails.observe(Vm, Now);
  for (const TaskName &Name : Gone)
    requeue(Vm, Name, {}, Reply.LeaseExpired ? "lease_expired" : "new_life");
  stopStalled(Vm, Reply, Now);
}

void Scheduler::stopStalled(VmState &Vm, const runner::SyncReply &Reply,
                            TimePoint Now) {
  for (const runner::RunName &Stalled : Reply.Stalled) {
    auto Run = Vm.Assigned.find(Stalled.Task);
    if (Run == Vm.Assigned.end() || Run->second.Run != Stalled.Run ||
        Run->second.Stopping)
      continue;
    // Load pattern: tasks on some workers stand still; the lease goes on, so
    // only the missing progress shows it.
    Vm.FailureScore += 1;
    if (Vm.FailureScore >= Config.FailuresForProbation)
      Vm.ProbationUntil = Now + Config.Probation;
    if (auto Job = Jobs.find(Stalled.Task.Job); Job != Jobs.end())
      if (TaskProgress *Task = Job->second.find(Stalled.Task))
        Task->Avoid.push_back(Vm.Id);
    stop(Vm, Stalled.Task, "stalled");
  }
}

void Scheduler::onSyncFailed(const VmId &Id, std::uint64_t Number) {
  auto Found = Vms.find(Id);
  if (Found == Vms.end())
    return;

  for (auto &[Name, Run] : Found->second.Assigned) {
    if (Run.SentIn == Number)
      Run.SentIn = 0;
    if (Run.StopSentIn == Number)
      Run.StopSentIn = 0;
  }
}

bool Scheduler::hasOrders(const VmId &Id) const {
  auto Found = Vms.find(Id);
  if (Found == Vms.end())
    return false;

  const VmState &Vm = Found->second;
  return std::any_of(
      Vm.Assigned.begin(), Vm.Assigned.end(), [&](const auto &Each) {
        const Assignment &Run = Each.second;
        bool Durably = Run.Commit != CommitNumber{} && Run.Commit <= Durable;
        return Run.Stopping ? Run.StopSentIn == 0 : Run.SentIn == 0 && Durably;
      });
}

runner::SyncRequest Scheduler::nextSync(const VmId &Id, Epoch Leader,
                                        TimePoint Now) {
  VmState &Vm = Vms.at(Id);
  runner::SyncRequest What;
  What.Leader = Leader;
  What.Number = ++Vm.LastSync;
  What.EchoedStamp = Vm.NewestStamp;
  What.StampedBy = Vm.AgentIncarnation;
  What.Grant = Config.Grant;
  What.EndsOf = Vm.EndsOf;
  What.EndsRecorded = Vm.EndsRecorded;
  What.RefusalsSeen = Vm.RefusalsApplied;
  What.Wait = Config.SyncWait;
  // The stamp was made before the last reply, so what the agent grants ends
  // before this, however long it goes on without an answer.
  if (Vm.NewestStamp != 0)
    Vm.GrantBound = std::max(Vm.GrantBound,
                             Vm.LastReply + Config.Grant + Config.GrantMargin);

  for (auto &[Name, Run] : Vm.Assigned) {
    if (Run.Stopping) {
      if (Run.StopSentIn == 0) {
        Run.StopSentIn = What.Number;
        What.Stops.push_back({Name, Run.Run});
      }
      continue;
    }
    bool Durably = Run.Commit != CommitNumber{} && Run.Commit <= Durable;
    if (Run.SentIn != 0 || !Durably)
      continue;
    auto Found = Jobs.find(Name.Job);
    if (Found == Jobs.end())
      continue;
    const auto &Step = Found->second.definition(Name);
    Run.SentIn = What.Number;
    Run.NewestOrder = What.Number;
    What.Starts.push_back({{Name, Run.Run},
                           Run.Life,
                           Found->second.Record.Definition.Spec,
                           Found->second.find(Name)->Checkpoint,
                           Step.Image,
                           Step.FillsIdleCpu,
                           Step.TailTarget,
                           stallBound(Step),
                           Step.FillsIdleCpu
                               ? Tails.harmlessTo(Step.Image, Now)
                               : std::vector<workload::ImageId>{}});
  }
  return What;
}

} // namespace daisyspool::scheduling
