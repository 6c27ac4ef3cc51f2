#include "daisyspool/placement/FleetView.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace daisyspool::placement {

namespace {

constexpr Resources None{};

Resources elementwiseMin(const Resources &A, const Resources &B) {
  return {std::min(A.Cpu, B.Cpu), std::min(A.Memory, B.Memory),
          std::min(A.Accelerator, B.Accelerator)};
}

void addSigned(Resources &To, const Resources &Amount, int Sign) {
  To = Sign > 0 ? To + Amount : To - Amount;
}

std::uint32_t toDeciseconds(TimePoint At) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(At.time_since_epoch()).count() / 100);
}

enum class GroupScope : std::uint64_t { Vm, Rack, Domain };

std::uint64_t groupKey(GroupIndex Group, GroupScope Level, std::size_t Index) {
  return (static_cast<std::uint64_t>(Group.index()) << 32) |
         (static_cast<std::uint64_t>(Level) << 30) |
         static_cast<std::uint64_t>(Index);
}

/// Step of the lowest index level of each dimension: an eighth of a core,
/// 128 MiB, one accelerator.
constexpr PerDimension<std::int64_t> LevelUnits{125, 128, 1};

} // namespace

std::int64_t amount(const Resources &From, Dimension Dim) {
  return PerDimension<std::int64_t>{From.Cpu.value(), From.Memory.value(),
                                    From.Accelerator.value()}[Dim];
}

PackedResources::PackedResources(const Resources &From)
    : Cpu(static_cast<std::int32_t>(From.Cpu.value())),
      Memory(static_cast<std::int32_t>(From.Memory.value())),
      Accelerator(static_cast<std::int32_t>(From.Accelerator.value())) {}

Resources PackedResources::unpacked() const {
  return {MilliCores(Cpu), MebiBytes(Memory), Accelerators(Accelerator)};
}

Resources VmState::freeFirm() const {
  return elementwiseMin(Capacity - Firm, Capacity - Held);
}

Resources VmState::potential() const { return Capacity - Held + EvictableHeld; }

VmIndex FleetView::addVm(const VmSpec &Spec) {
  VmIndex Added(Vms.size());
  VmState New;
  New.Capacity = Spec.Capacity;
  New.Rack = Spec.Rack;
  New.Domain = Spec.Domain;
  New.Open = false;
  Vms.push_back(New);
  if (ReadyByDomain.size() <= Spec.Domain.index()) {
    ReadyByDomain.resize(Spec.Domain.index() + 1);
    TotalByDomain.resize(Spec.Domain.index() + 1);
  }
  setOpen(Added, true);
  adjustShapeCount(New, 1);

  return Added;
}

void FleetView::retire(VmIndex Vm) {
  assert(Vms[Vm.index()].Tasks == 0);
  setOpen(Vm, false);
  adjustShapeCount(Vms[Vm.index()], -1);
}

void FleetView::adjustShapeCount(const VmState &Host, int Sign) {
  auto Known = std::find_if(Shapes.begin(), Shapes.end(), [&](const Shape &S) {
    return S.Domain == Host.Domain && S.Capacity == Host.Capacity;
  });
  if (Known == Shapes.end())
    Known = Shapes.insert(Known, Shape{Host.Capacity, Host.Domain, 0});
  Known->Vms += static_cast<std::uint32_t>(Sign);
}

void FleetView::setOpen(VmIndex Vm, bool Open) {
  VmState &Host = Vms[Vm.index()];
  if (Host.Open == Open)
    return;

  int Sign = Open ? 1 : -1;
  Host.Open = Open;
  addSigned(OpenCapacity, Host.Capacity, Sign);
  addSigned(OpenHeld, Host.Held, Sign);
  TotalByDomain[Host.Domain.index()] += Sign * slotsIn(Host.Capacity);
  adjustReadySlots(Host, Sign);
  if (Open)
    reindex(Vm);
  else
    removeFromIndexes(Vm);
}

