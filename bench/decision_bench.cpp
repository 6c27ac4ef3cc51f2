// Measures the outcomes of routing and admission decisions against baselines,
// on a simulated fleet under virtual time.
#include "RequestEntries.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace daisyspool;
using namespace daisyspool::bench;

namespace {

constexpr TimePoint WindowStart = TimePoint(20 * Second);
constexpr TimePoint WindowEnd = TimePoint(50 * Second);
constexpr TimePoint RunEnd = TimePoint(80 * Second);
constexpr double WindowSeconds = 30;
// Membership removes a silent target after this time.
constexpr Duration DeathDetection = 5 * Second;
constexpr std::uint64_t DefaultSeed = 20261204;

std::vector<Deployment> deployments() {
  Deployment Voicematch;
  Voicematch.Name = "voicematch";
  Voicematch.Domains = {"saskatoon", "regina", "winnipeg"};
  Voicematch.OneWay = std::chrono::microseconds(3500);
  Voicematch.Classes = {
      {WorkClass::Urgent, 0.20, Millis(12), Millis(250), true, 4},
      {WorkClass::Session, 0.25, 30 * Second, 1 * Second, false, 4},
      {WorkClass::Standard, 0.20, Millis(400), 10 * Second, false, 8},
      {WorkClass::Batch, 0.15, Millis(300), 20 * Second, true, 4}};

  Deployment Schulweg;
  Schulweg.Name = "schulwegdienst";
  Schulweg.Domains = {"burgdorf", "langnau", "konolfingen", "sumiswald"};
  Schulweg.OneWay = Millis(3);
  Schulweg.ReserveDeviations = 0.5;
  Schulweg.Classes = {
      {WorkClass::Urgent, 0.20, Millis(20), Millis(400), true, 4},
      {WorkClass::Session, 0.25, 30 * Second, 1 * Second, false, 4},
      {WorkClass::Standard, 0.20, Millis(150), 10 * Second, false, 8},
      {WorkClass::Batch, 0.15, Millis(500), 20 * Second, true, 4}};
  return {Voicematch, Schulweg};
}

struct Scenario {
  std::string Name;
  /// Factor on the arrivals of each class during the window.
  std::array<double, WorkClassCount> ArrivalFactors{1, 1, 1, 1};
  /// Factor on the arrivals of team 0 of the standard class.
  double Team0ArrivalFactor = 1;
  bool LosesDomain = false;
  bool SlowLink = false;
  bool FlakyTarget = false;
};

std::vector<Scenario> scenarios() {
  return {{"steady"},
          {"full-mix", {1, 1, 1, 3.5}},
          {"flood-batch", {1, 1, 1, 10}},
          {"flood-urgent", {10, 1, 1, 1}},
          {"flood-both", {10, 1, 1, 10}},
          {"flood-team", {1, 1, 1, 1}, 40},
          {"domain-lost", {1, 1, 1, 1}, 1, true},
          {"slow-link", {1, 1, 1, 1}, 1, false, true},
          {"flaky-worker", {1, 1, 1, 1}, 1, false, false, true}};
}

struct ClassResult {
  std::uint64_t Offered = 0;
  std::uint64_t OnTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t Failed = 0;
  /// Time in the window that slots spent on requests answered on time.
  double GoodSlotSeconds = 0;
  double OfferedSlotSeconds = 0;
  /// Work in requests answered on time in the window, as its time on an idle
  /// target. Unlike slot time it does not grow when targets get slower.
  double WorkSeconds = 0;
  std::vector<double> LatencyMs;

  double percentile(double Fraction) {
    if (LatencyMs.empty())
      return 0;
    std::sort(LatencyMs.begin(), LatencyMs.end());
    auto Index = static_cast<std::size_t>(Fraction * double(LatencyMs.size()));
    return LatencyMs[std::min(Index, LatencyMs.size() - 1)];
  }
};

struct RunResult {
  std::array<ClassResult, WorkClassCount> Classes;
  /// Standard requests of all teams but team 0.
  ClassResult QuietTeams;
  double ExtraLoad = 0;
  double Retries = 0;
  double Hedges = 0;

