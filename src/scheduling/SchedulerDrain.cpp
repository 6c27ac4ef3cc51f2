// The part of Scheduler that decides on the runs of workers that leave, and
// that learns which workers are lost.
#include "daisyspool/scheduling/DrainPlan.h"
#include "daisyspool/scheduling/Scheduler.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// Interval of the decisions, each of which may search the fleet for room for
/// every run of the leaving workers. A small part of the time that they have.
constexpr Millis PlanInterval{100};

bool isLeaving(const VmState &Vm) { return Vm.Worker && Vm.Worker->Draining; }

/// Whether a task that does not end by itself serves its users.
bool isAtWork(const Assignment &Run) {
  return !Run.Stopping && Run.Percent >= 100;
}

} // namespace

void Scheduler::observeWorker(VmState &Vm, const runner::SyncReply &Reply,
                              TimePoint Now) {
  const auto &Known = Vm.Worker;
  bool HasWorker = Reply.Worker && !Reply.LeaseExpired;
  bool NewLife = HasWorker && Known && Known->Life != Reply.Worker->Life;
  // A worker that goes silent and comes back in the same life has lost nothing,
  // but starts and ends wait for it.
  bool Lost = Known && !Known->Draining && (NewLife || !HasWorker);
  if (Lost) {
    Vm.History.recordLoss(Now);
    LogEvent(LogLevel::Info, "worker_lost")
        .with("vm", Vm.Id)
        .with("life", Known->Life)
        .with("cause", NewLife              ? "new_life"
                       : Reply.LeaseExpired ? "lease_expired"
                                            : "silent")
        .with("runs", static_cast<std::int64_t>(Vm.Assigned.size()))
        .with("recent_losses", Vm.History.recentLosses());
  } else if (HasWorker && !Known) {
    Vm.History.recordReturn(Now);
  }
  if (!HasWorker || !Reply.Worker->Draining)
    return;
  // An agent of an earlier version repeats the time that its worker announced
  // last, which must not extend it.
  bool Repeated = Known && !NewLife && Known->Draining &&
                  Known->Remaining == Reply.Worker->Remaining;
  if (!Repeated)
    Vm.LeavesAt = Now + Reply.Worker->Remaining;
}

std::uint32_t Scheduler::unavailableTasks(const JobProgress &Job,
                                          const TaskName &Name) const {
  const auto &Tasks = Job.Occurrences[Name.Occurrence].Steps[Name.Step].Tasks;
  std::uint32_t Result = 0;
  for (std::uint32_t N = 0; N < Tasks.size(); ++N) {
    TaskName Sibling{Name.Job, Name.Occurrence, Name.Step, N};
    auto Vm = Vms.find(Tasks[N].Vm);
    bool IsAssigned = Tasks[N].Phase == TaskPhase::Assigned && Vm != Vms.end();
    auto Run = IsAssigned ? Vm->second.Assigned.find(Sibling)
                          : std::map<TaskName, Assignment>::const_iterator{};
    if (!IsAssigned || Run == Vm->second.Assigned.end() ||
        !isAtWork(Run->second))
      ++Result;
  }
  return Result;
}

VmState *Scheduler::findRoom(JobProgress &Job, const TaskName &Name,
                             TimePoint Now) {
  auto SiblingsByVm = siblingsByVm(Job, Name.Occurrence, Name.Step);
  VmRequest Request{&Job.stepDefinition(Name),
                    serviceOf(Job),
                    &Job.findTask(Name)->AvoidedVms,
                    &SiblingsByVm,
                    &Tails,
                    isStarved(Job, Now)};
  return chooseVm(VmList, Request, Now);
}

