#include "daisyspool/placement/FleetView.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace daisyspool::placement {

namespace {

constexpr Resources None{};

Resources smaller(const Resources &A, const Resources &B) {
  return {std::min(A.Cpu, B.Cpu), std::min(A.Memory, B.Memory),
          std::min(A.Accelerator, B.Accelerator)};
}

void add(Resources &To, const Resources &Amount, int Sign) {
  To = Sign > 0 ? To + Amount : To - Amount;
}

std::uint32_t tenths(TimePoint At) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(At.time_since_epoch()).count() / 100);
}

enum class Scope : std::uint64_t { Vm, Rack, Domain };

std::uint64_t groupKey(GroupIndex Group, Scope In, std::size_t Place) {
  return (static_cast<std::uint64_t>(Group.index()) << 32) |
         (static_cast<std::uint64_t>(In) << 30) |
         static_cast<std::uint64_t>(Place);
}

/// Step of the lowest index level of each dimension: an eighth of a core,
/// 128 MiB, one accelerator.
constexpr std::array<std::int64_t, DimensionCount> LevelUnits{125, 128, 1};

} // namespace

std::int64_t amount(const Resources &From, Dimension Of) {
  switch (Of) {
  case Dimension::Cpu:
    return From.Cpu.value();
  case Dimension::Memory:
    return From.Memory.value();
  case Dimension::Accelerator:
    return From.Accelerator.value();
  }
  return 0;
}

PackedResources::PackedResources(const Resources &From)
    : Cpu(static_cast<std::int32_t>(From.Cpu.value())),
      Memory(static_cast<std::int32_t>(From.Memory.value())),
      Accelerator(static_cast<std::int32_t>(From.Accelerator.value())) {}

Resources PackedResources::unpacked() const {
  return {MilliCores(Cpu), MebiBytes(Memory), Accelerators(Accelerator)};
}

Resources VmState::freeFirm() const {
  return smaller(Capacity - Firm, Capacity - Held);
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
  if (Ready.size() <= Spec.Domain.index()) {
    Ready.resize(Spec.Domain.index() + 1);
    Total.resize(Spec.Domain.index() + 1);
  }
  setOpen(Added, true);
  countShape(New, 1);

  return Added;
}

void FleetView::retire(VmIndex Vm) {
  assert(Vms[Vm.index()].Tasks == 0);
  setOpen(Vm, false);
  countShape(Vms[Vm.index()], -1);
}

void FleetView::countShape(const VmState &Of, int Sign) {
  auto Known = std::find_if(Shapes.begin(), Shapes.end(), [&](const Shape &S) {
    return S.Domain == Of.Domain && S.Capacity == Of.Capacity;
  });
  if (Known == Shapes.end())
    Known = Shapes.insert(Known, Shape{Of.Capacity, Of.Domain, 0});
  Known->Vms += static_cast<std::uint32_t>(Sign);
}

void FleetView::setOpen(VmIndex Vm, bool Open) {
  VmState &At = Vms[Vm.index()];
  if (At.Open == Open)
    return;

  int Sign = Open ? 1 : -1;
  At.Open = Open;
  add(OpenCapacity, At.Capacity, Sign);
  add(OpenHeld, At.Held, Sign);
  Total[At.Domain.index()] += Sign * slotsIn(At.Capacity);
  countReady(At, Sign);
  if (Open)
    reindex(Vm);
  else
    withdraw(Vm);
}

TaskIndex FleetView::start(const TaskSpec &Spec, VmIndex Vm,
                           const Resources &Held, TimePoint Now) {
  const VmState &At = Vms[Vm.index()];
  bool FirmFits =
      Spec.Reclaimable || Spec.Declared.fitsIn(At.Capacity - At.Firm);
  if (!FirmFits || !Held.fitsIn(At.freeHeld()))
    throw Overcommitted("VM " + std::to_string(Vm.index()) +
                        " has no room for the task");

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
  New.SavedAt = tenths(Now);
  link(Added, Vm);
  account(Vm, New, Held, 1);
  countGroup(New, 1);

  return Added;
}

