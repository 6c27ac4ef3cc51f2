#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/core/Errors.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::scheduling;

namespace {

/// A job of two steps, of which the first has a run.
JobProgress activeJob() {
  JobProgress Job;
  Job.Record.Id = JobId("5c0e7a21d94b36f8");
  Job.Record.Definition.Steps.resize(2);
  Job.Record.Definition.Steps[1].After = {0};
  addOccurrence(Job);
  Job.Status = JobStatus::Active;
  TaskProgress &Task = Job.Occurrences[0].Steps[0].Tasks[0];
  Task.Phase = TaskPhase::Assigned;
  Task.LastRun = RunNumber(3);
  Task.Vm = VmId("vm1");
  Task.Life = WorkerLife(77);
  return Job;
}

JobProgress knownJob() {
  JobProgress Job;
  Job.Record = activeJob().Record;
  addOccurrence(Job);
  return Job;
}

} // namespace

// Guards against stored progress that exhausts the stack of the next leader, or
// of the entry that answers a caller's question.
TEST_CASE("deeply nested stored progress throws ProtocolError") {
  JobProgress Job = knownJob();
  std::string Deep = testing::deepMsgpack();
  REQUIRE_THROWS_AS(decodeProgress(Job, Deep), ProtocolError);
  REQUIRE_THROWS_AS(decodeProgress(Job, std::string("\x92\x01") + Deep),
                    ProtocolError);
  REQUIRE_THROWS_AS(decodeStatus(std::string("\x92\x01") + Deep),
                    ProtocolError);
}

// Guards against numbers that wrap when they are read or exhaust the memory,
// and against a job that keeps half of an unreadable progress: its tasks would
// be assigned to no VM and never start.
TEST_CASE("odd stored progress throws and leaves the job unchanged") {
  std::string Good = encodeProgress(activeJob());
  JobProgress Restored = knownJob();
  decodeProgress(Restored, Good);
  REQUIRE(Restored.Occurrences[0].Steps[0].Tasks[0].LastRun == RunNumber(3));

  JobProgress Job = knownJob();
  std::string Before = encodeProgress(Job);
  auto RequireUnchanged = [&](const std::string &Odd) {
    REQUIRE_THROWS_AS(decodeProgress(Job, Odd), ProtocolError);
    REQUIRE(encodeProgress(Job) == Before);
    REQUIRE(Job.Occurrences.size() == 1);
  };
  for (const char *Path :
       {"/0", "/1/0/0/0/1", "/1/0/0/0/2", "/1/0/0/0/4", "/1/0/1/0"})
    for (const nlohmann::json &Odd :
         {nlohmann::json(-1), nlohmann::json(1e30), nlohmann::json(-1e30),
          nlohmann::json(std::numeric_limits<std::uint64_t>::max()),
          nlohmann::json("1"), nlohmann::json(true)}) {
      INFO(Path << " " << Odd);
      RequireUnchanged(testing::withElement(Good, Path, Odd));
    }
  // More occurrences than the job has.
  RequireUnchanged(
      testing::withElement(Good, "/1",
                           nlohmann::json(std::vector<nlohmann::json>(
                               50000, nlohmann::json::array({1, 1})))));
  RequireUnchanged(testing::withElement(Good, "/1/0/1", "odd"));
}

// Guards against an overflow of the estimate, which is undefined: the job would
// be ordered differently on different machines.
TEST_CASE("the remaining work of the largest job is clamped") {
  JobProgress Job;
  Job.Record.Definition.Steps.resize(2);
  for (auto &Step : Job.Record.Definition.Steps) {
    Step.Count = 2500;
    Step.Needs.Cpu = MilliCores(1000000000);
    Step.Estimate = Millis(10000000000);
  }
  addOccurrence(Job);
  REQUIRE(Job.RemainingWork == std::numeric_limits<std::int64_t>::max());
}
