#ifndef DAISYSPOOL_BENCH_SIMSCHEDULER_H
#define DAISYSPOOL_BENCH_SIMSCHEDULER_H

#include "TaskFleet.h"

#include "daisyspool/quota/quota.h"

#include <array>
#include <string>

namespace daisyspool::bench {

enum class NoisePolicy : std::uint8_t { Ignore, EvictLargest, Learned };

/// A scheduler variant. The defaults match the product.
struct Policy {
  std::string Name = "daisyspool";
  bool FirstFit = false;
  /// For first fit: evicts batch tasks from the first VM where that makes room.
  bool Preempt = true;
  NoisePolicy Noise = NoisePolicy::Learned;
  bool Evidence = true;
  bool Quota = true;
  /// Keeps capacity free for urgent starts.
  bool Reserve = true;
  /// Sizes tasks by their learned usage, and lends the resources that services
  /// do not use.
  bool Lending = true;
};

inline constexpr std::size_t TeamCount = 74;

/// Schedules tasks on a TaskFleet as one variant does.
class SimScheduler {
public:
  TaskFleet Fleet;
  std::vector<double> UrgentStarts;
  std::uint32_t NoiseEvictions = 0;
  std::uint32_t InnocentNoiseEvictions = 0;
  std::uint32_t FailedAttempts = 0;
  std::uint32_t EndedTasks = 0;
  std::uint32_t Succeeded = 0;
  std::uint32_t GoodTasksEnded = 0;
  std::size_t MostQuarantined = 0;
  std::uint32_t GoodQuarantined = 0;
  std::array<double, TeamCount> TeamCoreSeconds{};
  /// Core-seconds that the quota guarantees to one team.
  double GuaranteedCoreSeconds = 0;
  PlacementRules Rules;

  explicit SimScheduler(Policy Variant)
      : Variant(std::move(Variant)), Reserve(reserveOptions(this->Variant)),
        Ledger(sizeOf(1, 1)),
        TaskPlacer({}, Usage, Reserve,
                   this->Variant.Noise == NoisePolicy::Learned ? &Model
                                                               : nullptr,
                   this->Variant.Quota ? &Ledger : nullptr) {
    for (std::size_t I = 0; I < TeamCount; ++I)
      Ledger.addTeam(1000 / TeamCount);
  }

  std::size_t submit(SimTask Task, TimePoint Now) {
    bool Urgent = Task.Spec.Class != TaskClass::Batch;
    std::size_t Team = Task.Spec.Team.index();
    Task.Spec.Reclaimable = Task.Spec.Reclaimable && Variant.Lending;
    std::size_t Id = Fleet.submit(std::move(Task), Now);
    if (Urgent)
      UrgentQueue.push_back(Id);
    else
      Queues[Variant.Quota ? Team : 0].push_back(Id);
    return Id;
  }

  /// Waiting batch tasks of the kinds below \p FirstNotCounted.
  std::size_t waitingBatch(KindIndex FirstNotCounted) const {
    std::size_t Sum = 0;
    for (const auto &Queue : Queues)
      for (std::size_t Id : Queue)
        Sum += Fleet.Tasks[Id].Spec.Kind < FirstNotCounted ? 1 : 0;
    return Sum;
  }

  /// Adds the age of each urgent task that never started to UrgentStarts.
  void recordWaitingUrgent(TimePoint Now) {
    for (std::size_t Id : UrgentQueue)
      if (Fleet.Tasks[Id].Spec.Class == TaskClass::Urgent &&
          Fleet.Tasks[Id].Attempts == 0)
        UrgentStarts.push_back(inSeconds(Now - Fleet.Tasks[Id].Submitted) *
                               1000);
  }

  void cancelJob(JobIndex Job) {
    Evidence.cancelJob(Job);
    for (auto &Queue : Queues)
      std::erase_if(Queue,
                    [&](std::size_t Id) { return Fleet.Tasks[Id].Job == Job; });
  }

  /// Fails the VM; its tasks restart from their checkpoints.
  void failVm(VmIndex Vm, TimePoint Now) {
    std::vector<std::size_t> Lost;
    Fleet.View.eachTask(Vm, [&](TaskIndex Index, const TaskState &) {
      Lost.push_back(Fleet.idOf(Index));
    });
    Fleet.View.setOpen(Vm, false);
    for (std::size_t Id : Lost) {
      beforeTaskLeaves(Id, Now);
      Fleet.endAttempt(Id, false);
      requeue(Id);
    }
  }

