#include "daisyspool/entry/TaskPlacer.h"

#include <algorithm>

namespace daisyspool {

namespace {

double freeShare(std::int64_t Free, std::int64_t Total) {
  return Total == 0 ? 1.0
                    : static_cast<double>(Free) / static_cast<double>(Total);
}

/// The free share of the resource that has the smallest one.
double smallestFreeShare(const Resources &Free, const Resources &Capacity) {
  return std::min(
      {freeShare(Free.Cpu.value(), Capacity.Cpu.value()),
       freeShare(Free.Memory.value(), Capacity.Memory.value()),
       freeShare(Free.Accelerator.value(), Capacity.Accelerator.value())});
}

} // namespace

void TaskPlacer::setFleet(std::vector<PlaceableVm> Vms) {
  Fleet.clear();
  for (PlaceableVm &Each : Vms) {
    VmId Id = Each.Vm;
    Fleet.emplace(std::move(Id), std::move(Each));
  }
}

void TaskPlacer::countHeld(const JobTable &Table) {
  Held.clear();
  for (const TaskId &Task : Table.live())
    if (const TaskState *State = Table.task(Task)) {
      Resources &OnVm = Held[State->Vm];
      OnVm = OnVm + State->Spec.Need;
    }
}

std::optional<VmId>
TaskPlacer::chooseVm(const Resources &Need,
                     const std::map<VmId, AgentGrant> &Grants) {
  std::optional<VmId> Best;
  double BestShare = -1;
  for (const auto &[Vm, Grant] : Grants) {
    auto Known = Fleet.find(Vm);
    if (Known == Fleet.end())
      continue;
    const Resources &Capacity = Known->second.Capacity;
    Resources After = Held[Vm] + Need;
    if (!After.fitsIn(Capacity))
      continue;
    double Share = smallestFreeShare(Capacity - After, Capacity);
    if (Share > BestShare) {
      BestShare = Share;
      Best = Vm;
    }
  }

  if (Best)
    Held[*Best] = Held[*Best] + Need;
  return Best;
}

} // namespace daisyspool
