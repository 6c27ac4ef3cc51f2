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

/// Delays of the worker's interface.
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

/// A task and its true behaviour, which the scheduler does not see.
struct FakeTask {
  TaskSpec Spec;
  JobIndex Job;
  double Cores = 1;
  double Gibibytes = 1;
  /// Time that the work takes at full speed; endless for services.
  double Seconds = 0;
  bool FailsEverywhere = false;

  enum class Phase : std::uint8_t { Waiting, Starting, Running, Ended };
  Phase At = Phase::Waiting;
  TimePoint Submitted;
  TimePoint RunsFrom;
  TimePoint LastSave;
  TaskIndex Index;
  Resources Charged;
  double Done = 0;
  double Saved = 0;
  std::uint32_t Attempts = 0;
  bool Throttled = false;
  std::vector<VmIndex> Avoid;

  bool service() const { return Spec.Class == TaskClass::Session; }
};

struct FakeEnd {
  std::size_t Id = 0;
  VmIndex Worker;
  Outcome How = Outcome::Succeeded;
};

/// A small fleet under virtual time: resources, run times, a table of
/// slowdowns and reports that lag. There is no network.
class TaskFleet {
public:
  FleetView View;
  std::vector<FakeTask> Tasks;
  /// Workers that fail everything they start.
  std::vector<VmIndex> Flaky;
  /// Excess slowdown of a service by one neighbour, by kinds.
  double Excess[KindCount][KindCount] = {};
  Millis ReportLag{2000};
  /// Load of services as a part of their declared processors.
  double ServiceLoad = 0.4;

  double LostWork = 0;
  std::uint32_t Evictions = 0;
  std::uint32_t MemoryKills = 0;
  std::uint32_t Overcommitted = 0;
  std::vector<double> ServiceSlowdowns;

  std::size_t submit(FakeTask Task, TimePoint Now) {
    Task.Submitted = Now;
    Tasks.push_back(std::move(Task));
    return Tasks.size() - 1;
  }

  void begin(std::size_t Id, VmIndex Vm, const Resources &Held, Millis Delay,
             TimePoint Now) {
    FakeTask &Of = Tasks[Id];
    Of.Index = View.start(Of.Spec, Vm, Held, Now);
    if (Of.Index.index() >= IdOf.size())
      IdOf.resize(Of.Index.index() + 1);
    IdOf[Of.Index.index()] = Id;
    Of.At = FakeTask::Phase::Starting;
    Of.RunsFrom = Now + Delay + StartDelay;
    Of.LastSave = Of.RunsFrom;
    Of.Throttled = false;
    ++Of.Attempts;
    Active.push_back(Id);
  }

  std::size_t idOf(TaskIndex Index) const { return IdOf[Index.index()]; }

  /// Ends an attempt and counts the work that is lost.
  void take(std::size_t Id, bool Checkpoint) {
    FakeTask &Of = Tasks[Id];
    if (Checkpoint)
      Of.Saved = Of.Done;
    LostWork += (Of.Done - Of.Saved) * Of.Cores;
    Of.Done = Of.Saved;
    View.stop(Of.Index);
    Of.At = FakeTask::Phase::Waiting;
    std::erase(Active, Id);
  }

  void evict(std::size_t Id, bool Checkpoint) {
    ++Evictions;
    take(Id, Checkpoint);
    ++Tasks[Id].Spec.Evictions;
  }

  /// Advances every task by one tick.
  std::vector<FakeEnd> advance(TimePoint Now) {
    std::vector<FakeEnd> Ended;
    loadVms();
    for (std::size_t Id : std::vector<std::size_t>(Active))
      advanceTask(Id, Now, Ended);
    killForMemory();
    for (std::size_t I = 0; I < View.vmCount(); ++I) {
      const VmState &At = View.vm(VmIndex(I));
      if (!At.Held.fitsIn(At.Capacity) || !At.Firm.fitsIn(At.Capacity))
        ++Overcommitted;
    }
    if (Now - LastWindow >= ReportWindow)
      measure(Now);
    return Ended;
  }

  /// Reports whose lag has passed.
  std::vector<interference::SlowdownReport> reports(TimePoint Now) {
    std::vector<interference::SlowdownReport> Due;
    while (!Pending.empty() && Pending.front().To + ReportLag <= Now) {
      Due.push_back(Pending.front());
      Pending.pop_front();
    }
    return Due;
  }

  Resources used(std::size_t Id) const {
    const FakeTask &Of = Tasks[Id];
    double Cores = Of.service() ? ServiceLoad * declaredCores(Of) : Of.Cores;
    return sizeOf(Cores, Of.Gibibytes);
  }

