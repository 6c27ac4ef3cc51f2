#ifndef DAISYSPOOL_BENCH_TASKFLEET_H
#define DAISYSPOOL_BENCH_TASKFLEET_H

#include "daisyspool/core/Random.h"
#include "daisyspool/evidence/evidence.h"
#include "daisyspool/interference/interference.h"
#include "daisyspool/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

namespace daisyspool::bench {

using namespace daisyspool::placement;
using evidence::JobIndex;
using evidence::Outcome;

inline constexpr Millis Tick{100};
inline constexpr std::size_t KindCount = 16;

/// Times that workers take to carry out requests, and periods of their reports.
inline constexpr Millis StartDelay{300};
inline constexpr Millis StopDelay{200};
inline constexpr Millis ThrottleDelay{100};
inline constexpr Millis CheckpointDelay{2000};
inline constexpr Millis CheckpointInterval{60000};
inline constexpr Millis ReportWindow{2000};

inline double inSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

inline Resources sizeOf(double Cores, double Gibibytes) {
  return {MilliCores(static_cast<std::int64_t>(Cores * 1000)),
          MebiBytes(static_cast<std::int64_t>(Gibibytes * 1024)),
          Accelerators(0)};
}

inline double coresOf(const Resources &Size) {
  return static_cast<double>(Size.Cpu.value()) / 1000;
}

inline double gibibytesOf(const Resources &Size) {
  return static_cast<double>(Size.Memory.value()) / 1024;
}

/// A simulated task with its actual behaviour, which is hidden from the
/// scheduler.
struct SimTask {
  TaskSpec Spec;
  JobIndex Job;
  double Cores = 1;
  double Gibibytes = 1;
  /// Time that the work takes at full speed; endless for services.
  double Seconds = 0;
  bool FailsEverywhere = false;

  enum class Phase : std::uint8_t { Waiting, Starting, Running, Ended };
  Phase CurrentPhase = Phase::Waiting;
  TimePoint Submitted;
  TimePoint RunsFrom;
  TimePoint LastCheckpoint;
  TaskIndex Index;
  Resources Charged;
  double DoneSeconds = 0;
  double CheckpointedSeconds = 0;
  std::uint32_t Attempts = 0;
  bool Throttled = false;
  std::vector<VmIndex> Avoid;

  bool isService() const { return Spec.Class == TaskClass::Session; }
};

struct AttemptEnd {
  std::size_t Id = 0;
  VmIndex Worker;
  Outcome Result = Outcome::Succeeded;
};

/// A simulated fleet under virtual time: resources, run times, a table of
/// slowdowns and delayed reports. It simulates no network.
class TaskFleet {
public:
  FleetView View;
  std::vector<SimTask> Tasks;
  /// Workers that fail everything they start.
  std::vector<VmIndex> Flaky;
  /// Excess slowdown of a service by one neighbour: [service kind][neighbour
  /// kind].
  double Excess[KindCount][KindCount] = {};
  Millis ReportLag{2000};
  /// Load of services as a fraction of their declared processors.
  double ServiceLoad = 0.4;

  double LostWork = 0;
  std::uint32_t Evictions = 0;
  std::uint32_t MemoryKills = 0;
  std::uint32_t Overcommitted = 0;
  std::vector<double> ServiceSlowdowns;

  std::size_t submit(SimTask Task, TimePoint Now) {
    Task.Submitted = Now;
    Tasks.push_back(std::move(Task));
    return Tasks.size() - 1;
  }

  void startAttempt(std::size_t Id, VmIndex Vm, const Resources &Held,
                    Millis Delay, TimePoint Now) {
    SimTask &Task = Tasks[Id];
    Task.Index = View.start(Task.Spec, Vm, Held, Now);
    if (Task.Index.index() >= IdOfIndex.size())
      IdOfIndex.resize(Task.Index.index() + 1);
    IdOfIndex[Task.Index.index()] = Id;
    Task.CurrentPhase = SimTask::Phase::Starting;
    Task.RunsFrom = Now + Delay + StartDelay;
    Task.LastCheckpoint = Task.RunsFrom;
    Task.Throttled = false;
    ++Task.Attempts;
    Active.push_back(Id);
  }