  /// Runs one tick: ended attempts, reports, usage updates and placement.
  void step(TimePoint Now) {
    for (const AttemptEnd &Each : Fleet.advance(Now))
      onEnd(Each, Now);
    for (const auto &[Id, Vm] : Fleet.KilledForMemory) {
      onTaskLeft(Id, Vm, Now);
      requeue(Id);
    }
    Fleet.KilledForMemory.clear();
    releaseQuarantines(Now);
    for (const auto &Each : Fleet.reports(Now))
      onReport(Each, Now);
    evictDue(Now);
    if (Now - LastUsageUpdate >= std::chrono::seconds(1))
      updateUsage(Now);
    placeUrgent(Now);
    placeBatch(Now);
    GuaranteedCoreSeconds += inSeconds(Tick) *
                             Ledger.guaranteedShare(TeamIndex(0)) *
                             coresOf(BatchCapacity);
    for (std::size_t Id : Fleet.active())
      TeamCoreSeconds[Fleet.Tasks[Id].Spec.Team.index()] +=
          Fleet.Tasks[Id].Spec.Class == TaskClass::Batch
              ? inSeconds(Tick) * coresOf(Fleet.Tasks[Id].Charged)
              : 0;
  }

private:
  struct PendingEviction {
    std::size_t Id;
    std::uint32_t Attempt;
    TimePoint DueAt;
    bool Innocent;
  };

  static UrgentReserve::Options reserveOptions(const Policy &Variant) {
    UrgentReserve::Options Options;
    if (!Variant.Reserve) {
      Options.MinSlots = 0;
      Options.MaxShare = 0;
    }
    return Options;
  }

  void requeue(std::size_t Id) {
    SimTask &Task = Fleet.Tasks[Id];
    if (Task.Spec.Class != TaskClass::Batch)
      UrgentQueue.push_front(Id);
    else
      Queues[Variant.Quota ? Task.Spec.Team.index() : 0].push_front(Id);
  }

  void releaseQuota(std::size_t Id) {
    SimTask &Task = Fleet.Tasks[Id];
    if (Task.Spec.Class == TaskClass::Batch && Variant.Quota)
      Ledger.giveBack(Task.Spec.Team, Task.Charged,
                      Task.Spec.Evictions < MaxEvictions);
    Task.Charged = {};
  }

  /// Updates history, throttling and quota before a task leaves its VM.
  void beforeTaskLeaves(std::size_t Id, TimePoint Now) {
    SimTask &Task = Fleet.Tasks[Id];
    VmIndex Vm = Fleet.View.task(Task.Index).Vm;
    onTaskLeft(Id, Vm, Now);
  }

  /// Updates history, throttling and quota for a task that left \p Vm.
  void onTaskLeft(std::size_t Id, VmIndex Vm, TimePoint Now) {
    TaskIndex Index = Fleet.Tasks[Id].Index;
    History.leave(Vm, Index, Now);
    for (TaskIndex Each : Responder.onTaskGone(Vm, Index))
      if (Fleet.View.task(Each).Vm == Vm)
        setThrottled(Each, false, Now);
    releaseQuota(Id);
  }

  void evict(std::size_t Id, bool Checkpoint, TimePoint Now) {
    beforeTaskLeaves(Id, Now);
    Fleet.evict(Id, Checkpoint);
    requeue(Id);
  }

  void onEnd(const AttemptEnd &End, TimePoint Now) {
    SimTask &Task = Fleet.Tasks[End.Id];
    onTaskLeft(End.Id, End.Worker, Now);
    if (Task.Spec.Class != TaskClass::Batch)
      return;
    if (End.Result == Outcome::Succeeded)
      ++Succeeded;
    else
      ++FailedAttempts;
    if (!Variant.Evidence) {
      if (End.Result == Outcome::Failed)
        Queues[Variant.Quota ? Task.Spec.Team.index() : 0].push_back(End.Id);
      return;
    }

    Evidence.setWorkerCount(static_cast<std::uint32_t>(Fleet.View.vmCount()));
    auto Finding = Evidence.record(
        {evidence::TaskHandle(End.Id), Task.Job, End.Worker, End.Result}, Now);
    Task.Avoid = Finding.Avoid;
    closeQuarantined(Finding);
    if (End.Result == Outcome::Succeeded)
      return;
    if (!Finding.End) {
      requeue(End.Id);
      return;
    }
    ++EndedTasks;
    if (!Task.FailsEverywhere &&
        !std::holds_alternative<evidence::CancelledByCaller>(*Finding.End))
      ++GoodTasksEnded;
  }