void FleetView::stop(TaskIndex Task) {
  TaskState &Old = Tasks[Task.index()];
  assert(Old.Vm.valid());
  account(Old.Vm, Old, Old.Held.unpacked(), -1);
  countGroup(Old, -1);
  unlink(Task);
  Old.Vm = VmIndex();
  FreeTasks.push_back(Task);
}

void FleetView::resize(TaskIndex Task, const Resources &Held) {
  TaskState &Of = Tasks[Task.index()];
  const VmState &At = Vms[Of.Vm.index()];
  Resources Before = Of.Held.unpacked();
  if (!(At.Held - Before + Held).fitsIn(At.Capacity))
    throw Overcommitted("VM " + std::to_string(Of.Vm.index()) +
                        " has no room for the growth of a task");

  account(Of.Vm, Of, Before, -1);
  account(Of.Vm, Of, Held, 1);
  Of.Held = Held;
}

void FleetView::checkpointed(TaskIndex Task, TimePoint Now) {
  Tasks[Task.index()].SavedAt = tenths(Now);
}

double FleetView::lostWork(TaskIndex Task, TimePoint Now) const {
  const TaskState &Of = task(Task);
  double Seconds = (tenths(Now) - static_cast<double>(Of.SavedAt)) / 10;

  return Seconds * Of.Held.Cpu / 1000;
}

std::uint32_t FleetView::groupOn(GroupIndex Group, VmIndex Vm) const {
  auto At = GroupCounts.find(groupKey(Group, Scope::Vm, Vm.index()));
  return At == GroupCounts.end() ? 0 : At->second;
}

std::uint32_t FleetView::groupIn(GroupIndex Group, RackIndex Rack) const {
  auto At = GroupCounts.find(groupKey(Group, Scope::Rack, Rack.index()));
  return At == GroupCounts.end() ? 0 : At->second;
}

std::uint32_t FleetView::groupIn(GroupIndex Group, DomainIndex Domain) const {
  auto At = GroupCounts.find(groupKey(Group, Scope::Domain, Domain.index()));
  return At == GroupCounts.end() ? 0 : At->second;
}

std::int64_t FleetView::readySlots(DomainIndex Domain) const {
  return Ready[Domain.index()];
}

std::int64_t FleetView::totalSlots(DomainIndex Domain) const {
  return Total[Domain.index()];
}

std::int64_t FleetView::slotsIn(const Resources &Free) const {
  std::int64_t Slots = Free.Cpu.value() / Unit.Cpu.value();
  if (Unit.Memory.value() > 0)
    Slots = std::min(Slots, Free.Memory.value() / Unit.Memory.value());
  if (Unit.Accelerator.value() > 0)
    Slots =
        std::min(Slots, Free.Accelerator.value() / Unit.Accelerator.value());

  return std::max<std::int64_t>(Slots, 0);
}

void FleetView::setReadyUnit(const Resources &Size) {
  assert(Size.Cpu.value() > 0);
  Unit = Size;
  std::fill(Ready.begin(), Ready.end(), 0);
  std::fill(Total.begin(), Total.end(), 0);
  for (const VmState &Each : Vms) {
    if (!Each.Open)
      continue;
    countReady(Each, 1);
    Total[Each.Domain.index()] += slotsIn(Each.Capacity);
  }
}

const BucketIndex &FleetView::byFreeHeld(Dimension Of) const {
  return FreeHeld[static_cast<std::size_t>(Of)];
}

const BucketIndex &FleetView::byFreeFirm(Dimension Of) const {
  return FreeFirm[static_cast<std::size_t>(Of)];
}

int FleetView::levelOf(const Resources &Amount, Dimension Of) {
  return BucketIndex::levelOf(amount(Amount, Of),
                              LevelUnits[static_cast<std::size_t>(Of)]);
}

