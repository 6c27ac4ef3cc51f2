#include "daisyspool/scheduling/VmChoice.h"

#include <algorithm>
#include <tuple>

namespace daisyspool::scheduling {

namespace {

/// A VM whose agent has been silent for longer gets no new tasks; three times
/// Scheduler::Options::SyncWait.
constexpr Millis MaxSilence{1500};

/// No best-effort task is added where a service's expected tail exceeds this
/// ratio to its target. Below the ratio at which an agent lets the pace rise,
/// as the task would otherwise be slowed down at once and stay slow.
constexpr double MaxExpectedTailRatio = 0.65;

bool hasLabel(const VmState &Vm, const workload::LabelId &Label) {
  const auto &Labels = Vm.Worker->Labels;
  return Label.empty() ||
         std::find(Labels.begin(), Labels.end(), Label.str()) != Labels.end();
}

std::uint32_t siblingCount(const VmState &Vm, const VmRequest &Request) {
  auto Found = Request.SiblingsByVm->find(Vm.Id);
  return Found == Request.SiblingsByVm->end() ? 0 : Found->second;
}

bool isAvoided(const VmState &Vm, const VmRequest &Request) {
  return Request.AvoidedVms->count(Vm.Id) != 0;
}

/// Estimated millicores not in use. Services reserve for their peak, so only a
/// share of their processors counts as used.
std::int64_t idleCpu(const VmState &Vm) {
  return (Vm.free().Cpu - Vm.BestEffortCpu).value() +
         Vm.ServingHeldCpu.value() * (100 - ServingCpuUsePercent) / 100;
}

/// The expected tail, cached until the VM's state changes: a long queue asks
/// for the same few images on every VM.
double expectedTail(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  auto [Cached, Inserted] =
      Vm.ExpectedTails.try_emplace(Request.Step->Image, 0);
  if (Inserted) {
    if (!Vm.CurrentTails)
      Vm.CurrentTails = Request.Tails->currentTails(Vm, Now);
    Cached->second =
        Request.Tails->predict(*Vm.CurrentTails, Request.Step->Image, Now);
  }
  return Cached->second;
}

/// Whether a best-effort task would make progress: there are idle processors,
/// and the expected tail is low enough that it is not throttled.
bool hasIdleCapacity(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  if (Request.Starved)
    return true;
  return idleCpu(Vm) >= Request.Step->Needs.Cpu.value() &&
         expectedTail(Vm, Request, Now) < MaxExpectedTailRatio;
}

/// Number of serving tasks of other images.
std::int64_t otherServingTasks(const VmState &Vm,
                               const workload::StepDefinition &Step) {
  return std::count_if(Vm.Assigned.begin(), Vm.Assigned.end(),
                       [&](const auto &Each) {
                         return Each.second.TailTarget > Millis(0) &&
                                Each.second.Image != Step.Image;
                       });
}

/// Compared lexicographically; smaller is better.
using Score = std::tuple<bool, bool, std::int64_t, std::int64_t>;

Score placementScore(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  const auto &Step = *Request.Step;
  bool OutsidePreferredRack =
      !Step.PreferredRack.empty() && Vm.Rack != Step.PreferredRack;
  // A run that is lost costs more than one on another rack.
  bool Doubtful = isAvoided(Vm, Request) || Vm.History.isUnsteady(Now);
  if (Step.FillsIdleCpu)
    return {Doubtful, OutsidePreferredRack,
            // Rounded to tenths, so that imprecise estimates do not outweigh
            // idle processors.
            static_cast<std::int64_t>(expectedTail(Vm, Request, Now) * 10),
            -idleCpu(Vm)};
  if (Step.LongRunning)
    return {Doubtful, OutsidePreferredRack, otherServingTasks(Vm, Step),
            Vm.free().Cpu.value()};
  return {Doubtful, OutsidePreferredRack, 0, Vm.free().Cpu.value()};
}

/// Runs that may be preempted, cheapest first: lowest priority, then those that
/// resume from a checkpoint, then the shortest-running.
PreemptibleRuns preemptibleRuns(const VmState &Vm, int Priority) {
  PreemptibleRuns Result;
  Result.Priority = Priority;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.Stopping) {
      Result.StoppingHeld = Result.StoppingHeld + Run.Held;
    } else if (isPreemptible(Run, Priority)) {
      Result.Held = Result.Held + Run.Held;
      Result.ByCost.emplace_back(Task, &Run);
    }
  }
  std::stable_sort(Result.ByCost.begin(), Result.ByCost.end(),
                   [](const auto &A, const auto &B) {
                     auto Key = [](const Assignment &Run) {
                       return std::tuple(
                           -Run.Priority, !Run.Checkpoints,
                           -Run.AssignedAt.time_since_epoch().count());
                     };
                     return Key(*A.second) < Key(*B.second);
                   });
  return Result;
}