  std::size_t idOf(TaskIndex Index) const { return IdOfIndex[Index.index()]; }

  /// Ends an attempt and adds the work since its last checkpoint to LostWork.
  void endAttempt(std::size_t Id, bool Checkpoint) {
    SimTask &Task = Tasks[Id];
    if (Checkpoint)
      Task.CheckpointedSeconds = Task.DoneSeconds;
    LostWork += (Task.DoneSeconds - Task.CheckpointedSeconds) * Task.Cores;
    Task.DoneSeconds = Task.CheckpointedSeconds;
    View.stop(Task.Index);
    Task.CurrentPhase = SimTask::Phase::Waiting;
    std::erase(Active, Id);
  }

  void evict(std::size_t Id, bool Checkpoint) {
    ++Evictions;
    endAttempt(Id, Checkpoint);
    ++Tasks[Id].Spec.Evictions;
  }

  /// Advances every task by one tick.
  std::vector<AttemptEnd> advance(TimePoint Now) {
    std::vector<AttemptEnd> Ended;
    updateVmLoads();
    for (std::size_t Id : std::vector<std::size_t>(Active))
      advanceTask(Id, Now, Ended);
    killForMemory();
    for (std::size_t I = 0; I < View.vmCount(); ++I) {
      const VmState &At = View.vm(VmIndex(I));
      if (!At.Held.fitsIn(At.Capacity) || !At.Firm.fitsIn(At.Capacity))
        ++Overcommitted;
    }
    if (Now - LastWindow >= ReportWindow)
      measureServices(Now);
    return Ended;
  }

  /// Reports whose lag has passed.
  std::vector<interference::SlowdownReport> reports(TimePoint Now) {
    std::vector<interference::SlowdownReport> Due;
    while (!PendingReports.empty() &&
           PendingReports.front().To + ReportLag <= Now) {
      Due.push_back(PendingReports.front());
      PendingReports.pop_front();
    }
    return Due;
  }

  Resources used(std::size_t Id) const {
    const SimTask &Task = Tasks[Id];
    double Cores =
        Task.isService() ? ServiceLoad * declaredCores(Task) : Task.Cores;
    return sizeOf(Cores, Task.Gibibytes);
  }

  double slowdown(std::size_t Id) const {
    const SimTask &Service = Tasks[Id];
    VmIndex Vm = View.task(Service.Index).Vm;
    double Sum = 1;
    View.eachTask(Vm, [&](TaskIndex Index, const TaskState &State) {
      const SimTask &Neighbour = Tasks[IdOfIndex[Index.index()]];
      if (Neighbour.CurrentPhase == SimTask::Phase::Running)
        Sum += Excess[Service.Spec.Kind.index()][State.Kind.index()] *
               speed(Neighbour);
    });
    double Overload = LoadCores[Vm.index()] / coresOf(View.vm(Vm).Capacity);
    return Sum * std::max(1.0, Overload);
  }

  /// Work done and kept by batch tasks, in core-seconds.
  double batchWork() const {
    double Sum = 0;
    for (const SimTask &Each : Tasks)
      if (Each.Spec.Class == TaskClass::Batch)
        Sum += Each.DoneSeconds * Each.Cores;
    return Sum;
  }

  const std::vector<std::size_t> &active() const { return Active; }

private:
  static double declaredCores(const SimTask &Task) {
    return coresOf(Task.Spec.Declared);
  }

  /// Fraction of full speed under the limit that the task's worker enforces.
  double speed(const SimTask &Task) const {
    double Limit = coresOf(View.task(Task.Index).Held.unpacked());
    return std::min(1.0, Limit / Task.Cores);
  }

  void updateVmLoads() {
    LoadCores.assign(View.vmCount(), 0);
    for (std::size_t Id : Active) {
      const SimTask &Task = Tasks[Id];
      if (Task.CurrentPhase != SimTask::Phase::Running)
        continue;
      double Cores = Task.isService() ? ServiceLoad * declaredCores(Task)
                                      : Task.Cores * speed(Task);
      LoadCores[View.task(Task.Index).Vm.index()] += Cores;
    }
  }

