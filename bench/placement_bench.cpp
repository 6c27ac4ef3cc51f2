// Measures placement, interference, evidence and quota under virtual time, each
// scenario with its baselines, and the cost of a placement decision by fleet
// size. Prints one line per figure and one per target.
#include "SimScheduler.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace daisyspool;
using namespace daisyspool::bench;

namespace {

constexpr std::size_t ServiceKind = 0;
constexpr std::size_t UrgentKind = 1;
constexpr std::size_t FirstBatchKind = 2;
constexpr std::size_t NoisyKind = 12;

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;

  std::sort(Values.begin(), Values.end());
  auto Index =
      static_cast<std::size_t>(Fraction * static_cast<double>(Values.size()));
  return Values[std::min(Index, Values.size() - 1)];
}

void print(const std::string &Bench, const std::string &Variant,
           const char *Metric, double Value) {
  std::printf("bench=%s variant=%s metric=%s value=%.4g\n", Bench.c_str(),
              Variant.c_str(), Metric, Value);
}

void checkTarget(const std::string &Name, double Bound, double Measured,
                 bool AtMost) {
  bool Pass = AtMost ? Measured <= Bound : Measured >= Bound;
  std::printf("target=%s bound=%s%.4g measured=%.4g verdict=%s\n", Name.c_str(),
              AtMost ? "<=" : ">=", Bound, Measured, Pass ? "pass" : "fail");
}

/// The figures of one run of a variant.
struct Result {
  double UrgentP50 = 0;
  double UrgentP99 = 0;
  double UrgentMax = 0;
  double ServiceP99 = 0;
  double Throughput = 0;
  double Evictions = 0;
  double NoiseEvictions = 0;
  double InnocentEvictions = 0;
  double LostWork = 0;
  double Overcommitted = 0;
  double MostEvictionsOfTask = 0;
  std::map<std::string, double> ExtraMetrics;
};

void print(const std::string &Bench, const std::string &Variant,
           const Result &Figures) {
  print(Bench, Variant, "urgent_start_p50_ms", Figures.UrgentP50);
  print(Bench, Variant, "urgent_start_p99_ms", Figures.UrgentP99);
  print(Bench, Variant, "urgent_start_max_ms", Figures.UrgentMax);
  print(Bench, Variant, "service_slowdown_p99", Figures.ServiceP99);
  print(Bench, Variant, "batch_cores", Figures.Throughput);
  print(Bench, Variant, "evictions", Figures.Evictions);
  print(Bench, Variant, "noise_evictions", Figures.NoiseEvictions);
  print(Bench, Variant, "innocent_evictions", Figures.InnocentEvictions);
  print(Bench, Variant, "lost_work_core_s", Figures.LostWork);
  for (const auto &[Metric, Value] : Figures.ExtraMetrics)
    print(Bench, Variant, Metric.c_str(), Value);
}

/// A fleet and the work that arrives at it.
struct Workload {
  std::size_t Vms = 11;
  std::size_t Domains = 3;
  double Cores = 16;
  double Gibibytes = 62.5;
  double ServiceCores = 8;
  double UrgentPerSecond = 0.3;
  bool Batch = true;
  /// Batch tasks that are kept waiting.
  std::size_t Backlog = 100;
  double Seconds = 900;
  std::uint64_t Seed = 20261204;
  /// Called at every tick, before SimScheduler::step().
  std::function<void(SimScheduler &, Random &, TimePoint)> OnTick =
      [](SimScheduler &, Random &, TimePoint) {};
  /// Changes a generated batch task.
  std::function<void(SimTask &, Random &)> AdjustTask = [](SimTask &,
                                                           Random &) {};
  std::function<void(SimScheduler &)> Prepare = [](SimScheduler &) {};
};

constexpr double WarmUpSeconds = 150;