  ClassResult &of(WorkClass Class) {
    return Classes[static_cast<std::size_t>(Class)];
  }
  double goodSlotSeconds() const {
    double Sum = 0;
    for (const ClassResult &Each : Classes)
      Sum += Each.GoodSlotSeconds;
    return Sum;
  }
};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Length in seconds of the part of [End - Length, End] in the window.
double secondsInWindow(TimePoint End, Duration Length) {
  TimePoint From = std::max(End - Length, WindowStart);
  return std::max(0.0, seconds(std::min(End, WindowEnd) - From));
}

void record(ClassResult &To, const BenchRequest &Request,
            RequestOutcome Outcome, Duration Ran, TimePoint Now) {
  bool Session = Request.Load->Class == WorkClass::Session;
  bool OnTime = Outcome == RequestOutcome::Answered &&
                (Session || Now <= Request.deadline());
  if (OnTime && !Session)
    To.GoodSlotSeconds += secondsInWindow(Now, Ran);
  if (OnTime && Now >= WindowStart && Now < WindowEnd)
    To.WorkSeconds += seconds(Request.Size);
  if (Request.ArrivedAt < WindowStart || Request.ArrivedAt >= WindowEnd)
    return;

  ++To.Offered;
  To.OfferedSlotSeconds += seconds(Request.Size);
  if (Outcome == RequestOutcome::RefusedNotRun)
    ++To.RefusedNotRun;
  else if (Outcome == RequestOutcome::Failed)
    ++To.Failed;
  else
    ++(OnTime ? To.OnTime : To.Late);
  if (Outcome == RequestOutcome::Answered && !Session)
    To.LatencyMs.push_back(seconds(Now - Request.ArrivedAt) * 1e3);
}

using MakeEntry =
    std::function<std::unique_ptr<BenchEntry>(RequestFleet &, EndedFn)>;

/// One run of a scenario with one entry.
class Run {
public:
  Run(const Deployment &Setup, const Scenario &Case, std::uint64_t Seed,
      const MakeEntry &Make)
      : Fleet(Setup, Seed), Case(Case), Arrivals(Seed + 1),
        Entry(Make(Fleet,
                   [this](BenchRequest &Request, RequestOutcome Outcome,
                          Duration Ran) { onEnded(Request, Outcome, Ran); })) {}

  RunResult result() {
    for (std::uint32_t Target = 0; Target < Fleet.setup().Targets; ++Target)
      Entry->addTarget(Target, true);
    Fleet.addSlowdown({3, 30 * Second, 36 * Second, 2.0});
    Fleet.addSlowdown({7, 40 * Second, 44 * Second, 1.5});
    scheduleFaults();
    for (const ClassLoad &Load : Fleet.setup().Classes)
      scheduleArrival(Load);
    tick();
    Fleet.run(RunEnd);

    double First = double(std::max<std::uint64_t>(Entry->firstAttempts(), 1));
    Result.Retries = double(Entry->retries()) / First;
    Result.Hedges = double(Entry->hedges()) / First;
    Result.ExtraLoad = Result.Retries + Result.Hedges;
    return std::move(Result);
  }

private:
  void tick() {
    Entry->tick();
    Fleet.after(Millis(1), [this] { tick(); });
  }

  void scheduleFaults() {
    Fleet.after(WindowStart - TimePoint(), [this] {
      Fleet.setFailing(5, Case.FlakyTarget);
      if (Case.SlowLink)
        for (std::uint32_t Domain = 1; Domain < Fleet.setup().Domains.size();
             ++Domain)
          Fleet.setOneWay(Domain, Millis(60));
      if (Case.LosesDomain)
        setDomainDown(true);
    });
    Fleet.after(WindowStart + 20 * Second - TimePoint(), [this] {
      Fleet.setFailing(5, false);
      for (std::uint32_t Domain = 1; Domain < Fleet.setup().Domains.size();
           ++Domain)
        Fleet.setOneWay(Domain, Fleet.setup().OneWay);
      if (Case.LosesDomain)
        setDomainDown(false);
    });
  }

  void setDomainDown(bool Down) {
    for (std::uint32_t Target = 0; Target < Fleet.setup().Targets; ++Target) {
      if (Fleet.domainOf(Target) != 1)
        continue;
      Fleet.setDown(Target, Down);
      if (Down)
        Fleet.after(DeathDetection,
                    [this, Target] { Entry->removeTarget(Target); });
      else
        Entry->addTarget(Target, false);
    }
  }

  double rate(const ClassLoad &Load) const {
    double Units =
        Load.Class == WorkClass::Session
            ? double(Fleet.setup().Targets) * Fleet.setup().Connections
            : Fleet.setup().slots();
    return Load.Utilization * Units / seconds(Load.MeanService);
  }

