#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/core/Errors.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace daisyspool;
using namespace daisyspool::scheduling;

namespace {

constexpr std::size_t RowBytes = 65536;

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
  std::string Good = encodeProgress(activeJob(), RowBytes);
  JobProgress Restored = knownJob();
  decodeProgress(Restored, Good);
  REQUIRE(Restored.Occurrences[0].Steps[0].Tasks[0].LastRun == RunNumber(3));

  JobProgress Job = knownJob();
  std::string Before = encodeProgress(Job, RowBytes);
  auto RequireUnchanged = [&](const std::string &Odd) {
    REQUIRE_THROWS_AS(decodeProgress(Job, Odd), ProtocolError);
    REQUIRE(encodeProgress(Job, RowBytes) == Before);
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

namespace {

/// A job of 3 occurrences of 5000 tasks, all with a run and a checkpoint.
JobProgress largeJob(const std::string &Checkpoint) {
  JobProgress Job;
  Job.Record.Id = JobId("5c0e7a21d94b36f8");
  Job.Record.Definition.Steps.resize(2);
  Job.Record.Definition.Steps[0].Count = 4999;
  Job.Record.Definition.Repeats.Times = 3;
  Job.TasksPerRow = tasksPerRow(RowBytes);
  Job.Status = JobStatus::Active;
  for (int K = 0; K < 3; ++K)
    addOccurrence(Job);
  std::uint64_t Number = 0;
  for (auto &Occurrence : Job.Occurrences)
    for (auto &Step : Occurrence.Steps)
      for (auto &Task : Step.Tasks) {
        Task.Phase = TaskPhase::Assigned;
        Task.LastRun = RunNumber(++Number);
        Task.Vm = VmId(std::string(190, 'v'));
        Task.Life = WorkerLife(1765000000000);
        Task.Checkpoint = Checkpoint;
      }
  return Job;
}

} // namespace

// Guards against a row above the store's limit, which the store never accepts,
// and against parts that overlap or leave tasks out.
TEST_CASE("the parts of a large job fit in rows and restore every task") {
  JobProgress Job = largeJob("00000bb87a21d94b");
  JobProgress Restored;
  Restored.Record = Job.Record;
  Restored.TasksPerRow = Job.TasksPerRow;
  REQUIRE_FALSE(decodeProgress(Restored, encodeProgress(Job, RowBytes)));
  for (std::uint32_t First = 0; First < taskCount(Job);
       First += Job.TasksPerRow) {
    std::string Row = encodePart(Job, First, RowBytes);
    REQUIRE(Row.size() <= RowBytes);
    decodePart(Restored, First, Row);
  }
  REQUIRE(Restored.Status == JobStatus::Active);
  REQUIRE(Restored.Occurrences.size() == 3);
  std::uint64_t Number = 0;
  for (const auto &Occurrence : Restored.Occurrences)
    for (const auto &Step : Occurrence.Steps)
      for (const auto &Task : Step.Tasks)
        REQUIRE(Task.LastRun == RunNumber(++Number));
  REQUIRE(taskNumber(Job, {Job.Record.Id, 2, 1, 0}) == 14999);
}

// Guards against a checkpoint of any length that makes a row too large: the run
// itself must be stored.
TEST_CASE("checkpoints that do not fit in a row are left out") {
  JobProgress Job = largeJob(std::string(5000, 'c'));
  std::string Row = encodePart(Job, 0, RowBytes);
  REQUIRE(Row.size() <= RowBytes);
  JobProgress Restored = largeJob("");
  decodePart(Restored, 0, Row);
  REQUIRE(Restored.Occurrences[0].Steps[0].Tasks[0].Checkpoint.empty());
  REQUIRE(Restored.Occurrences[0].Steps[0].Tasks[0].LastRun == RunNumber(1));
}

// Guards against a part that exhausts the memory or names tasks that the job
// does not have.
TEST_CASE("an odd part of stored progress throws and changes nothing") {
  JobProgress Job = largeJob("");
  std::string Before = encodePart(Job, 0, RowBytes);
  std::string Good = encodePart(Job, 14800, RowBytes);
  REQUIRE_THROWS_AS(decodePart(Job, 14900, Good), ProtocolError);
  REQUIRE_THROWS_AS(decodePart(Job, 15000, "\x90"), ProtocolError);
  REQUIRE_THROWS_AS(decodePart(Job, 0, "\x91\x07"), ProtocolError);
  REQUIRE_THROWS_AS(decodePart(Job, 0, "\x01"), ProtocolError);
  REQUIRE_THROWS_AS(decodePart(Job, 0, testing::deepMsgpack()), ProtocolError);
  REQUIRE(encodePart(Job, 0, RowBytes) == Before);
}
