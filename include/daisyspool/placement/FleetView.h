#ifndef DAISYSPOOL_PLACEMENT_FLEETVIEW_H
#define DAISYSPOOL_PLACEMENT_FLEETVIEW_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/placement/BucketIndex.h"
#include "daisyspool/placement/Handles.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisyspool::placement {

/// Classes of section 9 of the design, most urgent first.
enum class TaskClass : std::uint8_t { Urgent, Session, Standard, Batch };

enum class Dimension : std::uint8_t { Cpu, Memory, Accelerator };
inline constexpr std::array Dimensions{Dimension::Cpu, Dimension::Memory,
                                       Dimension::Accelerator};

/// One value for each dimension.
template <typename T> struct PerDimension {
  T Cpu;
  T Memory;
  T Accelerator;

  const T &operator[](Dimension Dim) const {
    switch (Dim) {
    case Dimension::Cpu:
      return Cpu;
    case Dimension::Memory:
      return Memory;
    case Dimension::Accelerator:
      break;
    }
    return Accelerator;
  }

  T &operator[](Dimension Dim) {
    return const_cast<T &>(std::as_const(*this)[Dim]);
  }
};

/// A task that was evicted this often is not evicted again.
inline constexpr std::uint8_t MaxEvictions = 3;

/// Thrown when a change would commit a VM beyond its capacity. The state is
/// unchanged.
class Overcommitted : public Error {
  using Error::Error;
};

/// Resources in 12 bytes, for tables with one entry per task.
struct PackedResources {
  std::int32_t Cpu = 0;
  std::int32_t Memory = 0;
  std::int32_t Accelerator = 0;

  PackedResources() = default;
  PackedResources(const Resources &From);
  Resources unpacked() const;
};

/// Properties of a task that are known before it is placed.
struct TaskSpec {
  Resources Declared;
  KindIndex Kind;
  TeamIndex Team;
  /// Valid for tasks that a spread or affinity rule counts.
  GroupIndex Group;
  TaskClass Class = TaskClass::Batch;
  /// Runs in capacity that other tasks declared but do not use.
  bool Reclaimable = false;
  std::uint8_t Evictions = 0;
};

struct VmSpec {
  Resources Capacity;
  RackIndex Rack;
  DomainIndex Domain;
};

/// One running task.
struct TaskState {
  PackedResources Declared;
  PackedResources Held;
  VmIndex Vm;
  TaskIndex Next;
  TaskIndex Previous;
  GroupIndex Group;
  /// Time of the start or the last checkpoint, in tenths of a second.
  std::uint32_t SavedAt = 0;
  KindIndex Kind;
  TeamIndex Team;
  TaskClass Class = TaskClass::Batch;
  std::uint8_t Evictions = 0;
  bool Reclaimable = false;

  bool evictable() const {
    return Class == TaskClass::Batch && Evictions < MaxEvictions;
  }
};

/// One VM. Neither of two sums exceeds Capacity: Firm, the declared sizes of
/// tasks that are not reclaimable, and Held, what all tasks hold now.
struct VmState {
  Resources Capacity;
  Resources Firm;
  Resources Held;
  /// Parts of Firm and Held that eviction can free.
  Resources EvictableFirm;
  Resources EvictableHeld;
  RackIndex Rack;
  DomainIndex Domain;
  TaskIndex First;
  std::uint32_t Tasks = 0;
  bool Open = true;

  /// Resources left for reclaimable tasks.
  Resources freeHeld() const { return Capacity - Held; }
  /// Resources left for tasks whose declared size is guaranteed.
  Resources freeFirm() const;
  /// Resources left after all permitted evictions. Less may be available to
  /// guaranteed tasks.
  Resources potential() const;
};

/// The scheduler's model of VMs and running tasks, with indexes so that a
/// placement decision examines only a few VMs. See Placer next.
///
/// The agent's ledger is the authority on commitments; this view rejects the
/// same overcommitment earlier. Thread safety: one thread at a time.
class FleetView {
public:
  FleetView() = default;
  FleetView(const FleetView &) = delete;
  FleetView &operator=(const FleetView &) = delete;

  VmIndex addVm(const VmSpec &Spec);

  /// Opens a VM to new tasks, or closes one that is draining, quarantined or
  /// dead.
  void setOpen(VmIndex Vm, bool Open);

  /// Removes a VM permanently. Precondition: it has no tasks. Its handle is not
  /// reused.
  void retire(VmIndex Vm);