  void scheduleArrival(const ClassLoad &Load) {
    bool IsInWindow = Fleet.now() >= WindowStart && Fleet.now() < WindowEnd;
    double Base = rate(Load);
    double Rate = Base;
    double Team0 = Base / Load.Teams;
    if (IsInWindow) {
      Rate = Base * Case.ArrivalFactors[static_cast<std::size_t>(Load.Class)];
      if (Load.Class == WorkClass::Standard) {
        double More = Team0 * (Case.Team0ArrivalFactor - 1);
        Rate += More;
        Team0 += More;
      }
    }
    double Gap = -std::log(1 - Arrivals.unit()) / Rate;
    Fleet.after(Duration(static_cast<Duration::rep>(Gap * 1e9)),
                [this, &Load, Team0Fraction = Team0 / Rate] {
                  arrive(Load, Team0Fraction);
                  scheduleArrival(Load);
                });
  }

  void arrive(const ClassLoad &Load, double Team0Fraction) {
    if (Fleet.now() >= WindowEnd + 20 * Second)
      return;
    auto Request = std::make_shared<BenchRequest>();
    Request->Key = NextKey++;
    Request->Load = &Load;
    Request->ArrivedAt = Fleet.now();
    // An exponential tail, bounded at 3.5 times the mean.
    double Tail = std::min(-std::log(1 - Arrivals.unit()), 6.0);
    Request->Size = Duration(static_cast<Duration::rep>(
        double(Load.MeanService.count()) * (0.5 + 0.5 * Tail)));
    Request->Team =
        Arrivals.unit() < Team0Fraction
            ? 0
            : 1 + int(Arrivals.below(std::uint64_t(Load.Teams - 1)));
    Entry->arrive(Request);
  }

  void onEnded(BenchRequest &Request, RequestOutcome Outcome, Duration Ran) {
    record(Result.of(Request.Load->Class), Request, Outcome, Ran, Fleet.now());
    if (Request.Load->Class == WorkClass::Standard && Request.Team != 0)
      record(Result.QuietTeams, Request, Outcome, Ran, Fleet.now());
  }

  RequestFleet Fleet;
  Scenario Case;
  Random Arrivals;
  std::unique_ptr<BenchEntry> Entry;
  RunResult Result;
  std::uint64_t NextKey = 1;
};

DaisyOptions makeOptions(const Deployment &Setup) {
  DaisyOptions Options;
  Options.Routing.Home = FailureDomainId(Setup.Domains.front());
  Options.Admission.Classes[0].ReserveDeviations = Setup.ReserveDeviations;
  for (const ClassLoad &Load : Setup.Classes) {
    auto Index = static_cast<std::size_t>(Load.Class);
    if (Load.Class != WorkClass::Session)
      Options.Admission.Classes[Index].InitialService = Load.MeanService;
  }
  return Options;
}

MakeEntry makeDaisyEntry(const DaisyOptions &Options) {
  return [Options](RequestFleet &Fleet, EndedFn OnEnded) {
    return std::make_unique<DaisyEntry>(Fleet, std::move(OnEnded), Options);
  };
}

template <typename EntryType> MakeEntry makeBaseline() {
  return [](RequestFleet &Fleet, EndedFn OnEnded) {
    return std::make_unique<EntryType>(Fleet, std::move(OnEnded));
  };
}

void printMetric(const std::string &Bench, const std::string &Variant,
                 const std::string &Metric, double Value) {
  std::printf("bench=%s variant=%s metric=%s value=%.4g\n", Bench.c_str(),
              Variant.c_str(), Metric.c_str(), Value);
}

void printResult(const Deployment &Setup, const std::string &Bench,
                 const std::string &Variant, RunResult &Result) {
  double Capacity = Setup.slots() * WindowSeconds;
  ClassResult &Urgent = Result.of(WorkClass::Urgent);
  printMetric(Bench, Variant, "urgent_p50_ms", Urgent.percentile(0.5));
  printMetric(Bench, Variant, "urgent_p99_ms", Urgent.percentile(0.99));
  printMetric(Bench, Variant, "urgent_p99.9_ms", Urgent.percentile(0.999));
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    ClassResult &Each = Result.Classes[Index];
    auto Class = static_cast<WorkClass>(Index);
    std::string Name = toString(Class);
    double Offered = double(std::max<std::uint64_t>(Each.Offered, 1));
    if (Class != WorkClass::Session)
      printMetric(Bench, Variant, Name + "_goodput_of_capacity",
                  Each.GoodSlotSeconds / Capacity);
    printMetric(Bench, Variant, Name + "_on_time",
                double(Each.OnTime) / Offered);
    printMetric(Bench, Variant, Name + "_refused_unrun",
                double(Each.RefusedNotRun) / Offered);
    printMetric(Bench, Variant, Name + "_late", double(Each.Late));
    printMetric(Bench, Variant, Name + "_failed", double(Each.Failed));
  }
  printMetric(Bench, Variant, "goodput_of_capacity",
              Result.goodSlotSeconds() / Capacity);
  printMetric(Bench, Variant, "retries", Result.Retries);
  printMetric(Bench, Variant, "hedges", Result.Hedges);
}