TaskIndex FleetView::start(const TaskSpec &Spec, VmIndex Vm,
                           const Resources &Held, TimePoint Now) {
  const VmState &Host = Vms[Vm.index()];
  bool FirmFits =
      Spec.Reclaimable || Spec.Declared.fitsIn(Host.Capacity - Host.Firm);
  if (!FirmFits || !Held.fitsIn(Host.freeHeld()))
    throw Overcommitted("VM " + std::to_string(Vm.index()) +
                        " would be overcommitted by starting a task");

  TaskIndex Added(Tasks.size());
  if (FreeTasks.empty()) {
    Tasks.emplace_back();
  } else {
    Added = FreeTasks.back();
    FreeTasks.pop_back();
  }
  TaskState &New = Tasks[Added.index()];
  New = TaskState{};
  New.Declared = Spec.Declared;
  New.Held = Held;
  New.Group = Spec.Group;
  New.Kind = Spec.Kind;
  New.Team = Spec.Team;
  New.Class = Spec.Class;
  New.Evictions = Spec.Evictions;
  New.Reclaimable = Spec.Reclaimable;
  New.SavedAt = toDeciseconds(Now);
  link(Added, Vm);
  adjustSums(Vm, New, Held, 1);
  adjustGroupCounts(New, 1);

  return Added;
}

void FleetView::stop(TaskIndex Task) {
  TaskState &Old = Tasks[Task.index()];
  assert(Old.Vm.valid());
  adjustSums(Old.Vm, Old, Old.Held.unpacked(), -1);
  adjustGroupCounts(Old, -1);
  unlink(Task);
  Old.Vm = VmIndex();
  FreeTasks.push_back(Task);
}

void FleetView::resize(TaskIndex Task, const Resources &Held) {
  TaskState &State = Tasks[Task.index()];
  const VmState &Host = Vms[State.Vm.index()];
  Resources Before = State.Held.unpacked();
  if (!(Host.Held - Before + Held).fitsIn(Host.Capacity))
    throw Overcommitted("VM " + std::to_string(State.Vm.index()) +
                        " would be overcommitted by resizing a task");

  adjustSums(State.Vm, State, Before, -1);
  adjustSums(State.Vm, State, Held, 1);
  State.Held = Held;
}

void FleetView::checkpointed(TaskIndex Task, TimePoint Now) {
  Tasks[Task.index()].SavedAt = toDeciseconds(Now);
}

double FleetView::lostWork(TaskIndex Task, TimePoint Now) const {
  const TaskState &State = task(Task);
  double Seconds =
      (toDeciseconds(Now) - static_cast<double>(State.SavedAt)) / 10;

  return Seconds * State.Held.Cpu / 1000;
}

std::uint32_t FleetView::groupOn(GroupIndex Group, VmIndex Vm) const {
  auto Found = GroupCounts.find(groupKey(Group, GroupScope::Vm, Vm.index()));
  return Found == GroupCounts.end() ? 0 : Found->second;
}

std::uint32_t FleetView::groupIn(GroupIndex Group, RackIndex Rack) const {
  auto Found =
      GroupCounts.find(groupKey(Group, GroupScope::Rack, Rack.index()));
  return Found == GroupCounts.end() ? 0 : Found->second;
}

std::uint32_t FleetView::groupIn(GroupIndex Group, DomainIndex Domain) const {
  auto Found =
      GroupCounts.find(groupKey(Group, GroupScope::Domain, Domain.index()));
  return Found == GroupCounts.end() ? 0 : Found->second;
}

std::int64_t FleetView::readySlots(DomainIndex Domain) const {
  return ReadyByDomain[Domain.index()];
}

std::int64_t FleetView::totalSlots(DomainIndex Domain) const {
  return TotalByDomain[Domain.index()];
}

std::int64_t FleetView::slotsIn(const Resources &Free) const {
  std::int64_t Slots = Free.Cpu.value() / ReadyUnit.Cpu.value();
  if (ReadyUnit.Memory.value() > 0)
    Slots = std::min(Slots, Free.Memory.value() / ReadyUnit.Memory.value());
  if (ReadyUnit.Accelerator.value() > 0)
    Slots = std::min(Slots,
                     Free.Accelerator.value() / ReadyUnit.Accelerator.value());

  return std::max<std::int64_t>(Slots, 0);
}

void FleetView::setReadyUnit(const Resources &Size) {
  assert(Size.Cpu.value() > 0);
  ReadyUnit = Size;
  std::fill(ReadyByDomain.begin(), ReadyByDomain.end(), 0);
  std::fill(TotalByDomain.begin(), TotalByDomain.end(), 0);
  for (const VmState &Each : Vms) {
    if (!Each.Open)
      continue;
    adjustReadySlots(Each, 1);
    TotalByDomain[Each.Domain.index()] += slotsIn(Each.Capacity);
  }
}