SimTask batchTask(Random &Generator) {
  SimTask Task;
  Task.Spec.Kind = KindIndex(FirstBatchKind + Generator.below(8));
  Task.Spec.Team = TeamIndex(Generator.below(TeamCount));
  Task.Spec.Class = TaskClass::Batch;
  Task.Spec.Reclaimable = true;
  Task.Job = JobIndex(Generator.below(200));
  double Cores = 1 + static_cast<double>(Task.Spec.Kind.index() % 3);
  Task.Spec.Declared = sizeOf(Cores, 2 * Cores);
  Task.Cores = Cores * (0.6 + 0.3 * Generator.unit());
  Task.Gibibytes = Cores * (1 + 0.6 * Generator.unit());
  Task.Seconds = 30 * std::exp(2 * Generator.unit());
  return Task;
}

SimTask urgentTask() {
  SimTask Task;
  Task.Spec.Kind = KindIndex(UrgentKind);
  Task.Spec.Team = TeamIndex(0);
  Task.Spec.Class = TaskClass::Urgent;
  Task.Spec.Declared = sizeOf(1, 2);
  Task.Cores = 0.9;
  Task.Gibibytes = 1.5;
  Task.Seconds = 8;
  return Task;
}

SimTask serviceTask(double Cores) {
  SimTask Task;
  Task.Spec.Kind = KindIndex(ServiceKind);
  Task.Spec.Team = TeamIndex(0);
  Task.Spec.Class = TaskClass::Session;
  Task.Spec.Group = GroupIndex(1);
  Task.Spec.Declared = sizeOf(Cores, 1.5 * Cores);
  Task.Cores = Cores;
  Task.Gibibytes = Cores;
  return Task;
}

Result summarise(SimScheduler &Run, double WorkBefore, double Seconds) {
  Result Summary;
  Summary.UrgentP50 = percentile(Run.UrgentStarts, 0.5);
  Summary.UrgentP99 = percentile(Run.UrgentStarts, 0.99);
  Summary.UrgentMax = percentile(Run.UrgentStarts, 1);
  Summary.ServiceP99 = percentile(Run.Fleet.ServiceSlowdowns, 0.99);
  Summary.Throughput = (Run.Fleet.batchWork() - WorkBefore) / Seconds;
  Summary.Evictions = Run.Fleet.Evictions;
  Summary.NoiseEvictions = Run.NoiseEvictions;
  Summary.InnocentEvictions = Run.InnocentNoiseEvictions;
  Summary.LostWork = Run.Fleet.LostWork;
  Summary.Overcommitted = Run.Fleet.Overcommitted;
  Summary.ExtraMetrics["memory_kills"] = Run.Fleet.MemoryKills;
  for (const SimTask &Each : Run.Fleet.Tasks)
    Summary.MostEvictionsOfTask =
        std::max<double>(Summary.MostEvictionsOfTask, Each.Spec.Evictions);
  return Summary;
}

/// Runs one variant; \p AtEnd may add metrics.
Result run(const Workload &Load, const Policy &Variant,
           const std::function<void(SimScheduler &, Result &)> &AtEnd = {}) {
  SimScheduler Run(Variant);
  Random Generator(Load.Seed);
  // Arrivals have their own generator, so that every variant sees the same.
  Random Arrivals(Load.Seed + 1);
  for (std::size_t I = 0; I < Load.Vms; ++I)
    Run.Fleet.View.addVm({sizeOf(Load.Cores, Load.Gibibytes), RackIndex(I / 3),
                          DomainIndex(I % Load.Domains)});
  Run.Rules.MaxPerVm = 1;
  Load.Prepare(Run);
  TimePoint Now{};
  for (std::size_t I = 0; I < Load.Vms; ++I)
    Run.submit(serviceTask(Load.ServiceCores), Now);

  double WorkBefore = 0;
  bool IsWarm = false;
  while (inSeconds(Now.time_since_epoch()) < Load.Seconds) {
    Now += Tick;
    double At = inSeconds(Now.time_since_epoch());
    Run.Fleet.ServiceLoad = 0.4 + 0.15 * std::sin(At / 60);
    if (Arrivals.unit() < Load.UrgentPerSecond * inSeconds(Tick))
      Run.submit(urgentTask(), Now);
    Load.OnTick(Run, Arrivals, Now);
    std::size_t Waiting = Run.waitingBatch(KindIndex(NoisyKind));
    for (; Load.Batch && Waiting < Load.Backlog; ++Waiting) {
      SimTask Task = batchTask(Generator);
      Load.AdjustTask(Task, Generator);
      Run.submit(std::move(Task), Now);
    }
    Run.step(Now);
    if (IsWarm || At < WarmUpSeconds)
      continue;
    IsWarm = true;
    WorkBefore = Run.Fleet.batchWork();
    Run.UrgentStarts.clear();
    Run.Fleet.ServiceSlowdowns.clear();
    Run.TeamCoreSeconds.fill(0);
    Run.GuaranteedCoreSeconds = 0;
  }
  Run.recordWaitingUrgent(Now);
  Result Summary = summarise(Run, WorkBefore, Load.Seconds - WarmUpSeconds);
  if (AtEnd)
    AtEnd(Run, Summary);
  return Summary;
}

