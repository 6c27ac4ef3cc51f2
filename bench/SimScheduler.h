#ifndef DAISYSPOOL_BENCH_SIMSCHEDULER_H
#define DAISYSPOOL_BENCH_SIMSCHEDULER_H

#include "TaskFleet.h"

#include "daisyspool/quota/quota.h"

#include <array>
#include <string>

namespace daisyspool::bench {

enum class NoisePolicy : std::uint8_t { Ignore, EvictLargest, Learned };

/// A scheduler variant. The defaults are the product's decisions.
struct Policy {
  std::string Name = "daisyspool";
  bool FirstFit = false;
  /// For first fit: stops the first batch tasks in its way.
  bool Preempt = true;
  NoisePolicy Noise = NoisePolicy::Learned;
  bool Evidence = true;
  bool Quota = true;
  /// Keeps room free for urgent starts.
  bool Reserve = true;
  /// Uses learned sizes, and lends what services do not use.
  bool Lending = true;
};

inline constexpr std::size_t TeamCount = 74;

/// Drives a TaskFleet by the decisions of one variant.
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
  /// Core-seconds that the guarantee of one team amounts to.
  double GuaranteedCoreSeconds = 0;
  PlacementRules Rules;

  explicit SimScheduler(Policy How)
      : How(std::move(How)), Reserve(reserveOptions(this->How)),
        Ledger(sizeOf(1, 1)),
        Chooser({}, Usage, Reserve,
                this->How.Noise == NoisePolicy::Learned ? &Model : nullptr,
                this->How.Quota ? &Ledger : nullptr) {
    for (std::size_t I = 0; I < TeamCount; ++I)
      Ledger.addTeam(1000 / TeamCount);
  }