PreemptibleRuns &cachedPreemptibleRuns(VmState &Vm, int Priority) {
  if (!Vm.Preemptible || Vm.Preemptible->Priority != Priority)
    Vm.Preemptible = preemptibleRuns(Vm, Priority);
  PreemptibleRuns &Result = *Vm.Preemptible;
  while (Result.FirstRunning < Result.ByCost.size() &&
         Result.ByCost[Result.FirstRunning].second->Stopping)
    ++Result.FirstRunning;
  return Result;
}

} // namespace

Resources heldResources(const workload::StepDefinition &Step) {
  Resources Held = Step.Needs;
  if (Step.FillsIdleCpu)
    Held.Cpu = MilliCores(0);
  return Held;
}

bool isFeasible(const VmState &Vm, const VmRequest &Request,
                const Resources &Free, TimePoint Now) {
  if (!Vm.Worker || Vm.Worker->Draining || Vm.Evacuated ||
      Vm.Worker->Service != Request.Service || Now - Vm.LastReply > MaxSilence)
    return false;

  const auto &Step = *Request.Step;
  if (!heldResources(Step).fitsIn(Free) || !hasLabel(Vm, Step.RequiredLabel))
    return false;
  if (Step.MaxPerVm != 0 && siblingCount(Vm, Request) >= Step.MaxPerVm)
    return false;
  if (Request.LastResort)
    return true;
  // At most half of a service is lost with one VM.
  if (Step.LongRunning && siblingCount(Vm, Request) * 2 >= Step.Count + 1)
    return false;
  if (Step.LongRunning && Vm.History.isFlapping(Now))
    return false;
  return Now >= Vm.ProbationUntil || Vm.Assigned.empty();
}

VmState *chooseVm(std::vector<VmState *> &Vms, const VmRequest &Request,
                  TimePoint Now) {
  VmState *Best = nullptr;
  Score BestScore;
  for (VmState *Vm : Vms) {
    if (!Vm->Worker || !isFeasible(*Vm, Request, Vm->free(), Now))
      continue;
    if (Request.Step->FillsIdleCpu && !hasIdleCapacity(*Vm, Request, Now))
      continue;
    Score Candidate = placementScore(*Vm, Request, Now);
    if (!Best || Candidate < BestScore) {
      Best = Vm;
      BestScore = Candidate;
    }
  }

  return Best;
}

VmState *chooseReservation(std::vector<VmState *> &Vms,
                           const VmRequest &Request, TimePoint Now) {
  if (!Request.Step->LongRunning)
    return nullptr;

  VmState *Best = nullptr;
  for (VmState *Vm : Vms) {
    if (!Vm->Worker)
      continue;
    Resources FreeLater = Vm->free();
    for (const auto &[Task, Run] : Vm->Assigned)
      if (!Run.LongRunning || Run.Stopping)
        FreeLater = FreeLater + Run.Held;
    if (!isFeasible(*Vm, Request, FreeLater, Now))
      continue;
    if (!Best || Vm->free().Cpu > Best->free().Cpu)
      Best = Vm;
  }

  return Best;
}

Preemption choosePreemption(std::vector<VmState *> &Vms,
                            const VmRequest &Request, int Priority,
                            const std::map<VmId, Resources> &PreemptionClaims,
                            TimePoint Now) {
  Preemption Best;
  Resources Needed = heldResources(*Request.Step);
  for (VmState *Vm : Vms) {
    if (!Vm->Worker)
      continue;
    Resources Free = Vm->free();
    if (auto Claim = PreemptionClaims.find(Vm->Id);
        Claim != PreemptionClaims.end())
      Free = Free - Claim->second;
    const PreemptibleRuns &Runs = cachedPreemptibleRuns(*Vm, Priority);
    Free = Free + Runs.StoppingHeld;
    if (!Needed.fitsIn(Free + Runs.Held))
      continue;

    std::vector<TaskName> Victims;
    for (std::size_t I = Runs.FirstRunning;
         I < Runs.ByCost.size() && !Needed.fitsIn(Free); ++I) {
      const auto &[Task, Run] = Runs.ByCost[I];
      if (Run->Stopping)
        continue;
      Free = Free + Run->Held;
      Victims.push_back(Task);
    }
    if (!isFeasible(*Vm, Request, Free, Now))
      continue;
    if (!Best.Vm || Victims.size() < Best.Victims.size())
      Best = {Vm, std::move(Victims)};
  }

  return Best;
}

} // namespace daisyspool::scheduling