Policy makePolicy(const std::string &Name) {
  Policy Variant;
  Variant.Name = Name;
  if (Name == "firstfit" || Name == "firstfit-preempt") {
    Variant.FirstFit = true;
    Variant.Preempt = Name == "firstfit-preempt";
    Variant.Noise = NoisePolicy::Ignore;
    Variant.Evidence = false;
    Variant.Quota = false;
  }
  if (Name == "no-interference")
    Variant.Noise = NoisePolicy::Ignore;
  if (Name == "evict-largest")
    Variant.Noise = NoisePolicy::EvictLargest;
  if (Name == "no-evidence")
    Variant.Evidence = false;
  if (Name == "no-reserve")
    Variant.Reserve = false;
  if (Name == "no-lending")
    Variant.Lending = false;
  if (Name == "no-quota")
    Variant.Quota = false;
  return Variant;
}

using Results = std::map<std::string, Result>;

Results
compare(const std::string &Bench, const Workload &Load,
        const std::vector<std::string> &Variants,
        const std::function<void(SimScheduler &, Result &)> &AtEnd = {}) {
  Results All;
  for (const std::string &Name : Variants) {
    All[Name] = run(Load, makePolicy(Name), AtEnd);
    print(Bench, Name, All[Name]);
  }
  const Result &Own = All["daisyspool"];
  checkTarget(Bench + ".overcommitted_vms", 0, Own.Overcommitted, true);
  checkTarget(Bench + ".evictions_of_a_task", MaxEvictions,
              Own.MostEvictionsOfTask, true);
  checkTarget(Bench + ".urgent_start_ms",
              static_cast<double>(UrgentStartBound.count()), Own.UrgentMax,
              true);
  return All;
}

/// Checks the targets on throughput and tail latency against the baseline that
/// does the most batch work.
void compareToBestBaseline(const std::string &Bench, const Results &All) {
  std::string Best;
  for (const auto &[Name, Each] : All)
    if (Name != "daisyspool" &&
        (Best.empty() || Each.Throughput > All.at(Best).Throughput))
      Best = Name;
  const Result &Own = All.at("daisyspool");
  const Result &Other = All.at(Best);
  std::printf("bench=%s variant=%s metric=is_best_baseline value=1\n",
              Bench.c_str(), Best.c_str());
  checkTarget(Bench + ".batch_of_best_baseline", 0.95,
              Own.Throughput / Other.Throughput, false);
  checkTarget(Bench + ".urgent_p99_of_best_baseline", 0.5,
              Own.UrgentP99 / Other.UrgentP99, true);
  // Urgent requests are answered by services, so their tail follows the
  // slowdown, where a baseline has one.
  if (Other.ServiceP99 >= 2)
    checkTarget(Bench + ".service_slowdown_p99_of_best_baseline", 0.5,
                Own.ServiceP99 / Other.ServiceP99, true);
}

const std::vector<std::string> PlacementBaselines{"daisyspool", "firstfit",
                                                  "firstfit-preempt"};

/// Runs variants with one mechanism switched off. No target compares to them.
void printReducedVariants(const std::string &Bench, const Workload &Load) {
  for (const char *Name : {"no-reserve", "no-lending"})
    print(Bench, Name, run(Load, makePolicy(Name)));
}

