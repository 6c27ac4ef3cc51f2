#include "scheduling/OverloadReplay.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <deque>
#include <set>

using namespace daisyspool;
using namespace daisyspool::testing;

namespace {

constexpr Millis EventAt{5000};
constexpr Millis End{20000};

using StepHook = std::function<void(Millis, SchedulerFixture &)>;

struct Pattern {
  const char *Name;
  Load Work;
  StepHook OnStep = [](Millis, SchedulerFixture &) {};
  Millis LastingCountedFrom{0};
};

/// Ten VMs of 16 cores: services keep half, queries need a fifth and batch a
/// quarter of the rest.
Pattern usualLoad(const char *Name) {
  Pattern Result;
  Result.Name = Name;
  for (int I = 0; I < 4; ++I)
    Result.Work.add(Millis(0), "lasting", 1);
  Result.Work.addStream("query", Millis(1000), End, Millis(400));
  Result.Work.addStream("batch", Millis(1000), End, Millis(3000));
  return Result;
}

Pattern largeBurst() {
  Pattern Result = usualLoad("burst of the largest kind");
  Result.Work.addStream("batch", EventAt, EventAt + Millis(4000), Millis(400));
  return Result;
}

Pattern urgentBurst() {
  Pattern Result = usualLoad("burst of short urgent work");
  Result.Work.addStream("query", EventAt, EventAt + Millis(4000), Millis(60));
  return Result;
}

Pattern evacuation() {
  Pattern Result = usualLoad("a third of the room evacuated");
  Result.Work.addStream("query", EventAt, EventAt + Millis(6000), Millis(300));
  Result.OnStep = [](Millis Now, SchedulerFixture &Setup) {
    int Vm = 0;
    for (auto &Each : Setup.Replies)
      Each.second.Worker->Draining =
          Vm++ < 3 && Now >= EventAt && Now < EventAt + Millis(8000);
  };
  return Result;
}

Pattern powerLoss() {
  Pattern Result = usualLoad("long-running jobs return after a power loss");
  for (int I = 0; I < 2; ++I)
    Result.Work.add(Millis(0), "lasting", 1);
  Result.OnStep = [](Millis Now, SchedulerFixture &Setup) {
    if (Now == EventAt)
      for (auto &Each : Setup.Replies)
        Each.second.Worker->Life = WorkerLife(2);
  };
  Result.LastingCountedFrom = EventAt + Replay::Step;
  return Result;
}

Pattern retries() {
  Pattern Result = usualLoad("retries of refused callers");
  Result.Work.addStream("batch", EventAt, EventAt + Millis(6000), Millis(100));
  return Result;
}

struct Compared {
  Results Served;
  int Refusals = 0;
};

Compared replay(const Pattern &Each, JobOrder Order, bool Refuses = false) {
  Replay Run(Order, 10, Refuses);
  Run.LastingCountedFrom = Each.LastingCountedFrom;
  Results Served = Run.run(Each.Work, Each.OnStep);
  return {Served, Run.Refusals};
}

} // namespace

// Prints the figures of docs/design/overload-order.md.
TEST_CASE("figures of the orders", "[.figures]") {
  for (const Pattern &Each :
       {largeBurst(), urgentBurst(), evacuation(), powerLoss(), retries()}) {
    std::printf("%s\n", Each.Name);
    for (auto [Order, Name] : {std::pair(JobOrder::Arrival, "arrival"),
                               std::pair(JobOrder::Deadline, "deadline"),
                               std::pair(JobOrder::Work, "work"),
                               std::pair(JobOrder::Cost, "cost")}) {
      Compared Result = replay(Each, Order, Order == JobOrder::Cost);
      std::printf("  %-9s refusals %3d", Name, Result.Refusals);
      for (const auto &[Kind, Sum] : Result.Served)
        std::printf("  %s %d/%d/%d", Kind.c_str(), Sum.InTime, Sum.Late,
                    Sum.Never);
      std::printf("\n");
    }
  }
}