bool Scheduler::planLeavingRun(VmState &Vm, const TaskName &Name,
                               TimePoint Now) {
  auto Found = Jobs.find(Name.Job);
  if (Found == Jobs.end())
    return false;

  JobProgress &Job = Found->second;
  const auto &Step = Job.stepDefinition(Name);
  const Assignment &Run = Vm.Assigned.at(Name);
  // Nothing is lost, as no order was sent.
  if (Run.NewestOrderSync == 0) {
    stopRun(Vm, Name, "draining");
    return true;
  }
  LeavingRun Leaving;
  Leaving.LongRunning = Step.LongRunning;
  Leaving.Checkpoints = Step.Checkpoints;
  Leaving.Gang = Step.Gang;
  Leaving.ExpectedRest =
      Run.Forecast.remaining(Step.Estimate, Run.AssignedAt, Now);
  Leaving.MaxUnavailable = Step.MaxUnavailable;
  auto TimeLeft = std::max(
      Millis(0), std::chrono::duration_cast<Millis>(Vm.LeavesAt - Now));
  // The search for room is the costly part, so it is left out where it decides
  // nothing.
  Leaving.HasRoomElsewhere = true;
  if (chooseLeavingAction(Leaving, TimeLeft) == LeavingAction::Stay)
    return false;
  VmState *Target = findRoom(Job, Name, Now);
  Leaving.HasRoomElsewhere = Target != nullptr;
  if (Step.LongRunning)
    Leaving.Unavailable = unavailableTasks(Job, Name);
  if (chooseLeavingAction(Leaving, TimeLeft) == LeavingAction::Stay)
    return false;
  if (Target) {
    ReservedForMoves[Name] = {Vm.Id, Target->Id};
    Target->Reserved = Target->Reserved + Run.Held;
  }
  stopRun(Vm, Name, "draining");
  return true;
}

void Scheduler::planLeavingRuns(VmState &Vm, bool LongRunning, TimePoint Now) {
  std::vector<TaskName> Candidates;
  for (const auto &[Name, Run] : Vm.Assigned)
    if (!Run.Stopping && Run.LongRunning == LongRunning)
      Candidates.push_back(Name);
  std::int64_t Moved = 0;
  for (const TaskName &Name : Candidates)
    Moved += planLeavingRun(Vm, Name, Now) ? 1 : 0;
  if (Moved == 0)
    return;

  LogEvent(LogLevel::Info, "leaving_runs_moved")
      .with("vm", Vm.Id)
      .with("long_running", LongRunning ? "yes" : "no")
      .with("moved", Moved)
      .with("staying", static_cast<std::int64_t>(Candidates.size()) - Moved)
      .with("time_left_ms",
            std::chrono::duration_cast<Millis>(Vm.LeavesAt - Now).count());
}

void Scheduler::reserveForMoves() {
  std::erase_if(ReservedForMoves, [this](const auto &Each) {
    const VmState &From = Vms.at(Each.second.From);
    auto Run = From.Assigned.find(Each.first);
    if (Run == From.Assigned.end() || !Run->second.Stopping)
      return true;
    VmState &Target = Vms.at(Each.second.Target);
    Target.Reserved = Target.Reserved + Run->second.Held;
    return false;
  });
}

void Scheduler::planLeavingRuns(TimePoint Now) {
  reserveForMoves();
  bool AnyLeaves =
      std::any_of(VmList.begin(), VmList.end(),
                  [](const VmState *Vm) { return isLeaving(*Vm); });
  if (!AnyLeaves || Now - LastLeavingPlan < PlanInterval)
    return;

  LastLeavingPlan = Now;
  // Services first: they hold the larger part of a VM, and users cannot reach
  // them until they run again.
  for (bool LongRunning : {true, false})
    for (VmState *Vm : VmList)
      if (isLeaving(*Vm))
        planLeavingRuns(*Vm, LongRunning, Now);
}

Scheduler::WorkerSummary Scheduler::workerSummary(TimePoint Now) const {
  WorkerSummary Result;
  for (const VmState *Vm : VmList) {
    Result.Leaving += isLeaving(*Vm) ? 1 : 0;
    Result.Unsteady += Vm->History.isUnsteady(Now) ? 1 : 0;
  }
  return Result;
}

} // namespace daisyspool::scheduling