  void advanceTask(std::size_t Id, TimePoint Now,
                   std::vector<AttemptEnd> &Ended) {
    SimTask &Task = Tasks[Id];
    VmIndex Vm = View.task(Task.Index).Vm;
    if (Task.RunsFrom > Now)
      return;
    Task.CurrentPhase = SimTask::Phase::Running;
    if (Task.isService())
      return;

    bool WorkerFails = std::find(Flaky.begin(), Flaky.end(), Vm) != Flaky.end();
    if ((WorkerFails || Task.FailsEverywhere) &&
        Now - Task.RunsFrom >= std::chrono::seconds(1)) {
      endAttempt(Id, false);
      Ended.push_back({Id, Vm, Outcome::Failed});
      return;
    }
    double Capacity = coresOf(View.vm(Vm).Capacity);
    double Share =
        std::min(1.0, Capacity / std::max(LoadCores[Vm.index()], 0.1));
    Task.DoneSeconds += inSeconds(Tick) * speed(Task) * Share;
    if (Task.DoneSeconds >= Task.Seconds) {
      Task.DoneSeconds = Task.Seconds;
      endAttempt(Id, true);
      Task.CurrentPhase = SimTask::Phase::Ended;
      Ended.push_back({Id, Vm, Outcome::Succeeded});
      return;
    }
    if (Now - Task.LastCheckpoint >= CheckpointInterval) {
      Task.LastCheckpoint = Now;
      Task.CheckpointedSeconds = Task.DoneSeconds;
      View.checkpointed(Task.Index, Now);
    }
  }

  /// A VM whose tasks use more memory than it has loses its largest batch
  /// task, as the kernel would choose.
  void killForMemory() {
    std::vector<double> Used(View.vmCount());
    for (std::size_t Id : Active)
      Used[View.task(Tasks[Id].Index).Vm.index()] += Tasks[Id].Gibibytes;
    for (std::size_t Vm = 0; Vm < Used.size(); ++Vm) {
      double Capacity = gibibytesOf(View.vm(VmIndex(Vm)).Capacity);
      if (Used[Vm] <= Capacity)
        continue;
      std::size_t Largest = Tasks.size();
      View.eachTask(VmIndex(Vm), [&](TaskIndex Index, const TaskState &) {
        std::size_t Id = IdOfIndex[Index.index()];
        bool Batch = Tasks[Id].Spec.Class == TaskClass::Batch;
        if (Batch && (Largest == Tasks.size() ||
                      Tasks[Id].Gibibytes > Tasks[Largest].Gibibytes))
          Largest = Id;
      });
      if (Largest == Tasks.size())
        continue;
      ++MemoryKills;
      endAttempt(Largest, false);
      KilledForMemory.emplace_back(Largest, VmIndex(Vm));
    }
  }

  void measureServices(TimePoint Now) {
    LastWindow = Now;
    for (std::size_t Id : Active) {
      const SimTask &Task = Tasks[Id];
      if (!Task.isService() || Task.CurrentPhase != SimTask::Phase::Running)
        continue;
      double Slowdown = slowdown(Id);
      ServiceSlowdowns.push_back(Slowdown);
      PendingReports.push_back({View.task(Task.Index).Vm, Task.Index,
                                Task.Spec.Kind,
                                interference::bandOf(ServiceLoad), Slowdown,
                                Now - ReportWindow, Now});
    }
  }

public:
  /// Tasks that were killed for memory and wait again; the caller empties it.
  std::vector<std::pair<std::size_t, VmIndex>> KilledForMemory;

private:
  std::vector<std::size_t> Active;
  std::vector<std::size_t> IdOfIndex;
  std::vector<double> LoadCores;
  std::deque<interference::SlowdownReport> PendingReports;
  TimePoint LastWindow{};
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_TASKFLEET_H