  /// Records a started task that holds \p Held of its VM. Throws Overcommitted.
  TaskIndex start(const TaskSpec &Spec, VmIndex Vm, const Resources &Held,
                  TimePoint Now);

  /// Removes a task. Precondition: \p Task is running. Its handle may be
  /// reused.
  void stop(TaskIndex Task);

  /// Changes the resources that a running task holds. Throws Overcommitted.
  void resize(TaskIndex Task, const Resources &Held);

  /// Records that \p Task saved its progress at \p Now.
  void checkpointed(TaskIndex Task, TimePoint Now);

  const VmState &vm(VmIndex Vm) const { return Vms[Vm.index()]; }
  const TaskState &task(TaskIndex Task) const { return Tasks[Task.index()]; }
  std::size_t vmCount() const { return Vms.size(); }
  std::size_t taskCount() const { return Tasks.size() - FreeTasks.size(); }

  /// Calls \p Visit with the handle and state of each task on \p Vm.
  template <typename Visitor> void eachTask(VmIndex Vm, Visitor Visit) const {
    for (TaskIndex T = vm(Vm).First; T.valid();) {
      TaskIndex Next = task(T).Next;
      Visit(T, task(T));
      T = Next;
    }
  }

  /// Work since the last checkpoint of \p Task, which stopping it now would
  /// lose, in core-seconds.
  double lostWork(TaskIndex Task, TimePoint Now) const;

  /// Tasks of \p Group in a VM, rack or failure domain.
  std::uint32_t groupOn(GroupIndex Group, VmIndex Vm) const;
  std::uint32_t groupIn(GroupIndex Group, RackIndex Rack) const;
  std::uint32_t groupIn(GroupIndex Group, DomainIndex Domain) const;

  /// Sums over open VMs.
  const Resources &openCapacity() const { return OpenCapacity; }
  const Resources &openHeld() const { return OpenHeld; }

  /// Distinct pairs of capacity and failure domain, and the VMs of each, open
  /// or not, so that a check that some VM could fit needs no scan.
  struct Shape {
    Resources Capacity;
    DomainIndex Domain;
    std::uint32_t Vms = 0;
  };
  const std::vector<Shape> &shapes() const { return Shapes; }

  /// Starts of size readyUnit() that fit in the open VMs of a failure domain
  /// now, and when these VMs are empty.
  std::int64_t readySlots(DomainIndex Domain) const;
  std::int64_t totalSlots(DomainIndex Domain) const;
  std::size_t domainCount() const { return ReadyByDomain.size(); }
  const Resources &readyUnit() const { return ReadyUnit; }
  /// Starts of the ready unit that fit in \p Free.
  std::int64_t slotsIn(const Resources &Free) const;
  /// Sets the size in which ready slots are counted. O(number of VMs).
  void setReadyUnit(const Resources &Size);

  const BucketIndex &byFreeHeld(Dimension Dim) const;
  const BucketIndex &byFreeFirm(Dimension Dim) const;
  const BucketIndex &byPotential() const { return Potential; }
  static int levelOf(const Resources &Amount, Dimension Dim);

  std::size_t bytes() const;

private:
  void link(TaskIndex Task, VmIndex Vm);
  void unlink(TaskIndex Task);
  void adjustSums(VmIndex Vm, const TaskState &State, const Resources &Held,
                  int Sign);
  void adjustGroupCounts(const TaskState &State, int Sign);
  void reindex(VmIndex Vm);
  void removeFromIndexes(VmIndex Vm);
  void adjustReadySlots(const VmState &Host, int Sign);
  void adjustShapeCount(const VmState &Host, int Sign);

  std::vector<VmState> Vms;
  std::vector<TaskState> Tasks;
  std::vector<TaskIndex> FreeTasks;
  PerDimension<BucketIndex> FreeHeld;
  PerDimension<BucketIndex> FreeFirm;
  BucketIndex Potential;
  std::unordered_map<std::uint64_t, std::uint32_t> GroupCounts;
  std::vector<Shape> Shapes;
  std::vector<std::int64_t> ReadyByDomain;
  std::vector<std::int64_t> TotalByDomain;
  Resources ReadyUnit{MilliCores(1000), MebiBytes(1024), Accelerators(0)};
  Resources OpenCapacity;
  Resources OpenHeld;
};

/// The amount of \p Dim in \p From.
std::int64_t amount(const Resources &From, Dimension Dim);

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_FLEETVIEW_H