void steady() {
  Workload Voicematch;
  compareToBestBaseline(
      "steady_voicematch",
      compare("steady_voicematch", Voicematch, PlacementBaselines));
  printReducedVariants("steady_voicematch", Voicematch);

  Workload Schulweg;
  Schulweg.Domains = 4;
  Schulweg.Cores = 32;
  Schulweg.Gibibytes = 125;
  Schulweg.ServiceCores = 16;
  compareToBestBaseline("steady_schulweg", compare("steady_schulweg", Schulweg,
                                                   PlacementBaselines));
}

Workload region() {
  Workload Load;
  Load.Vms = 66;
  Load.Domains = 11;
  Load.UrgentPerSecond = 2;
  Load.Backlog = 300;
  return Load;
}

/// Noisy tasks arrive during the first of every three minutes.
void noisyWaves() {
  Workload Load = region();
  Load.Prepare = [](SimScheduler &Run) {
    Run.Fleet.Excess[ServiceKind][NoisyKind] = 1.2;
    Run.Fleet.Excess[ServiceKind][NoisyKind + 1] = 0.6;
    Run.Fleet.Excess[ServiceKind][FirstBatchKind] = 0.04;
  };
  Load.OnTick = [](SimScheduler &Run, Random &Generator, TimePoint Now) {
    auto Second = Now.time_since_epoch() / std::chrono::seconds(1);
    if (Second % 180 >= 60 || Generator.unit() >= 0.2)
      return;
    SimTask Task = batchTask(Generator);
    Task.Spec.Kind = KindIndex(NoisyKind + Generator.below(2));
    Run.submit(std::move(Task), Now);
  };
  auto All = compare("noisy_waves", Load,
                     {"daisyspool", "no-interference", "evict-largest",
                      "firstfit", "firstfit-preempt"});
  compareToBestBaseline("noisy_waves", All);

  // Evictions for noise are rare, so their innocent share is taken over ten
  // seeds.
  double Innocent = All["daisyspool"].InnocentEvictions;
  double ForNoise = All["daisyspool"].NoiseEvictions;
  double WorstSlowdown = All["daisyspool"].ServiceP99;
  for (std::uint64_t Seed = 1; Seed <= 9; ++Seed) {
    Load.Seed = Seed;
    Result Summary = run(Load, makePolicy("daisyspool"));
    Innocent += Summary.InnocentEvictions;
    ForNoise += Summary.NoiseEvictions;
    WorstSlowdown = std::max(WorstSlowdown, Summary.ServiceP99);
  }
  print("noisy_waves", "daisyspool-10-seeds", "noise_evictions", ForNoise);
  print("noisy_waves", "daisyspool-10-seeds", "innocent_evictions", Innocent);
  print("noisy_waves", "daisyspool-10-seeds", "worst_service_slowdown_p99",
        WorstSlowdown);
  checkTarget("noisy_waves.innocent_share_of_noise_evictions", 0.02,
              Innocent / std::max(ForNoise, 1.0), true);
}

/// Half of the kinds declare four times their real size, the others a quarter.
void wrongSizes() {
  Workload Load = region();
  Load.AdjustTask = [](SimTask &Task, Random &) {
    bool Large = Task.Spec.Kind.index() % 2 == 0;
    double Cores = Task.Cores;
    double Gibibytes = Task.Gibibytes;
    Task.Spec.Declared = Large ? sizeOf(Cores * 4, Gibibytes * 4)
                               : sizeOf(Cores / 4, Gibibytes / 4);
  };
  auto All = compare("wrong_sizes", Load, PlacementBaselines);
  compareToBestBaseline("wrong_sizes", All);
}