bool checkTarget(const std::string &Target, const char *Relation, double Bound,
                 double Measured) {
  bool Pass = Relation[0] == '>' ? Measured >= Bound : Measured <= Bound;
  std::printf("target=%s bound=%s%.4g measured=%.4g verdict=%s\n",
              Target.c_str(), Relation, Bound, Measured,
              Pass ? "pass" : "fail");
  return Pass;
}

using Results = std::map<std::string, std::map<std::string, RunResult>>;

void checkTargets(const Deployment &Setup, Results &All) {
  const std::string &Name = Setup.Name;
  double Capacity = Setup.slots() * WindowSeconds;
  auto OwnResult = [&](const char *Scenario) -> RunResult & {
    return All[Scenario]["daisyspool"];
  };
  double Unflooded = OwnResult("steady").of(WorkClass::Urgent).percentile(0.99);
  for (const char *Flood : {"flood-batch", "flood-team"})
    checkTarget(Name + ".urgent_p99_over_unflooded." + Flood, "<=", 1.25,
                OwnResult(Flood).of(WorkClass::Urgent).percentile(0.99) /
                    Unflooded);

  for (const char *Flood : {"flood-urgent", "flood-both"}) {
    RunResult &Result = OwnResult(Flood);
    checkTarget(Name + ".goodput_of_capacity." + Flood, ">=", 0.9,
                Result.goodSlotSeconds() / Capacity);
    double Late = 0;
    for (ClassResult &Each : Result.Classes)
      Late += double(Each.Late + Each.Failed);
    checkTarget(Name + ".late_or_failed." + Flood, "<=", 0, Late);
    ClassResult &Sessions = Result.of(WorkClass::Session);
    checkTarget(Name + ".sessions_kept." + Flood, ">=", 1,
                double(Sessions.OnTime) / double(Sessions.Offered));
    for (WorkClass Class : {WorkClass::Standard, WorkClass::Batch}) {
      ClassResult &Each = Result.of(Class);
      double Share =
          AdmissionSettings{}.Classes[static_cast<std::size_t>(Class)].Share;
      double Due = std::min(Share * Capacity, Each.OfferedSlotSeconds);
      checkTarget(Name + "." + toString(Class) + "_of_guaranteed_share." +
                      Flood,
                  ">=", 0.95, Each.GoodSlotSeconds / Due);
    }
  }

  for (const char *Scenario : {"steady", "full-mix", "flood-batch"}) {
    auto Batch = [&](const std::string &Variant) {
      return All[Scenario][Variant].of(WorkClass::Batch).WorkSeconds;
    };
    double Best = std::max(Batch("fifo"), Batch("random"));
    checkTarget(Name + ".batch_over_best_baseline." + Scenario, ">=", 0.95,
                Batch("daisyspool") / Best);
    // Baselines that differ by less than the allowance are equally good.
    for (const char *Variant : {"fifo", "random"}) {
      if (Batch(Variant) < 0.95 * Best)
        continue;
      std::string Target = Name;
      Target.append(".urgent_p99_over_").append(Variant);
      Target.append(".").append(Scenario);
      checkTarget(
          Target, "<=", 0.5,
          OwnResult(Scenario).of(WorkClass::Urgent).percentile(0.99) /
              All[Scenario][Variant].of(WorkClass::Urgent).percentile(0.99));
    }
  }

  auto QuietOnTime = [&](const char *Scenario) {
    const ClassResult &Quiet = OwnResult(Scenario).QuietTeams;
    return double(Quiet.OnTime) / double(Quiet.Offered);
  };
  checkTarget(Name + ".quiet_teams_on_time_over_unflooded.flood-team",
              ">=", 0.95, QuietOnTime("flood-team") / QuietOnTime("steady"));
  const std::string ExtraLoad = Name + ".extra_load.";
  for (auto &[Scenario, Variants] : All)
    checkTarget(ExtraLoad + Scenario, "<=", 0.1,
                Variants["daisyspool"].ExtraLoad);
}