namespace {

int useful(const Results &Of, const std::string &Kind) {
  auto Found = Of.find(Kind);
  return Found == Of.end() ? 0 : Found->second.InTime + Found->second.Late;
}

int inTime(const Results &Of) {
  return Of.at("query").InTime + Of.at("batch").InTime;
}

/// Replays the pattern in each order and compares who is served.
void compare(const Pattern &Each) {
  INFO(Each.Name);
  Results Arrival = replay(Each, JobOrder::Arrival).Served;
  Results Work = replay(Each, JobOrder::Work).Served;
  Results Cost = replay(Each, JobOrder::Cost, true).Served;
  REQUIRE(inTime(Cost) >= inTime(Arrival));
  // A tenth of the jobs, three times as large as the mean of the others, makes
  // up a quarter of the work. Their turns may cost the others no more.
  REQUIRE(4 * inTime(Cost) >= 3 * inTime(Work));
  for (const char *Kind : {"query/large", "batch/large"})
    REQUIRE(useful(Cost, Kind) >= useful(Work, Kind));
  REQUIRE(Cost.at("lasting").InTime == Work.at("lasting").InTime);
}

} // namespace

// Guards against a queue whose largest jobs are never served while smaller ones
// keep arriving, and against a flood of them in front of all others.
TEST_CASE("a burst of the largest kind onto a full fleet") {
  Pattern Each = largeBurst();
  compare(Each);
  REQUIRE(useful(replay(Each, JobOrder::Work).Served, "batch/large") == 0);
  REQUIRE(useful(replay(Each, JobOrder::Cost).Served, "batch/large") > 0);
}

// Guards against urgent work of no use any more that takes the room of batch
// that can still be of use.
TEST_CASE("a burst of short urgent work") {
  Pattern Each = urgentBurst();
  compare(Each);
  REQUIRE(useful(replay(Each, JobOrder::Work).Served, "batch") <
          useful(replay(Each, JobOrder::Cost).Served, "batch"));
}

// Guards against an order that serves nobody in time while room is missing.
TEST_CASE("a third of the room is evacuated") { compare(evacuation()); }

// Guards against services that users cannot reach because short work, which
// has piled up behind them, takes the room first.
TEST_CASE("long-running jobs return at once after a power loss") {
  compare(powerLoss());
}

// Guards against refusals of jobs that would have been served, and against
// callers that return before there is room and displace those that wait.
TEST_CASE("callers that are refused return") {
  Pattern Each = retries();
  compare(Each);
  Compared With = replay(Each, JobOrder::Cost, true);
  Compared Without = replay(Each, JobOrder::Cost);
  REQUIRE(With.Refusals > 0);
  for (const char *Kind : {"query", "batch", "query/large", "batch/large"})
    REQUIRE(useful(With.Served, Kind) >= useful(Without.Served, Kind));
}

namespace {

/// Jobs with ready tasks and their policies, for decisions without a scheduler.
struct Demands {
  std::deque<JobId> Ids;
  std::deque<workload::QueuePolicy> Policies;
  std::vector<overload::JobDemand> Jobs;

  /// A job with an objective of 2 s that arrived \p Waited ago.
  overload::JobDemand &add(const std::string &Id, int Priority, Millis Waited) {
    overload::JobDemand Job;
    Job.Id = &Ids.emplace_back(Id);
    Job.Policy = &Policies.emplace_back(
        workload::QueuePolicy{workload::QueueId("q" + std::to_string(Priority)),
                              ServiceId("s"), Priority});
    Job.Arrival = Job.IdleSince = Start - Waited;
    Job.TargetCompletion = Job.Arrival + Millis(2000);
    Job.InitialSlack = Millis(1000);
    Job.RemainingPath = Millis(1000);
    Job.RemainingWork = 1'000'000;
    Job.ReadyTasks = 1;
    return Jobs.emplace_back(Job);
  }

  std::string order(overload::OverloadOrder &Subject, TimePoint Now) const {
    std::string Result;
    for (const overload::Turn &Each : Subject.decide(Jobs, Now))
      Result += Jobs[Each.Job].Id->str() + (Each.Later ? "- " : " ");
    return Result;
  }
};

} // namespace