/// Two workers fail every task, some tasks fail on every worker, and forty jobs
/// are cancelled at once.
void flakyWorkers() {
  Workload Load = region();
  Load.Vms = 22;
  Load.UrgentPerSecond = 0.5;
  Load.Prepare = [](SimScheduler &Run) {
    Run.Fleet.Flaky = {VmIndex(3), VmIndex(14)};
  };
  Load.AdjustTask = [](SimTask &Task, Random &Generator) {
    Task.FailsEverywhere = Generator.below(50) == 0;
    if (Task.FailsEverywhere)
      Task.Job = JobIndex(1000 + Generator.below(10));
  };
  Load.OnTick = [](SimScheduler &Run, Random &, TimePoint Now) {
    if (Now.time_since_epoch() != std::chrono::seconds(400))
      return;
    for (std::size_t I = 0; I < 40; ++I)
      Run.cancelJob(JobIndex(I));
  };
  auto All =
      compare("flaky_workers", Load, {"daisyspool", "no-evidence"},
              [](SimScheduler &Run, Result &Summary) {
                Summary.ExtraMetrics["failed_attempts"] = Run.FailedAttempts;
                Summary.ExtraMetrics["succeeded"] = Run.Succeeded;
                Summary.ExtraMetrics["tasks_ended_early"] = Run.EndedTasks;
                Summary.ExtraMetrics["good_tasks_ended"] = Run.GoodTasksEnded;
                Summary.ExtraMetrics["good_workers_quarantined"] =
                    Run.GoodQuarantined;
                Summary.ExtraMetrics["most_quarantined"] =
                    static_cast<double>(Run.MostQuarantined);
              });
  Result &Own = All["daisyspool"];
  checkTarget("flaky_workers.quarantined_share", 0.2,
              Own.ExtraMetrics["most_quarantined"] /
                  static_cast<double>(Load.Vms),
              true);
  checkTarget("flaky_workers.good_tasks_ended", 0,
              Own.ExtraMetrics["good_tasks_ended"], true);
}

void lostDomain() {
  Workload Load = region();
  Load.OnTick = [](SimScheduler &Run, Random &, TimePoint Now) {
    if (Now.time_since_epoch() != std::chrono::seconds(400))
      return;
    for (std::size_t I = 0; I < Run.Fleet.View.vmCount(); ++I)
      if (Run.Fleet.View.vm(VmIndex(I)).Domain == DomainIndex(5))
        Run.failVm(VmIndex(I), Now);
  };
  compareToBestBaseline("lost_domain",
                        compare("lost_domain", Load, PlacementBaselines));
}

/// Bursts of urgent tasks that exceed the reserve, on a fleet full of batch
/// work.
void urgentBurst() {
  Workload Load = region();
  Load.OnTick = [](SimScheduler &Run, Random &, TimePoint Now) {
    auto Since = Now.time_since_epoch();
    if (Since < std::chrono::seconds(200) ||
        Since % std::chrono::seconds(150) != Duration::zero())
      return;
    for (int I = 0; I < 200; ++I)
      Run.submit(urgentTask(), Now);
  };
  compareToBestBaseline("urgent_burst",
                        compare("urgent_burst", Load, PlacementBaselines));
  printReducedVariants("urgent_burst", Load);
}

/// One team floods the fleet with ten times what it can run. The others submit
/// their guarantee.
void teamFlood() {
  Workload Load = region();
  Load.Batch = false;
  Load.Seconds = 750;
  Load.OnTick = [](SimScheduler &Run, Random &Generator, TimePoint Now) {
    if (Now.time_since_epoch() % std::chrono::seconds(2) != Duration::zero())
      return;
    // Each other team offers 11 cores of work, beyond its guarantee of about
    // 10; the flooding team offers 500.
    std::size_t Waiting = Run.waitingBatch(KindIndex(KindCount));
    for (std::size_t I = 0; I < 2 * (TeamCount - 1) + 90; ++I) {
      SimTask Task = batchTask(Generator);
      bool Flood = I >= 2 * (TeamCount - 1);
      Task.Spec.Team = TeamIndex(Flood ? 0 : 1 + I / 2);
      Task.Spec.Kind = KindIndex(FirstBatchKind + 1);
      Task.Spec.Declared = sizeOf(0.25, 0.5);
      Task.Cores = 0.24;
      Task.Gibibytes = 0.4;
      Task.Seconds = 45;
      if (!Flood || Waiting < 20000)
        Run.submit(std::move(Task), Now);
    }
  };
  auto Share = [](SimScheduler &Run, Result &Summary) {
    double Least = std::numeric_limits<double>::infinity();
    for (std::size_t Team = 1; Team < TeamCount; ++Team)
      Least = std::min(Least, Run.TeamCoreSeconds[Team]);
    Summary.ExtraMetrics["least_share_of_guarantee"] =
        Least / Run.GuaranteedCoreSeconds;
  };
  auto All = compare("team_flood", Load, {"daisyspool", "no-quota"}, Share);
  checkTarget("team_flood.least_share_of_guarantee", 0.95,
              All["daisyspool"].ExtraMetrics["least_share_of_guarantee"],
              false);

  Workload Calm = Load;
  Calm.OnTick = [](SimScheduler &, Random &, TimePoint) {};
  Result Unflooded = run(Calm, makePolicy("daisyspool"));
  print("team_flood", "daisyspool-unflooded", Unflooded);
  checkTarget("team_flood.urgent_p99_of_unflooded", 1.25,
              All["daisyspool"].UrgentP99 / Unflooded.UrgentP99, true);
}