/// A changed setting, and the scenarios to run with it.
struct Alternative {
  std::string Name;
  std::vector<std::string> Scenarios;
  std::function<void(DaisyOptions &)> Change;
};

std::vector<Alternative> alternatives() {
  auto Urgent = [](DaisyOptions &Options) -> ClassPolicy & {
    return Options.Admission.Classes[0];
  };
  return {
      {"one-choice",
       {"steady", "flaky-worker"},
       [](DaisyOptions &Options) { Options.Routing.Choices = 1; }},
      {"all-targets",
       {"steady", "flaky-worker"},
       [](DaisyOptions &Options) { Options.Routing.Choices = 1000; }},
      {"no-load-weight",
       {"steady"},
       [](DaisyOptions &Options) { Options.Routing.LoadWeight = 0; }},
      {"no-ejection",
       {"flaky-worker"},
       [](DaisyOptions &Options) { Options.Routing.MaxEjectedShare = 0; }},
      {"fixed-concurrency",
       {"steady", "flood-urgent"},
       [](DaisyOptions &Options) { Options.Routing.AdaptConcurrency = false; }},
      {"full-transit",
       {"steady", "flood-urgent"},
       [](DaisyOptions &Options) { Options.Routing.DiscountTransit = false; }},
      {"no-hedging",
       {"steady", "domain-lost"},
       [](DaisyOptions &Options) { Options.Hedge = false; }},
      {"hedge-p99",
       {"steady", "domain-lost"},
       [](DaisyOptions &Options) { Options.Hedging.Quantile = 0.99; }},
      {"no-reserve",
       {"steady", "flood-batch", "flood-team"},
       [=](DaisyOptions &Options) {
         Urgent(Options).ReserveDeviations.reset();
       }},
      {"reserve-not-at-home",
       {"flood-batch", "flood-team"},
       [](DaisyOptions &Options) { Options.KeepHomeFree = false; }},
      {"reserve-2-deviations",
       {"flood-batch", "flood-team"},
       [=](DaisyOptions &Options) { Urgent(Options).ReserveDeviations = 2; }},
      {"wait-all-slack",
       {"flood-urgent", "flood-both"},
       [](DaisyOptions &Options) { Options.Admission.WaitPart = 1; }},
      {"wait-half-slack",
       {"flood-urgent", "flood-both"},
       [](DaisyOptions &Options) { Options.Admission.WaitPart = 0.5; }},
      {"median-service",
       {"flood-urgent", "flood-both"},
       [](DaisyOptions &Options) {
         Options.Admission.ServiceQuantile = 0.5;
         Options.Admission.WaitPart = 1;
       }},
  };
}

void runAlternatives(const Deployment &Setup, const Scenario &Case,
                     std::uint64_t Seed) {
  for (const Alternative &Other : alternatives()) {
    if (std::find(Other.Scenarios.begin(), Other.Scenarios.end(), Case.Name) ==
        Other.Scenarios.end())
      continue;
    DaisyOptions Options = makeOptions(Setup);
    Other.Change(Options);
    RunResult Result = Run(Setup, Case, Seed, makeDaisyEntry(Options)).result();
    printResult(Setup, Setup.Name + "." + Case.Name, Other.Name, Result);
  }
}

void runDeployment(const Deployment &Setup, std::uint64_t Seed) {
  Results All;
  std::vector<std::pair<std::string, MakeEntry>> Variants{
      {"daisyspool", makeDaisyEntry(makeOptions(Setup))},
      {"random", makeBaseline<RandomEntry>()},
      {"fifo", makeBaseline<FifoEntry>()}};
  for (const Scenario &Case : scenarios()) {
    for (const auto &[Name, Make] : Variants) {
      RunResult Result = Run(Setup, Case, Seed, Make).result();
      printResult(Setup, Setup.Name + "." + Case.Name, Name, Result);
      All[Case.Name][Name] = std::move(Result);
    }
    runAlternatives(Setup, Case, Seed);
  }
  checkTargets(Setup, All);
}

} // namespace

/// Usage: decision_bench [SEED]
int main(int Count, char **Arguments) {
  std::uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : DefaultSeed;
  for (const Deployment &Setup : deployments())
    runDeployment(Setup, Seed);
  return 0;
}
