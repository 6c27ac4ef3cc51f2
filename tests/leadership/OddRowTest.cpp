#include "fleet/VirtualFleet.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::testing;
using scheduling::JobStatus;

namespace {

/// Leaves one row of each kind that another writer may have written.
void putOddRows(VirtualFleet &Fleet, const std::string &Prefix) {
  rows::RowTransaction Write;
  std::string Steps = workload::encodeJob(chainJob("odd", 2, 1));
  auto Put = [&Write](const rows::RowName &Name, const std::string &Value) {
    Write.Puts.push_back({Name, Value});
  };
  auto OddJob = [&Prefix](const char *Name) {
    return intake::jobRow(JobId(Prefix + Name));
  };
  Put(OddJob("deep"), deepMsgpack());
  Put(OddJob("count"), withElement(Steps, "/4/0/0", 4000000000U));
  Put(OddJob("after"), withElement(Steps, "/4/1/5/0", 4000000000U));
  Put(OddJob("empty"), "");
  for (const char *Address :
       {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:1e9", "", "10.0.0.1"})
    Put(intake::agentRow(VmId(Prefix + Address)), Address);
  Put({intake::IntakeTable, intake::intakePartitions().front(), Prefix + "x"},
      "x");
  Put(intake::progressRow(JobId(Prefix + "deep")), deepMsgpack());
  Put(intake::progressRow(JobId("known")), deepMsgpack());
  Put(intake::tailModelRow(), deepMsgpack());
  Fleet.Store.apply(Write);
}

} // namespace

// Guards against a leader that never finishes loading, ends or follows no
// further change because another writer left odd rows among the jobs, agents
// and progress of the fleet.
TEST_CASE("odd rows do not stop a leader from loading and following") {
  VirtualFleet Fleet(31, 2, 2);
  putOddRows(Fleet, "before-");
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.leader() < 2);
  Fleet.submit(0, chainJob("job0", 2, 4), Millis(600));
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  putOddRows(Fleet, "after-");
  Fleet.Loop.runFor(Millis(500));
  Fleet.submit(1, chainJob("job1", 2, 4), Millis(600));
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  Fleet.killEntry(Fleet.leader());
  Fleet.Loop.runFor(Millis(4000));
  std::size_t Successor = Fleet.leader();
  REQUIRE(Successor < 2);
  Fleet.submit(Successor, chainJob("job2", 2, 4), Millis(600));
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.AcceptedJobs.size() == 3);
  REQUIRE(Fleet.Invariants.Violations.empty());
}
