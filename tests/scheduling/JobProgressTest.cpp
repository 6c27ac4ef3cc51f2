#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/core/Errors.h"
#include "support/CpuTime.h"
#include "support/OddValues.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

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

// Guards against a leader that ends when it reads a part of a job whose earlier
// parts are not stored.
TEST_CASE("a part is restored without the parts before it") {
  JobProgress Job;
  Job.Record.Definition.Steps.resize(1);
  Job.Record.Definition.Repeats.Times = 1000;
  Job.TasksPerRow = tasksPerRow(RowBytes);
  JobProgress Restored = Job;
  for (int K = 0; K < 500; ++K)
    addOccurrence(Job);
  completeTask(Job, {Job.Record.Id, 410, 0, 0});
  decodePart(Restored, 400, encodePart(Job, 400, RowBytes));
  updateDerivedFields(Restored);
  REQUIRE(Restored.Occurrences.size() == 500);
  REQUIRE(Restored.Occurrences[410].Steps[0].isComplete());
  REQUIRE(Restored.ReadyTasks == 499);
}

namespace {

/// A job of a step of two tasks, one of three that follows it, and one beside
/// them.
JobProgress recurringJob(std::uint32_t Times) {
  JobProgress Job;
  Job.Record.Id = JobId("5c0e7a21d94b36f8");
  auto &Steps = Job.Record.Definition.Steps;
  Steps.resize(3);
  for (std::uint32_t I = 0; I < 3; ++I) {
    Steps[I].Count = I == 0 ? 2 : I == 1 ? 3 : 1;
    Steps[I].Needs.Cpu = MilliCores(100 * (I + 1));
    Steps[I].Estimate = Millis(1000 + 100 * I);
  }
  Steps[1].After = {0};
  Job.Record.Definition.Repeats.Times = Times;
  return Job;
}

/// Marks the task as being run, as the scheduler does.
void assign(JobProgress &Job, const TaskName &Task) {
  Job.findTask(Task)->Phase = TaskPhase::Assigned;
  --Job.ReadyTasks;
}

} // namespace

// Guards against totals that drift from the tasks: tasks would never be placed,
// or the job never complete.
TEST_CASE("updated totals of a job equal those that are computed anew") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    JobProgress Job = recurringJob(5);
    std::vector<TaskName> Open;
    auto RequireSame = [&] {
      JobProgress Anew = Job;
      updateDerivedFields(Anew);
      REQUIRE(Job.ReadyTasks == Anew.ReadyTasks);
      REQUIRE(Job.RemainingWork == Anew.RemainingWork);
      REQUIRE(Job.RemainingCriticalPath == Anew.RemainingCriticalPath);
      REQUIRE(isComplete(Job) == isComplete(Anew));
    };
    while (Job.Occurrences.size() < 5 || !Open.empty()) {
      if (Job.Occurrences.size() < 5 && Random() % 6 == 0) {
        auto K = static_cast<std::uint32_t>(Job.Occurrences.size());
        addOccurrence(Job);
        for (const TaskName &Task : {TaskName{Job.Record.Id, K, 0, 0},
                                     {Job.Record.Id, K, 0, 1},
                                     {Job.Record.Id, K, 1, 0},
                                     {Job.Record.Id, K, 1, 1},
                                     {Job.Record.Id, K, 1, 2},
                                     {Job.Record.Id, K, 2, 0}})
          Open.push_back(Task);
      } else if (!Open.empty()) {
        auto Chosen =
            Open.begin() + static_cast<std::ptrdiff_t>(Random() % Open.size());
        if (isStepReady(Job, Job.Occurrences[Chosen->Occurrence],
                        Chosen->Step)) {
          REQUIRE_FALSE(isComplete(Job));
          if (Random() % 2 == 0)
            assign(Job, *Chosen);
          completeTask(Job, *Chosen);
          Open.erase(Chosen);
        }
      }
      RequireSame();
    }
    REQUIRE(isComplete(Job));
    REQUIRE(Job.RemainingWork == 0);
    REQUIRE(Job.RemainingCriticalPath == Millis(0));
  }
}

// Guards against a cost that grows with the square of the occurrences: one job
// with 20,000 of them keeps each leader busy until the next one takes over.
TEST_CASE("the cost of an occurrence does not grow with their number") {
  constexpr std::uint32_t Times = 20000;
  JobProgress Job = recurringJob(Times);
  auto Adding = testing::cpuTime([&] {
    for (std::uint32_t K = 0; K < Times; ++K)
      addOccurrence(Job);
  });
  auto Completing = testing::cpuTime([&] {
    for (std::uint32_t K = 0; K < Times; ++K)
      for (std::uint32_t I = 0; I < 2; ++I)
        completeTask(Job, {Job.Record.Id, K, 0, I});
  });
  // At least 20 steps of the event loop of a thousand occurrences each.
  REQUIRE(Adding < 20 * testing::MaxStepTime);
  REQUIRE(Completing < 20 * testing::MaxStepTime);
  REQUIRE(Job.ReadyTasks == 4 * Times);
}