// Guards against urgent work of no use that preempts batch or goes before it.
TEST_CASE("work of no use gives way only while room is scarce") {
  Demands Waiting;
  Waiting.add("useless", 0, Millis(6000));
  Waiting.add("late", 0, Millis(3000));
  Waiting.add("batch", 2, Millis(0));
  overload::OverloadOrder Subject(JobOrder::Cost);
  REQUIRE(Waiting.order(Subject, Start) == "late useless batch ");
  // Late jobs alone do not make room scarce.
  Subject.updateRegime(Waiting.Jobs, false, Start);
  REQUIRE_FALSE(Subject.isScarce());
  Subject.updateRegime(Waiting.Jobs, true, Start);
  REQUIRE(Subject.isScarce());
  REQUIRE(Waiting.order(Subject, Start) == "late batch useless- ");
  // The regime does not change with each task that ends.
  Subject.updateRegime(Waiting.Jobs, false, Start + Millis(500));
  REQUIRE(Subject.isScarce());
  Subject.updateRegime(Waiting.Jobs, false, Start + Millis(1000));
  REQUIRE_FALSE(Subject.isScarce());
}

// Guards against a job that waits for ever behind a flood of others, and
// against a flood of such jobs.
TEST_CASE("one job a second goes first because it has waited for long") {
  Demands Waiting;
  Waiting.add("new", 0, Millis(0));
  Waiting.add("oldest", 2, Millis(14000));
  Waiting.add("older", 2, Millis(13000));
  overload::OverloadOrder Subject(JobOrder::Cost);
  Subject.updateRegime(Waiting.Jobs, true, Start);
  REQUIRE(Waiting.order(Subject, Start) == "oldest- new older- ");
  Waiting.Jobs[1].AssignedTasks = 1;
  REQUIRE(Waiting.order(Subject, Start + Millis(500)) == "new oldest- older- ");
  REQUIRE(Waiting.order(Subject, Start + Millis(1000)) ==
          "older- new oldest- ");
}

// Guards against a refusal that is not certain to be right, and against callers
// that all return at once or in the wrong order.
TEST_CASE("only what can be of no use is refused") {
  Demands New;
  overload::JobDemand Job = New.add("a", 2, Millis(0));
  overload::RoomEstimate Estimate;
  auto &Steps = Estimate.Waits[Job.Policy->Name];
  Steps = {{1'000'000, Millis(5500), Millis(5500)},
           {2'000'000, Millis(9000), Millis(9000)}};
  auto Refused = overload::refuse(Job, Estimate, Millis(100));
  REQUIRE(Refused);
  REQUIRE(Refused->LongestWait == Millis(5000));
  REQUIRE(Refused->RetryAfter >= Millis(5400));
  REQUIRE_FALSE(overload::refuse(Job, Estimate, Millis(600)));
  REQUIRE_FALSE(overload::refuse(Job, Estimate, Millis(2001)));
  REQUIRE_FALSE(overload::refuse(Job, {}, Millis(0)));
  std::set<Millis> Returns;
  for (int I = 0; I < 20; ++I) {
    overload::JobDemand Other = New.add("a" + std::to_string(I), 2, Millis(0));
    Returns.insert(overload::refuse(Other, Estimate, Millis(0))->RetryAfter);
    Other.RemainingWork *= 2;
    REQUIRE(overload::refuse(Other, Estimate, Millis(0))->RetryAfter >=
            Millis(9000));
    Other.LongRunning = true;
    REQUIRE_FALSE(overload::refuse(Other, Estimate, Millis(0)));
  }
  REQUIRE(Returns.size() > 10);
  // While it is in time, only jobs in time go before it.
  Steps[0].InTimeWait = Millis(900);
  REQUIRE_FALSE(overload::refuse(Job, Estimate, Millis(0)));
  // Nothing is known about jobs smaller than those that wait.
  Steps[0].InTimeWait = Millis(5500);
  Job.RemainingWork = 500'000;
  REQUIRE_FALSE(overload::refuse(Job, Estimate, Millis(0)));
}