  /// Closes the VMs of workers that \p Finding puts into quarantine.
  void closeQuarantined(const evidence::Finding &Finding) {
    for (const auto &Each : Finding.Quarantined) {
      Fleet.View.setOpen(Each.Worker, false);
      bool Flaky = std::find(Fleet.Flaky.begin(), Fleet.Flaky.end(),
                             Each.Worker) != Fleet.Flaky.end();
      if (!Flaky)
        ++GoodQuarantined;
    }
    MostQuarantined = std::max(MostQuarantined, Evidence.quarantinedCount());
  }

  void releaseQuarantines(TimePoint Now) {
    if (!Variant.Evidence)
      return;
    for (VmIndex Each : Evidence.release(Now))
      Fleet.View.setOpen(Each, true);
  }

  void onReport(const interference::SlowdownReport &Report, TimePoint Now) {
    if (Fleet.View.task(Report.Victim).Vm != Report.Vm)
      return;
    if (Variant.Noise == NoisePolicy::EvictLargest && Report.Slowdown >= 1.5)
      evictLargest(Report.Vm, Now);
    if (Variant.Noise != NoisePolicy::Learned)
      return;
    auto Steps =
        Responder.onReport(Report, Model, History, Now, [&](TaskIndex Task) {
          return Fleet.View.task(Task).Class == TaskClass::Batch &&
                 !Fleet.Tasks[Fleet.idOf(Task)].Throttled;
        });
    for (const auto &Each : Steps)
      apply(Each, Now);
  }

  void apply(const interference::Response &Response, TimePoint Now) {
    using interference::Step;
    std::size_t Id = Fleet.idOf(Response.Task);
    if (Response.Do == Step::Throttle || Response.Do == Step::Release) {
      setThrottled(Response.Task, Response.Do == Step::Throttle, Now);
      return;
    }
    if (!Fleet.View.task(Response.Task).evictable())
      return;
    bool Innocent = !slowsTasksOn(Response.Vm, Fleet.Tasks[Id].Spec.Kind);
    PendingEvictions.push_back(
        {Id, Fleet.Tasks[Id].Attempts,
         Response.Do == Step::Stop ? Now : Now + CheckpointDelay, Innocent});
  }

