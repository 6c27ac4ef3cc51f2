#include "daisyspool/scheduling/VmChoice.h"

#include <algorithm>
#include <tuple>

namespace daisyspool::scheduling {

namespace {

/// A VM whose agent has been silent for longer gets no new work; three times
/// the wait of a sync.
constexpr Millis MaxSilence{1500};

/// Part of a service's processors that is taken to be in use.
constexpr std::int64_t ServingUsePercent = 50;

/// No filling task is added where the tail of a service is expected beyond this
/// part of its target: it would be slowed down again at once.
constexpr double MaxTail = 0.8;

bool hasLabel(const VmState &Vm, const workload::LabelId &Label) {
  const auto &Labels = Vm.Worker->Labels;
  return Label.empty() ||
         std::find(Labels.begin(), Labels.end(), Label.str()) != Labels.end();
}

std::uint32_t siblingsOn(const VmState &Vm, const VmRequest &Request) {
  auto Found = Request.Siblings->find(Vm.Id);
  return Found == Request.Siblings->end() ? 0 : Found->second;
}

bool avoided(const VmState &Vm, const VmRequest &Request) {
  const auto &Avoid = *Request.Avoid;
  return std::find(Avoid.begin(), Avoid.end(), Vm.Id) != Avoid.end();
}

/// Processors that are not in use, as far as it can be told: services reserve
/// for their peak and are counted at a part of it.
std::int64_t idleCpu(const VmState &Vm) {
  return (Vm.free().Cpu - Vm.Filling).value() +
         Vm.ServingHeld.value() * (100 - ServingUsePercent) / 100;
}

/// The expected tail, computed once for each state of the VM: a long queue asks
/// for the same few images on every VM.
double expectedTail(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  auto [Known, New] = Vm.ExpectedTails.try_emplace(Request.Step->Image, 0);
  if (New) {
    if (!Vm.PresentTails)
      Vm.PresentTails = Request.Tails->presentTails(Vm, Now);
    Known->second =
        Request.Tails->predict(*Vm.PresentTails, Request.Step->Image, Now);
  }
  return Known->second;
}

/// Whether a filling task would get on: idle processors, and a tail of the
/// serving tasks that leaves it its speed.
bool hasIdleRoom(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  if (Request.Starved)
    return true;
  return idleCpu(Vm) >= Request.Step->Needs.Cpu.value() &&
         expectedTail(Vm, Request, Now) < MaxTail;
}

/// Serving tasks of other images.
std::int64_t strangersOn(const VmState &Vm,
                         const workload::StepDefinition &Step) {
  return std::count_if(Vm.Assigned.begin(), Vm.Assigned.end(),
                       [&](const auto &Each) {
                         return Each.second.TailTarget > Millis(0) &&
                                Each.second.Image != Step.Image;
                       });
}

/// Smaller is better.
using Score = std::tuple<bool, bool, std::int64_t, std::int64_t>;

Score scoreOf(VmState &Vm, const VmRequest &Request, TimePoint Now) {
  const auto &Step = *Request.Step;
  bool Far = !Step.PreferredRack.empty() && Vm.Rack != Step.PreferredRack;
  if (Step.FillsIdleCpu)
    return {avoided(Vm, Request), Far,
            // Steps of a tenth, so that rough figures do not outweigh idle
            // processors.
            static_cast<std::int64_t>(expectedTail(Vm, Request, Now) * 10),
            -idleCpu(Vm)};
  if (Step.LongRunning)
    return {avoided(Vm, Request), Far, strangersOn(Vm, Step),
            Vm.free().Cpu.value()};
  return {avoided(Vm, Request), Far, 0, Vm.free().Cpu.value()};
}

/// Stops that lose least first: lowest priority, then what resumes from a
/// checkpoint, then what has run shortest.
std::vector<std::pair<TaskName, const Assignment *>>
victimOrder(const VmState &Vm, int Priority) {
  std::vector<std::pair<TaskName, const Assignment *>> Result;
  for (const auto &[Task, Run] : Vm.Assigned)
    if (Run.Priority > Priority && !Run.Stopping && !Run.LongRunning)
      Result.emplace_back(Task, &Run);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto &A, const auto &B) {
                     auto Key = [](const Assignment &Run) {
                       return std::tuple(-Run.Priority, !Run.Checkpoints,
                                         -Run.Since.time_since_epoch().count());
                     };
                     return Key(*A.second) < Key(*B.second);
                   });
  return Result;
}

} // namespace

Resources heldBy(const workload::StepDefinition &Step) {
  Resources Held = Step.Needs;
  if (Step.FillsIdleCpu)
    Held.Cpu = MilliCores(0);
  return Held;
}

bool admits(const VmState &Vm, const VmRequest &Request, const Resources &Free,
            TimePoint Now) {
  if (!Vm.Worker || Vm.Worker->Draining ||
      Vm.Worker->Service != Request.Service || Now - Vm.LastReply > MaxSilence)
    return false;

  const auto &Step = *Request.Step;
  if (!heldBy(Step).fitsIn(Free) || !hasLabel(Vm, Step.RequiredLabel))
    return false;
  if (Step.MaxPerVm != 0 && siblingsOn(Vm, Request) >= Step.MaxPerVm)
    return false;
  // One lost VM takes at most half of a service.
  if (Step.LongRunning && siblingsOn(Vm, Request) * 2 >= Step.Count + 1)
    return false;
  return Now >= Vm.ProbationUntil || Vm.Assigned.empty();
}

VmState *chooseVm(std::vector<VmState *> &Vms, const VmRequest &Request,
                  TimePoint Now) {
  VmState *Best = nullptr;
  Score BestScore;
  for (VmState *Vm : Vms) {
    if (!Vm->Worker || !admits(*Vm, Request, Vm->free(), Now))
      continue;
    if (Request.Step->FillsIdleCpu && !hasIdleRoom(*Vm, Request, Now))
      continue;
    Score Candidate = scoreOf(*Vm, Request, Now);
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
    Resources Later = Vm->free();
    for (const auto &[Task, Run] : Vm->Assigned)
      if (!Run.LongRunning || Run.Stopping)
        Later = Later + Run.Held;
    if (!admits(*Vm, Request, Later, Now))
      continue;
    if (!Best || Vm->free().Cpu > Best->free().Cpu)
      Best = Vm;
  }

  return Best;
}

Preemption choosePreemption(std::vector<VmState *> &Vms,
                            const VmRequest &Request, int Priority,
                            const std::map<VmId, Resources> &Claimed,
                            TimePoint Now) {
  Preemption Best;
  Resources Needed = heldBy(*Request.Step);
  for (VmState *Vm : Vms) {
    if (!Vm->Worker)
      continue;
    Resources Free = Vm->free();
    if (auto Claim = Claimed.find(Vm->Id); Claim != Claimed.end())
      Free = Free - Claim->second;
    for (const auto &[Task, Run] : Vm->Assigned)
      if (Run.Stopping)
        Free = Free + Run.Held;

    std::vector<TaskName> Victims;
    for (const auto &[Task, Run] : victimOrder(*Vm, Priority)) {
      if (Needed.fitsIn(Free))
        break;
      Free = Free + Run->Held;
      Victims.push_back(Task);
    }
    if (!admits(*Vm, Request, Free, Now))
      continue;
    if (!Best.Vm || Victims.size() < Best.Victims.size())
      Best = {Vm, std::move(Victims)};
  }

  return Best;
}

} // namespace daisyspool::scheduling