/// Time and memory of decisions on a fleet of \p Vms that is nearly full.
class DecisionCost {
public:
  explicit DecisionCost(std::size_t Vms) : Vms(Vms), Generator(Vms) {
    for (std::size_t I = 0; I < Vms; ++I)
      Fleet.addVm({sizeOf(32, 125), RackIndex(I / 3), DomainIndex(I % 11)});
    learnNoise();
    // 408,000 tasks on 16,000 workers: three services and 22.5 batch tasks.
    std::size_t Tasks = Vms * 255 / 10;
    for (std::size_t I = 0; I < Tasks; ++I)
      placeTask(I);
  }

  void measure() {
    std::string Bench = "decision_" + std::to_string(Vms);
    measureIndexed(Bench, "indexed");
    printDecisionTimes(Bench, "scan",
                       [&](const TaskSpec &Spec) { placeByScan(Spec); });
    print(Bench, "indexed", "running_tasks",
          static_cast<double>(Fleet.taskCount()));
    print(Bench, "indexed", "fleet_bytes", static_cast<double>(Fleet.bytes()));
    print(Bench, "indexed", "bytes_per_task",
          static_cast<double>(Fleet.bytes()) /
              static_cast<double>(Fleet.taskCount()));
    print(Bench, "indexed", "model_bytes", static_cast<double>(Model.bytes()));
    print(Bench, "indexed", "history_bytes",
          static_cast<double>(historyBytes()));

    // Fill the fleet until nothing more fits, so that decisions refuse or
    // evict.
    constexpr std::size_t RefusalsWhenFull = 100;
    std::size_t Refused = 0;
    for (std::size_t I = 0; Refused < RefusalsWhenFull; ++I)
      Refused = placeTask(I) ? 0 : Refused + 1;
    measureIndexed(Bench, "indexed-full");
  }

private:
  static constexpr std::size_t Rounds = 4000;

  TaskSpec makeSpec(std::size_t I) {
    TaskSpec Spec;
    bool Service = I % 17 < 2;
    Spec.Class = Service ? TaskClass::Session : TaskClass::Batch;
    Spec.Reclaimable = !Service;
    Spec.Kind = KindIndex(I % 60);
    Spec.Team = TeamIndex(I % TeamCount);
    Spec.Declared = Service ? sizeOf(2, 8) : sizeOf(0.5 + Generator.unit(), 3);
    return Spec;
  }

  void learnNoise() {
    constexpr std::size_t Kinds = 60;
    for (std::size_t Victim = 0; Victim < Kinds; ++Victim)
      for (std::size_t Noisy = 7; Noisy < Kinds; Noisy += 20) {
        interference::Neighbour NoisyNeighbour{TaskIndex(0), KindIndex(Noisy),
                                               1, true};
        Model.observe(KindIndex(Victim), interference::LoadBand::Middle,
                      {&NoisyNeighbour, 1}, 1.3, TimePoint{});
      }
  }

  std::size_t historyBytes() const {
    interference::ColocationHistory History(Millis(30000));
    for (std::size_t Vm = 0; Vm < Vms; ++Vm)
      Fleet.eachTask(VmIndex(Vm), [&](TaskIndex Task, const TaskState &State) {
        History.enter(VmIndex(Vm), Task, State.Kind, TimePoint{});
      });
    return History.bytes();
  }