  void evictDue(TimePoint Now) {
    std::vector<PendingEviction> Due;
    std::erase_if(PendingEvictions, [&](const PendingEviction &Each) {
      if (Each.DueAt > Now)
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const PendingEviction &Each : Due) {
      const SimTask &Task = Fleet.Tasks[Each.Id];
      bool IsStillRunning = Task.Attempts == Each.Attempt &&
                            Task.CurrentPhase == SimTask::Phase::Running;
      if (!IsStillRunning)
        continue;
      ++NoiseEvictions;
      InnocentNoiseEvictions += Each.Innocent ? 1 : 0;
      evict(Each.Id, true, Now);
    }
  }

  bool slowsTasksOn(VmIndex Vm, KindIndex Kind) const {
    bool Noisy = false;
    Fleet.View.eachTask(Vm, [&](TaskIndex, const TaskState &State) {
      Noisy = Noisy || Fleet.Excess[State.Kind.index()][Kind.index()] > 0.1;
    });
    return Noisy;
  }

  void evictLargest(VmIndex Vm, TimePoint Now) {
    TaskIndex Largest;
    std::int32_t Most = 0;
    Fleet.View.eachTask(Vm, [&](TaskIndex Task, const TaskState &State) {
      if (!State.evictable() || State.Held.Cpu <= Most)
        return;
      Most = State.Held.Cpu;
      Largest = Task;
    });
    if (!Largest.valid())
      return;
    std::size_t Id = Fleet.idOf(Largest);
    ++NoiseEvictions;
    InnocentNoiseEvictions +=
        slowsTasksOn(Vm, Fleet.Tasks[Id].Spec.Kind) ? 0 : 1;
    evict(Id, true, Now);
  }

  void setThrottled(TaskIndex Task, bool Throttle, TimePoint Now) {
    const TaskState &State = Fleet.View.task(Task);
    std::size_t Id = Fleet.idOf(Task);
    Fleet.Tasks[Id].Throttled = Throttle;
    if (Throttle) {
      Resources Held = State.Held.unpacked();
      Held.Cpu = MilliCores(
          static_cast<std::int64_t>(Fleet.Tasks[Id].Cores * 1000 * 0.25));
      if (Held.Cpu < MilliCores(State.Held.Cpu))
        Fleet.View.resize(Task, Held);
    }
    History.enter(State.Vm, Task, State.Kind, Now, Throttle ? 0.25 : 1);
  }

  /// Learns the usage of running tasks, and resizes those that are not
  /// throttled to their expected usage.
  void updateUsage(TimePoint Now) {
    LastUsageUpdate = Now;
    if (Variant.FirstFit)
      return;
    BatchCapacity = Fleet.View.openCapacity() - servicesHeld();
    Ledger.setFleet(BatchCapacity);
    for (std::size_t Id : std::vector<std::size_t>(Fleet.active())) {
      const SimTask &Task = Fleet.Tasks[Id];
      if (Task.CurrentPhase != SimTask::Phase::Running)
        continue;
      if (Variant.Evidence && !Task.Avoid.empty() &&
          Now - Task.RunsFrom >= std::chrono::seconds(5))
        closeQuarantined(Evidence.outlived(
            evidence::TaskHandle(Id), Fleet.View.task(Task.Index).Vm, Now));
      if (!Variant.Lending)
        continue;
      Usage.observe(Task.Spec.Kind, Task.Spec.Declared, Fleet.used(Id));
      if (!Task.Throttled)
        resizeToExpectedUsage(Id, Now);
    }
  }

  Resources servicesHeld() const {
    Resources Sum;
    for (std::size_t Id : Fleet.active())
      if (Fleet.Tasks[Id].Spec.Class != TaskClass::Batch &&
          Fleet.View.vm(Fleet.View.task(Fleet.Tasks[Id].Index).Vm).Open)
        Sum = Sum + Fleet.View.task(Fleet.Tasks[Id].Index).Held.unpacked();
    return Sum;
  }

  void resizeToExpectedUsage(std::size_t Id, TimePoint Now) {
    TaskIndex Index = Fleet.Tasks[Id].Index;
    const TaskState &State = Fleet.View.task(Index);
    Resources Before = State.Held.unpacked();
    Resources Wanted = TaskPlacer.expectedHold(State);
    if (Wanted == Before)
      return;
    VmIndex Vm = State.Vm;
    const VmState &At = Fleet.View.vm(Vm);
    bool Fits = (At.Held - Before + Wanted).fitsIn(At.Capacity);
    if (!Fits && !State.Reclaimable) {
      applyReclaims(TaskPlacer.reclaim(Vm, Wanted - Before, Fleet.View, Now),
                    Now);
      Fits = (At.Held - Before + Wanted).fitsIn(At.Capacity);
    }
    if (Fits)
      Fleet.View.resize(Index, Wanted);
  }

  Millis applyReclaims(const std::vector<Reclaim> &Reclaims, TimePoint Now) {
    Millis Delay{0};
    for (const Reclaim &Each : Reclaims) {
      if (Each.Do == ReclaimStep::Throttle) {
        Fleet.View.resize(Each.Task, Each.Held);
        Delay = std::max(Delay, ThrottleDelay);
        continue;
      }
      evict(Fleet.idOf(Each.Task), false, Now);
      Delay = std::max(Delay, StopDelay);
    }
    return Delay;
  }

  bool tryPlace(std::size_t Id, EvictionScope Scope, TimePoint Now) {
    if (Variant.FirstFit)
      return firstFit(Id, Scope, Now);

    SimTask &Task = Fleet.Tasks[Id];
    PlacementRequest Request{Task.Spec, &Rules, Scope, Task.Avoid};
    auto Decision = TaskPlacer.place(Request, Fleet.View, Now);
    if (auto *At = std::get_if<Placement>(&Decision)) {
      start(Id, At->Vm, At->Held, Millis{0}, Now, At->Throttled);
      return true;
    }
    if (auto *At = std::get_if<PlacementAfterEviction>(&Decision)) {
      Millis Delay = applyReclaims(At->Reclaims, Now);
      start(Id, At->Vm, At->Held, Delay, Now, At->Throttled);
      return true;
    }
    return false;
  }

  void start(std::size_t Id, VmIndex Vm, const Resources &Held, Millis Delay,
             TimePoint Now, bool Throttled = false) {
    Fleet.startAttempt(Id, Vm, Held, Delay, Now);
    SimTask &Task = Fleet.Tasks[Id];
    Task.Throttled = Throttled;
    Task.Charged = Held;
    if (Task.Spec.Class == TaskClass::Batch && Variant.Quota)
      Ledger.take(Task.Spec.Team, Held, Task.Spec.Evictions < MaxEvictions);
    History.enter(Vm, Task.Index, Task.Spec.Kind, Now, Throttled ? 0.25 : 1);
    if (Task.Spec.Class == TaskClass::Urgent && Task.Attempts == 1)
      UrgentStarts.push_back(inSeconds(Task.RunsFrom - Task.Submitted) * 1000);
  }

  bool allowed(std::size_t Id, VmIndex Vm) const {
    return Fleet.View.vm(Vm).Open &&
           permits(Rules, Fleet.Tasks[Id].Spec, Fleet.View, Vm);
  }

  bool firstFit(std::size_t Id, EvictionScope Scope, TimePoint Now) {
    const Resources Wanted = Fleet.Tasks[Id].Spec.Declared;
    for (std::size_t I = 0; I < Fleet.View.vmCount(); ++I) {
      const VmState &At = Fleet.View.vm(VmIndex(I));
      if (allowed(Id, VmIndex(I)) && Wanted.fitsIn(At.freeFirm())) {
        start(Id, VmIndex(I), Wanted, Millis{0}, Now);
        return true;
      }
    }
    if (!Variant.Preempt || Scope != EvictionScope::Batch)
      return false;
    for (std::size_t I = 0; I < Fleet.View.vmCount(); ++I) {
      const VmState &At = Fleet.View.vm(VmIndex(I));
      if (!allowed(Id, VmIndex(I)) || !Wanted.fitsIn(At.potential()))
        continue;
      while (!Wanted.fitsIn(At.freeFirm())) {
        TaskIndex Victim;
        Fleet.View.eachTask(VmIndex(I),
                            [&](TaskIndex T, const TaskState &State) {
                              if (State.evictable())
                                Victim = T;
                            });
        evict(Fleet.idOf(Victim), false, Now);
      }
      start(Id, VmIndex(I), Wanted, StopDelay, Now);
      return true;
    }
    return false;
  }

  void placeUrgent(TimePoint Now) {
    std::deque<std::size_t> Unplaced;
    while (!UrgentQueue.empty()) {
      std::size_t Id = UrgentQueue.front();
      UrgentQueue.pop_front();
      if (!tryPlace(Id, EvictionScope::Batch, Now))
        Unplaced.push_back(Id);
    }
    UrgentQueue = std::move(Unplaced);
  }

  void placeBatch(TimePoint Now) {
    std::vector<TeamIndex> Waiting;
    for (std::size_t I = 0; I < Queues.size(); ++I)
      if (!Queues[I].empty())
        Waiting.push_back(TeamIndex(I));
    int Refused = 0;
    std::array<int, TeamCount> RefusedOf{};
    constexpr int MaxRefused = 24;
    constexpr int MaxRefusedOfTeam = 3;
    while (!Waiting.empty() && Refused < MaxRefused) {
      TeamIndex Team = Variant.Quota ? *Ledger.next(Waiting) : Waiting.front();
      auto &Queue = Queues[Team.index()];
      if (tryPlaceQueued(Team, Queue.front(), Now)) {
        if (Queue.empty())
          std::erase(Waiting, Team);
        continue;
      }
      ++Refused;
      // The next task of the team may fit where the first does not.
      std::rotate(Queue.begin(), Queue.begin() + 1, Queue.end());
      if (Variant.Quota &&
          (++RefusedOf[Team.index()] == MaxRefusedOfTeam || Queue.size() == 1))
        std::erase(Waiting, Team);
    }
  }

  /// Removes the task from its queue if it was placed.
  bool tryPlaceQueued(TeamIndex Team, std::size_t Id, TimePoint Now) {
    SimTask &Task = Fleet.Tasks[Id];
    EvictionScope Scope = EvictionScope::None;
    if (Variant.Quota && !Variant.FirstFit) {
      auto Verdict = Ledger.ask(Team, TaskPlacer.holdFor(Task.Spec),
                                Task.Spec.Evictions < MaxEvictions);
      if (std::holds_alternative<quota::QuotaExhausted>(Verdict))
        return false;
      if (std::holds_alternative<quota::WithinGuarantee>(Verdict))
        Scope = EvictionScope::Borrowed;
    }
    // Evicted tasks are requeued at the front, so this task is removed first.
    auto &Queue = Queues[Variant.Quota ? Team.index() : 0];
    Queue.pop_front();
    if (tryPlace(Id, Scope, Now))
      return true;
    Queue.push_front(Id);
    return false;
  }

  Policy Variant;
  UsageEstimator Usage;
  UrgentReserve Reserve;
  interference::InterferenceModel Model;
  interference::ColocationHistory History{Millis(30000)};
  interference::NoiseResponder Responder;
  evidence::EvidenceTable Evidence;
  quota::QuotaLedger Ledger;
  Placer TaskPlacer;
  std::deque<std::size_t> UrgentQueue;
  std::array<std::deque<std::size_t>, TeamCount> Queues;
  std::vector<PendingEviction> PendingEvictions;
  TimePoint LastUsageUpdate{};
  Resources BatchCapacity;
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_SIMSCHEDULER_H