std::size_t FleetView::bytes() const {
  std::size_t Sum = Vms.capacity() * sizeof(VmState) +
                    Tasks.capacity() * sizeof(TaskState) +
                    FreeTasks.capacity() * sizeof(TaskIndex);
  for (std::size_t I = 0; I < DimensionCount; ++I)
    Sum += FreeHeld[I].bytes() + FreeFirm[I].bytes();
  // A node of the hash table holds the pair, its hash link and a bucket.
  Sum += Potential.bytes() +
         GroupCounts.size() * (sizeof(std::uint64_t) * 2 + 2 * sizeof(void *));

  return Sum;
}

void FleetView::link(TaskIndex Task, VmIndex Vm) {
  VmState &At = Vms[Vm.index()];
  TaskState &Of = Tasks[Task.index()];
  Of.Vm = Vm;
  Of.Next = At.First;
  if (At.First.valid())
    Tasks[At.First.index()].Previous = Task;
  At.First = Task;
  ++At.Tasks;
}

void FleetView::unlink(TaskIndex Task) {
  TaskState &Of = Tasks[Task.index()];
  VmState &At = Vms[Of.Vm.index()];
  if (Of.Previous.valid())
    Tasks[Of.Previous.index()].Next = Of.Next;
  else
    At.First = Of.Next;
  if (Of.Next.valid())
    Tasks[Of.Next.index()].Previous = Of.Previous;
  --At.Tasks;
}

void FleetView::account(VmIndex Vm, const TaskState &Of, const Resources &Held,
                        int Sign) {
  VmState &At = Vms[Vm.index()];
  Resources Firm = Of.Reclaimable ? None : Of.Declared.unpacked();
  if (At.Open) {
    countReady(At, -1);
    add(OpenHeld, Held, Sign);
  }

  add(At.Firm, Firm, Sign);
  add(At.Held, Held, Sign);
  if (Of.evictable()) {
    add(At.EvictableFirm, Firm, Sign);
    add(At.EvictableHeld, Held, Sign);
  }

  if (At.Open) {
    countReady(At, 1);
    reindex(Vm);
  }
}

void FleetView::countGroup(const TaskState &Of, int Sign) {
  if (!Of.Group.valid())
    return;

  const VmState &At = vm(Of.Vm);
  for (std::uint64_t Key :
       {groupKey(Of.Group, Scope::Vm, Of.Vm.index()),
        groupKey(Of.Group, Scope::Rack, At.Rack.index()),
        groupKey(Of.Group, Scope::Domain, At.Domain.index())}) {
    auto Entry = GroupCounts.try_emplace(Key, 0).first;
    Entry->second += static_cast<std::uint32_t>(Sign);
    if (Entry->second == 0)
      GroupCounts.erase(Entry);
  }
}

void FleetView::reindex(VmIndex Vm) {
  const VmState &At = Vms[Vm.index()];
  Resources Held = At.freeHeld();
  Resources Firm = At.freeFirm();
  for (std::size_t I = 0; I < DimensionCount; ++I) {
    auto Of = static_cast<Dimension>(I);
    FreeHeld[I].update(Vm, At.Domain, levelOf(Held, Of));
    FreeFirm[I].update(Vm, At.Domain, levelOf(Firm, Of));
  }
  Potential.update(Vm, At.Domain, levelOf(At.potential(), Dimension::Cpu));
}

void FleetView::withdraw(VmIndex Vm) {
  for (std::size_t I = 0; I < DimensionCount; ++I) {
    FreeHeld[I].remove(Vm);
    FreeFirm[I].remove(Vm);
  }
  Potential.remove(Vm);
}

void FleetView::countReady(const VmState &Of, int Sign) {
  Ready[Of.Domain.index()] += Sign * slotsIn(Of.freeFirm());
}

} // namespace daisyspool::placement