  bool placeTask(std::size_t I) {
    TaskSpec Spec = makeSpec(I);
    auto Decided = TaskPlacer.place({Spec}, Fleet, TimePoint{});
    auto *At = std::get_if<Placement>(&Decided);
    if (At != nullptr)
      Fleet.start(Spec, At->Vm, At->Held, TimePoint{});
    return At != nullptr;
  }

  void measureIndexed(const std::string &Bench, const char *Variant) {
    Decisions = 0;
    Examined = 0;
    Refusals = 0;
    Evictions = 0;
    printDecisionTimes(Bench, Variant,
                       [&](const TaskSpec &Spec) { placeAndStop(Spec); });
    auto All = static_cast<double>(Decisions);
    print(Bench, Variant, "examined_mean", static_cast<double>(Examined) / All);
    print(Bench, Variant, "refused_share", static_cast<double>(Refusals) / All);
    print(Bench, Variant, "evicting_share",
          static_cast<double>(Evictions) / All);
  }

  void placeAndStop(const TaskSpec &Spec) {
    PlacementRequest Request{Spec};
    Request.MayEvict = Spec.Class == TaskClass::Batch ? EvictionScope::None
                                                      : EvictionScope::Batch;
    auto Decided = TaskPlacer.place(Request, Fleet, TimePoint{});
    ++Decisions;
    if (auto *At = std::get_if<Placement>(&Decided)) {
      Examined += At->Why.Examined;
      Fleet.stop(Fleet.start(Spec, At->Vm, At->Held, TimePoint{}));
    } else if (auto *After = std::get_if<PlacementAfterEviction>(&Decided)) {
      Examined += After->Why.Examined;
      ++Evictions;
    } else {
      Examined += std::get<NoRoom>(Decided).Why.Examined;
      ++Refusals;
    }
  }

  /// Best fit over every VM.
  void placeByScan(const TaskSpec &Spec) {
    VmIndex Best;
    MilliCores Least(std::numeric_limits<std::int64_t>::max());
    for (std::size_t I = 0; I < Fleet.vmCount(); ++I) {
      Resources Free = Fleet.vm(VmIndex(I)).freeFirm();
      if (!Spec.Declared.fitsIn(Free) || Free.Cpu >= Least)
        continue;
      Least = Free.Cpu;
      Best = VmIndex(I);
    }
    if (Best.valid())
      Fleet.stop(Fleet.start(Spec, Best, Spec.Declared, TimePoint{}));
  }

  template <typename Decision>
  void printDecisionTimes(const std::string &Bench, const char *Variant,
                          Decision Decide) {
    std::vector<double> Micros;
    for (std::size_t I = 0; I < Rounds; ++I) {
      TaskSpec Spec = makeSpec(I);
      auto Start = std::chrono::steady_clock::now();
      Decide(Spec);
      auto Taken = std::chrono::steady_clock::now() - Start;
      Micros.push_back(
          std::chrono::duration<double, std::micro>(Taken).count());
    }
    print(Bench, Variant, "time_p50_us", percentile(Micros, 0.5));
    print(Bench, Variant, "time_p99_us", percentile(Micros, 0.99));
  }

  std::size_t Vms;
  Random Generator;
  FleetView Fleet;
  UsageEstimator Usage;
  UrgentReserve Reserve;
  interference::InterferenceModel Model;
  Placer TaskPlacer{{}, Usage, Reserve, &Model, nullptr};
  std::size_t Evictions = 0;
  std::size_t Decisions = 0;
  std::size_t Refusals = 0;
  std::size_t Examined = 0;
};

void decisionCost() {
  for (std::size_t Vms : {11, 100, 1000, 4000, 16000})
    DecisionCost(Vms).measure();
}

} // namespace

int main(int Count, char **Arguments) {
  const std::map<std::string, std::function<void()>> Scenarios{
      {"steady", steady},          {"noisy_waves", noisyWaves},
      {"wrong_sizes", wrongSizes}, {"flaky_workers", flakyWorkers},
      {"lost_domain", lostDomain}, {"urgent_burst", urgentBurst},
      {"team_flood", teamFlood},   {"decision_cost", decisionCost}};
  for (const auto &[Name, Scenario] : Scenarios)
    if (Count < 2 || Name == Arguments[1])
      Scenario();
  return 0;
}