  std::size_t submit(FakeTask Task, TimePoint Now) {
    bool Urgent = Task.Spec.Class != TaskClass::Batch;
    std::size_t Team = Task.Spec.Team.index();
    Task.Spec.Reclaimable = Task.Spec.Reclaimable && How.Lending;
    std::size_t Id = Fleet.submit(std::move(Task), Now);
    if (Urgent)
      Urgents.push_back(Id);
    else
      Queues[How.Quota ? Team : 0].push_back(Id);
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

  /// Counts urgent tasks that still wait with the age that they have reached.
  void closeUrgent(TimePoint Now) {
    for (std::size_t Id : Urgents)
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

  /// The VM dies with its tasks, which restart from their checkpoints.
  void loseVm(VmIndex Vm, TimePoint Now) {
    std::vector<std::size_t> Lost;
    Fleet.View.eachTask(Vm, [&](TaskIndex Index, const TaskState &) {
      Lost.push_back(Fleet.idOf(Index));
    });
    Fleet.View.setOpen(Vm, false);
    for (std::size_t Id : Lost) {
      gone(Id, Now);
      Fleet.take(Id, false);
      again(Id);
    }
  }

  /// One tick: ends, reports, usage and placement.
  void step(TimePoint Now) {
    for (const FakeEnd &Each : Fleet.advance(Now))
      onEnd(Each, Now);
    for (const auto &[Id, Vm] : Fleet.Killed) {
      left(Id, Vm, Now);
      again(Id);
    }
    Fleet.Killed.clear();
    releaseQuarantines(Now);
    for (const auto &Each : Fleet.reports(Now))
      onReport(Each, Now);
    finishMoves(Now);
    if (Now - LastUsage >= std::chrono::seconds(1))
      learnUsage(Now);
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
  struct Move {
    std::size_t Id;
    std::uint32_t Attempt;
    TimePoint At;
    bool Innocent;
  };

  static UrgentReserve::Options reserveOptions(const Policy &How) {
    UrgentReserve::Options Made;
    if (!How.Reserve) {
      Made.MinSlots = 0;
      Made.MaxShare = 0;
    }
    return Made;
  }

  void again(std::size_t Id) {
    FakeTask &Of = Fleet.Tasks[Id];
    if (Of.Spec.Class != TaskClass::Batch)
      Urgents.push_front(Id);
    else
      Queues[How.Quota ? Of.Spec.Team.index() : 0].push_front(Id);
  }

  void release(std::size_t Id) {
    FakeTask &Of = Fleet.Tasks[Id];
    if (Of.Spec.Class == TaskClass::Batch && How.Quota)
      Ledger.giveBack(Of.Spec.Team, Of.Charged,
                      Of.Spec.Evictions < MaxEvictions);
    Of.Charged = {};
  }

  /// Bookkeeping before a task leaves its VM.
  void gone(std::size_t Id, TimePoint Now) {
    FakeTask &Of = Fleet.Tasks[Id];
    VmIndex Vm = Fleet.View.task(Of.Index).Vm;
    left(Id, Vm, Now);
  }

  /// Bookkeeping of a task that left \p Vm.
  void left(std::size_t Id, VmIndex Vm, TimePoint Now) {
    TaskIndex Index = Fleet.Tasks[Id].Index;
    History.leave(Vm, Index, Now);
    for (TaskIndex Each : Responder.onTaskGone(Vm, Index))
      if (Fleet.View.task(Each).Vm == Vm)
        setThrottled(Each, false, Now);
    release(Id);
  }

  void evict(std::size_t Id, bool Checkpoint, TimePoint Now) {
    gone(Id, Now);
    Fleet.evict(Id, Checkpoint);
    again(Id);
  }

  void onEnd(const FakeEnd &End, TimePoint Now) {
    FakeTask &Of = Fleet.Tasks[End.Id];
    left(End.Id, End.Worker, Now);
    if (Of.Spec.Class != TaskClass::Batch)
      return;
    if (End.How == Outcome::Succeeded)
      ++Succeeded;
    else
      ++FailedAttempts;
    if (!How.Evidence) {
      if (End.How == Outcome::Failed)
        Queues[How.Quota ? Of.Spec.Team.index() : 0].push_back(End.Id);
      return;
    }

    Evidence.setWorkerCount(static_cast<std::uint32_t>(Fleet.View.vmCount()));
    auto Found = Evidence.record(
        {evidence::TaskHandle(End.Id), Of.Job, End.Worker, End.How}, Now);
    Of.Avoid = Found.Avoid;
    close(Found);
    if (End.How == Outcome::Succeeded)
      return;
    if (!Found.End) {
      again(End.Id);
      return;
    }
    ++EndedTasks;
    if (!Of.FailsEverywhere &&
        !std::holds_alternative<evidence::CancelledByCaller>(*Found.End))
      ++GoodTasksEnded;
  }

  /// Closes the workers that \p Found puts into quarantine.
  void close(const evidence::Finding &Found) {
    for (const auto &Each : Found.Quarantined) {
      Fleet.View.setOpen(Each.Worker, false);
      bool Flaky = std::find(Fleet.Flaky.begin(), Fleet.Flaky.end(),
                             Each.Worker) != Fleet.Flaky.end();
      if (!Flaky)
        ++GoodQuarantined;
    }
    MostQuarantined = std::max(MostQuarantined, Evidence.quarantinedCount());
  }

  void releaseQuarantines(TimePoint Now) {
    if (!How.Evidence)
      return;
    for (VmIndex Each : Evidence.release(Now))
      Fleet.View.setOpen(Each, true);
  }

  void onReport(const interference::SlowdownReport &Report, TimePoint Now) {
    if (Fleet.View.task(Report.Victim).Vm != Report.Vm)
      return;
    if (How.Noise == NoisePolicy::EvictLargest && Report.Slowdown >= 1.5)
      evictLargest(Report.Vm, Now);
    if (How.Noise != NoisePolicy::Learned)
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
    bool Innocent = !noisyFor(Response.Vm, Fleet.Tasks[Id].Spec.Kind);
    Moves.push_back({Id, Fleet.Tasks[Id].Attempts,
                     Response.Do == Step::Stop ? Now : Now + CheckpointDelay,
                     Innocent});
  }

  void finishMoves(TimePoint Now) {
    std::vector<Move> Due;
    std::erase_if(Moves, [&](const Move &Each) {
      if (Each.At > Now)
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const Move &Each : Due) {
      const FakeTask &Of = Fleet.Tasks[Each.Id];
      bool Same =
          Of.Attempts == Each.Attempt && Of.At == FakeTask::Phase::Running;
      if (!Same)
        continue;
      ++NoiseEvictions;
      InnocentNoiseEvictions += Each.Innocent ? 1 : 0;
      evict(Each.Id, true, Now);
    }
  }

  bool noisyFor(VmIndex Vm, KindIndex Kind) const {
    bool Noisy = false;
    Fleet.View.eachTask(Vm, [&](TaskIndex, const TaskState &Of) {
      Noisy = Noisy || Fleet.Excess[Of.Kind.index()][Kind.index()] > 0.1;
    });
    return Noisy;
  }

  void evictLargest(VmIndex Vm, TimePoint Now) {
    TaskIndex Largest;
    std::int32_t Most = 0;
    Fleet.View.eachTask(Vm, [&](TaskIndex Task, const TaskState &Of) {
      if (!Of.evictable() || Of.Held.Cpu <= Most)
        return;
      Most = Of.Held.Cpu;
      Largest = Task;
    });
    if (!Largest.valid())
      return;
    std::size_t Id = Fleet.idOf(Largest);
    ++NoiseEvictions;
    InnocentNoiseEvictions += noisyFor(Vm, Fleet.Tasks[Id].Spec.Kind) ? 0 : 1;
    evict(Id, true, Now);
  }

  void setThrottled(TaskIndex Task, bool Throttle, TimePoint Now) {
    const TaskState &Of = Fleet.View.task(Task);
    std::size_t Id = Fleet.idOf(Task);
    Fleet.Tasks[Id].Throttled = Throttle;
    if (Throttle) {
      Resources Held = Of.Held.unpacked();
      Held.Cpu = MilliCores(
          static_cast<std::int64_t>(Fleet.Tasks[Id].Cores * 1000 * 0.25));
      if (Held.Cpu < MilliCores(Of.Held.Cpu))
        Fleet.View.resize(Task, Held);
    }
    History.enter(Of.Vm, Task, Of.Kind, Now, Throttle ? 0.25 : 1);
  }

  /// Observes use, lends what services do not use, and gives throttled tasks
  /// their processors back when there is room.
  void learnUsage(TimePoint Now) {
    LastUsage = Now;
    if (How.FirstFit)
      return;
    BatchCapacity = Fleet.View.openCapacity() - servicesHeld();
    Ledger.setFleet(BatchCapacity);
    for (std::size_t Id : std::vector<std::size_t>(Fleet.active())) {
      const FakeTask &Of = Fleet.Tasks[Id];
      if (Of.At != FakeTask::Phase::Running)
        continue;
      if (How.Evidence && !Of.Avoid.empty() &&
          Now - Of.RunsFrom >= std::chrono::seconds(5))
        close(Evidence.outlived(evidence::TaskHandle(Id),
                                Fleet.View.task(Of.Index).Vm, Now));
      if (!How.Lending)
        continue;
      Usage.observe(Of.Spec.Kind, Of.Spec.Declared, Fleet.used(Id));
      if (!Of.Throttled)
        adjust(Id, Now);
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

  void adjust(std::size_t Id, TimePoint Now) {
    TaskIndex Index = Fleet.Tasks[Id].Index;
    const TaskState &Of = Fleet.View.task(Index);
    Resources Before = Of.Held.unpacked();
    Resources Wanted = Chooser.expectedHold(Of);
    if (Wanted == Before)
      return;
    VmIndex Vm = Of.Vm;
    const VmState &At = Fleet.View.vm(Vm);
    bool Fits = (At.Held - Before + Wanted).fitsIn(At.Capacity);
    if (!Fits && !Of.Reclaimable) {
      carryOut(Chooser.reclaim(Vm, Wanted - Before, Fleet.View, Now), Now);
      Fits = (At.Held - Before + Wanted).fitsIn(At.Capacity);
    }
    if (Fits)
      Fleet.View.resize(Index, Wanted);
  }

  Millis carryOut(const std::vector<Reclaim> &Reclaims, TimePoint Now) {
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
    if (How.FirstFit)
      return firstFit(Id, Scope, Now);

    FakeTask &Of = Fleet.Tasks[Id];
    PlacementRequest Request{Of.Spec, &Rules, Scope, Of.Avoid};
    auto Found = Chooser.place(Request, Fleet.View, Now);
    if (auto *At = std::get_if<Placement>(&Found)) {
      begin(Id, At->Vm, At->Held, Millis{0}, Now, At->Throttled);
      return true;
    }
    if (auto *At = std::get_if<PlacementAfterEviction>(&Found)) {
      Millis Delay = carryOut(At->Reclaims, Now);
      begin(Id, At->Vm, At->Held, Delay, Now, At->Throttled);
      return true;
    }
    return false;
  }

  void begin(std::size_t Id, VmIndex Vm, const Resources &Held, Millis Delay,
             TimePoint Now, bool Throttled = false) {
    Fleet.begin(Id, Vm, Held, Delay, Now);
    FakeTask &Of = Fleet.Tasks[Id];
    Of.Throttled = Throttled;
    Of.Charged = Held;
    if (Of.Spec.Class == TaskClass::Batch && How.Quota)
      Ledger.take(Of.Spec.Team, Held, Of.Spec.Evictions < MaxEvictions);
    History.enter(Vm, Of.Index, Of.Spec.Kind, Now, Throttled ? 0.25 : 1);
    if (Of.Spec.Class == TaskClass::Urgent && Of.Attempts == 1)
      UrgentStarts.push_back(inSeconds(Of.RunsFrom - Of.Submitted) * 1000);
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
        begin(Id, VmIndex(I), Wanted, Millis{0}, Now);
        return true;
      }
    }
    if (!How.Preempt || Scope != EvictionScope::Batch)
      return false;
    for (std::size_t I = 0; I < Fleet.View.vmCount(); ++I) {
      const VmState &At = Fleet.View.vm(VmIndex(I));
      if (!allowed(Id, VmIndex(I)) || !Wanted.fitsIn(At.potential()))
        continue;
      while (!Wanted.fitsIn(At.freeFirm())) {
        TaskIndex Victim;
        Fleet.View.eachTask(VmIndex(I), [&](TaskIndex T, const TaskState &Of) {
          if (Of.evictable())
            Victim = T;
        });
        evict(Fleet.idOf(Victim), false, Now);
      }
      begin(Id, VmIndex(I), Wanted, StopDelay, Now);
      return true;
    }
    return false;
  }

  void placeUrgent(TimePoint Now) {
    std::deque<std::size_t> Left;
    while (!Urgents.empty()) {
      std::size_t Id = Urgents.front();
      Urgents.pop_front();
      if (!tryPlace(Id, EvictionScope::Batch, Now))
        Left.push_back(Id);
    }
    Urgents = std::move(Left);
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
      TeamIndex Team = How.Quota ? *Ledger.next(Waiting) : Waiting.front();
      auto &Queue = Queues[Team.index()];
      if (offer(Team, Queue.front(), Now)) {
        if (Queue.empty())
          std::erase(Waiting, Team);
        continue;
      }
      ++Refused;
      // The next task of the team may fit where the first does not.
      std::rotate(Queue.begin(), Queue.begin() + 1, Queue.end());
      if (How.Quota &&
          (++RefusedOf[Team.index()] == MaxRefusedOfTeam || Queue.size() == 1))
        std::erase(Waiting, Team);
    }
  }

  /// Takes the task from its queue if it was placed.
  bool offer(TeamIndex Team, std::size_t Id, TimePoint Now) {
    FakeTask &Of = Fleet.Tasks[Id];
    EvictionScope Scope = EvictionScope::None;
    if (How.Quota && !How.FirstFit) {
      auto Verdict = Ledger.ask(Team, Chooser.holdFor(Of.Spec),
                                Of.Spec.Evictions < MaxEvictions);
      if (std::holds_alternative<quota::QuotaExhausted>(Verdict))
        return false;
      if (std::holds_alternative<quota::WithinGuarantee>(Verdict))
        Scope = EvictionScope::Borrowed;
    }
    // Victims go to the front of queues, so the task leaves its queue first.
    auto &Queue = Queues[How.Quota ? Team.index() : 0];
    Queue.pop_front();
    if (tryPlace(Id, Scope, Now))
      return true;
    Queue.push_front(Id);
    return false;
  }

  Policy How;
  UsageEstimator Usage;
  UrgentReserve Reserve;
  interference::InterferenceModel Model;
  interference::ColocationHistory History{Millis(30000)};
  interference::NoiseResponder Responder;
  evidence::EvidenceTable Evidence;
  quota::QuotaLedger Ledger;
  Placer Chooser;
  std::deque<std::size_t> Urgents;
  std::array<std::deque<std::size_t>, TeamCount> Queues;
  std::vector<Move> Moves;
  TimePoint LastUsage{};
  Resources BatchCapacity;
};

} // namespace daisyspool::bench

#endif // DAISYSPOOL_BENCH_SIMSCHEDULER_H
