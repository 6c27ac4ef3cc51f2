#include "fleet/FleetChecks.h"
#include "support/CpuTime.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::testing;
using scheduling::JobStatus;

// Guards against one accepted job that keeps each leader in turn from its other
// work: all its occurrences are due at once.
TEST_CASE("a job with thousands of due occurrences does not stop the others") {
  VirtualFleet Fleet(10, 3, 3, {MilliCores(16000), MebiBytes(64000), {}});
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 4);
  auto Recurring = chainJob("recurring", 1, 1);
  Recurring.Definition.Repeats = {4000, Fleet.Loop.wallNow(), Millis(0)};
  Fleet.submit(0, Recurring, Millis(100));
  Fleet.Loop.runFor(Millis(500));
  Fleet.killEntry(Fleet.leader());
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 8);
  Fleet.Loop.runFor(Millis(3000));
  for (int I = 0; I < 8; ++I) {
    JobId Id("job" + std::to_string(I));
    if (Fleet.AcceptedJobs.count(Id) != 0)
      REQUIRE(Fleet.status(Id) == JobStatus::Completed);
  }
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(60)));
  REQUIRE(Fleet.AcceptedJobs.count(Recurring.Id) == 1);
  requireNoViolations(Fleet);
}

// Guards against a job whose starts for a worker exceed what its agent takes in
// one request: no sync would reach the agent, and the worker's lease lapses.
TEST_CASE("a job with long texts starts on one worker") {
  VirtualFleet Fleet(11, 3, 2, {MilliCores(16000), MebiBytes(64000), {}});
  Fleet.Loop.runFor(Millis(3000));
  auto Lasting = chainJob("lasting", 1, 2);
  Lasting.Definition.Steps[0].LongRunning = true;
  Fleet.submit(0, Lasting, Millis(500));
  auto Large = chainJob("large", 1, 1200, 10);
  Large.Definition.Steps[0].Needs.Memory = MebiBytes(10);
  Large.Definition.Spec = std::string(4000, 'x');
  // Orders that got no reply are all due at once.
  Fleet.Loop.runFor(Millis(500));
  Fleet.CutOff = {true, true};
  Fleet.submit(1, Large, Millis(500));
  Fleet.Loop.runFor(Millis(700));
  Fleet.CutOff = {false, false};
  Fleet.Loop.runFor(Millis(3500));
  REQUIRE(Fleet.status(Large.Id) == JobStatus::Completed);
  REQUIRE(Fleet.Invariants.Starts >= 1202);
  REQUIRE(Fleet.Invariants.Lapses == 0);
  requireNoViolations(Fleet);
}

// Guards against takeovers without end: a new leader that handles the rows of
// all jobs in one step does not renew its status and is replaced.
TEST_CASE("a takeover with thousands of jobs takes short steps") {
  constexpr int Jobs = 40000;
  VirtualFleet Fleet(12, 1, 3);
  Fleet.killEntry(0);
  scheduling::JobProgress Ended;
  Ended.Status = JobStatus::Completed;
  std::string Progress = scheduling::encodeProgress(Ended, 65536);
  for (int I = 0; I < Jobs; ++I) {
    auto Job = chainJob("ended" + std::to_string(I), 2, 4);
    Job.Accepted = Fleet.Loop.wallNow();
    rows::RowTransaction Write;
    Write.Puts = {{intake::jobRow(Job.Id), workload::encodeJob(Job)},
                  {intake::progressRow(Job.Id), Progress}};
    Fleet.Store.apply(Write);
  }
  Fleet.Loop.LongestEvent.emplace();
  Fleet.startEntry(0);
  Fleet.Loop.runFor(Millis(15000));
  REQUIRE(Fleet.Loop.LongestEvent < MaxStepTime);
  submitJobs(Fleet, 3);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(5)));
  requireNoViolations(Fleet);
}

// Guards against a second run of the tasks whose ends a worker has no room to
// list: more than 500 wait to be acknowledged while the store is down.
TEST_CASE("tasks that end during an outage of the store run once") {
  for (bool AgentRestarts : {false, true}) {
    INFO(AgentRestarts);
    VirtualFleet Fleet(9, 3, 2, {MilliCores(16000), MebiBytes(160000), {}});
    Fleet.Loop.runFor(Millis(3000));
    for (std::size_t I = 0; I < 14; ++I)
      Fleet.submit(I % 3, chainJob("job" + std::to_string(I), 1, 100, 10),
                   Millis(1400));
    Fleet.Loop.runFor(Millis(1000));
    REQUIRE(Fleet.Invariants.Starts == 1400);
    Fleet.Store.Down = true;
    Fleet.Loop.runFor(Millis(1500));
    if (AgentRestarts)
      for (std::size_t I : {0U, 1U}) {
        Fleet.killAgent(I);
        Fleet.startAgent(I);
      }
    Fleet.Loop.runFor(Millis(3000));
    Fleet.Store.Down = false;
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
    requireNoViolations(Fleet);
    REQUIRE(Fleet.Invariants.Starts == 1400);
  }
}