const BucketIndex &FleetView::byFreeHeld(Dimension Dim) const {
  return FreeHeld[Dim];
}

const BucketIndex &FleetView::byFreeFirm(Dimension Dim) const {
  return FreeFirm[Dim];
}

int FleetView::levelOf(const Resources &Amount, Dimension Dim) {
  return BucketIndex::levelOf(amount(Amount, Dim), LevelUnits[Dim]);
}

std::size_t FleetView::bytes() const {
  std::size_t Sum = Vms.capacity() * sizeof(VmState) +
                    Tasks.capacity() * sizeof(TaskState) +
                    FreeTasks.capacity() * sizeof(TaskIndex);
  for (Dimension Dim : Dimensions)
    Sum += FreeHeld[Dim].bytes() + FreeFirm[Dim].bytes();
  // A node of the hash table holds the pair, its hash link and a bucket.
  Sum += Potential.bytes() +
         GroupCounts.size() * (sizeof(std::uint64_t) * 2 + 2 * sizeof(void *));

  return Sum;
}

void FleetView::link(TaskIndex Task, VmIndex Vm) {
  VmState &Host = Vms[Vm.index()];
  TaskState &State = Tasks[Task.index()];
  State.Vm = Vm;
  State.Next = Host.First;
  if (Host.First.valid())
    Tasks[Host.First.index()].Previous = Task;
  Host.First = Task;
  ++Host.Tasks;
}

void FleetView::unlink(TaskIndex Task) {
  TaskState &State = Tasks[Task.index()];
  VmState &Host = Vms[State.Vm.index()];
  if (State.Previous.valid())
    Tasks[State.Previous.index()].Next = State.Next;
  else
    Host.First = State.Next;
  if (State.Next.valid())
    Tasks[State.Next.index()].Previous = State.Previous;
  --Host.Tasks;
}

void FleetView::adjustSums(VmIndex Vm, const TaskState &State,
                           const Resources &Held, int Sign) {
  VmState &Host = Vms[Vm.index()];
  Resources Firm = State.Reclaimable ? None : State.Declared.unpacked();
  if (Host.Open) {
    adjustReadySlots(Host, -1);
    addSigned(OpenHeld, Held, Sign);
  }

  addSigned(Host.Firm, Firm, Sign);
  addSigned(Host.Held, Held, Sign);
  if (State.evictable()) {
    addSigned(Host.EvictableFirm, Firm, Sign);
    addSigned(Host.EvictableHeld, Held, Sign);
  }

  if (Host.Open) {
    adjustReadySlots(Host, 1);
    reindex(Vm);
  }
}

void FleetView::adjustGroupCounts(const TaskState &State, int Sign) {
  if (!State.Group.valid())
    return;

  const VmState &Host = vm(State.Vm);
  for (std::uint64_t Key :
       {groupKey(State.Group, GroupScope::Vm, State.Vm.index()),
        groupKey(State.Group, GroupScope::Rack, Host.Rack.index()),
        groupKey(State.Group, GroupScope::Domain, Host.Domain.index())}) {
    auto Entry = GroupCounts.try_emplace(Key, 0).first;
    Entry->second += static_cast<std::uint32_t>(Sign);
    if (Entry->second == 0)
      GroupCounts.erase(Entry);
  }
}

void FleetView::reindex(VmIndex Vm) {
  const VmState &Host = Vms[Vm.index()];
  Resources Held = Host.freeHeld();
  Resources Firm = Host.freeFirm();
  for (Dimension Dim : Dimensions) {
    FreeHeld[Dim].update(Vm, Host.Domain, levelOf(Held, Dim));
    FreeFirm[Dim].update(Vm, Host.Domain, levelOf(Firm, Dim));
  }
  Potential.update(Vm, Host.Domain, levelOf(Host.potential(), Dimension::Cpu));
}

void FleetView::removeFromIndexes(VmIndex Vm) {
  for (Dimension Dim : Dimensions) {
    FreeHeld[Dim].remove(Vm);
    FreeFirm[Dim].remove(Vm);
  }
  Potential.remove(Vm);
}

void FleetView::adjustReadySlots(const VmState &Host, int Sign) {
  ReadyByDomain[Host.Domain.index()] += Sign * slotsIn(Host.freeFirm());
}

} // namespace daisyspool::placement