  double slowdown(std::size_t Id) const {
    const FakeTask &Service = Tasks[Id];
    VmIndex Vm = View.task(Service.Index).Vm;
    double Sum = 1;
    View.eachTask(Vm, [&](TaskIndex Index, const TaskState &Of) {
      const FakeTask &Neighbour = Tasks[IdOf[Index.index()]];
      if (Neighbour.At == FakeTask::Phase::Running)
        Sum += Excess[Service.Spec.Kind.index()][Of.Kind.index()] *
               speed(Neighbour);
    });
    double Overload = Load[Vm.index()] / coresOf(View.vm(Vm).Capacity);
    return Sum * std::max(1.0, Overload);
  }

  /// Work done and kept by batch tasks, in core-seconds.
  double batchWork() const {
    double Sum = 0;
    for (const FakeTask &Each : Tasks)
      if (Each.Spec.Class == TaskClass::Batch)
        Sum += Each.Done * Each.Cores;
    return Sum;
  }

  const std::vector<std::size_t> &active() const { return Active; }

private:
  static double declaredCores(const FakeTask &Of) {
    return coresOf(Of.Spec.Declared);
  }

  /// Part of full speed under the limit that the task's worker enforces.
  double speed(const FakeTask &Of) const {
    double Limit = coresOf(View.task(Of.Index).Held.unpacked());
    return std::min(1.0, Limit / Of.Cores);
  }

  void loadVms() {
    Load.assign(View.vmCount(), 0);
    for (std::size_t Id : Active) {
      const FakeTask &Of = Tasks[Id];
      if (Of.At != FakeTask::Phase::Running)
        continue;
      double Cores =
          Of.service() ? ServiceLoad * declaredCores(Of) : Of.Cores * speed(Of);
      Load[View.task(Of.Index).Vm.index()] += Cores;
    }
  }

  void advanceTask(std::size_t Id, TimePoint Now, std::vector<FakeEnd> &Ended) {
    FakeTask &Of = Tasks[Id];
    VmIndex Vm = View.task(Of.Index).Vm;
    if (Of.RunsFrom > Now)
      return;
    Of.At = FakeTask::Phase::Running;
    if (Of.service())
      return;

    bool WorkerFails = std::find(Flaky.begin(), Flaky.end(), Vm) != Flaky.end();
    if ((WorkerFails || Of.FailsEverywhere) &&
        Now - Of.RunsFrom >= std::chrono::seconds(1)) {
      take(Id, false);
      Ended.push_back({Id, Vm, Outcome::Failed});
      return;
    }
    double Capacity = coresOf(View.vm(Vm).Capacity);
    double Share = std::min(1.0, Capacity / std::max(Load[Vm.index()], 0.1));
    Of.Done += inSeconds(Tick) * speed(Of) * Share;
    if (Of.Done >= Of.Seconds) {
      Of.Done = Of.Seconds;
      take(Id, true);
      Of.At = FakeTask::Phase::Ended;
      Ended.push_back({Id, Vm, Outcome::Succeeded});
      return;
    }
    if (Now - Of.LastSave >= CheckpointInterval) {
      Of.LastSave = Now;
      Of.Saved = Of.Done;
      View.checkpointed(Of.Index, Now);
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
        std::size_t Id = IdOf[Index.index()];
        bool Batch = Tasks[Id].Spec.Class == TaskClass::Batch;
        if (Batch && (Largest == Tasks.size() ||
                      Tasks[Id].Gibibytes > Tasks[Largest].Gibibytes))
          Largest = Id;
      });
      if (Largest == Tasks.size())
        continue;
      ++MemoryKills;
      take(Largest, false);
      Killed.emplace_back(Largest, VmIndex(Vm));
    }
  }

  void measure(TimePoint Now) {
    LastWindow = Now;
    for (std::size_t Id : Active) {
      const FakeTask &Of = Tasks[Id];
      if (!Of.service() || Of.At != FakeTask::Phase::Running)
        continue;
      double Slow = slowdown(Id);
      ServiceSlowdowns.push_back(Slow);
      Pending.push_back({View.task(Of.Index).Vm, Of.Index, Of.Spec.Kind,
                         interference::bandOf(ServiceLoad), Slow,
                         Now - ReportWindow, Now});
    }
  }

public:
  /// Tasks that were killed for memory and wait again; the caller empties it.
  std::vector<std::pair<std::size_t, VmIndex>> Killed;

private:
  std::vector<std::size_t> Active;
  std::vector<std::size_t> IdOf;
  std::vector<double> Load;
  std::deque<interference::SlowdownReport> Pending;
  TimePoint LastWindow{};
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_TASKFLEET_H
