#include "daisyspool/evidence/evidence.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace daisyspool;
using namespace daisyspool::evidence;

namespace {

AttemptEnd end(std::size_t Task, std::size_t Job, std::size_t Worker,
               Outcome Result) {
  return {TaskHandle(Task), JobIndex(Job), VmIndex(Worker), Result};
}

/// Workers 0 to 9, each of which has run a task of job 99.
EvidenceTable tableOfWorkingWorkers() {
  EvidenceTable Table;
  Table.setWorkerCount(10);
  for (std::size_t I = 0; I < 10; ++I)
    Table.record(end(900 + I, 99, I, Outcome::Succeeded), TimePoint{});
  return Table;
}

} // namespace

// Guards against an unrunnable task that is retried for ever, and against the
// quarantine of the workers where it fails.
TEST_CASE("a task that fails on three working workers ends as unrunnable") {
  auto Table = tableOfWorkingWorkers();
  REQUIRE_FALSE(Table.record(end(1, 1, 0, Outcome::Failed), {}).End);
  REQUIRE_FALSE(Table.record(end(1, 1, 1, Outcome::Failed), {}).End);
  auto Third = Table.record(end(1, 1, 2, Outcome::Failed), {});
  REQUIRE(std::get<Unrunnable>(*Third.End).Workers == 3);
  REQUIRE(Table.quarantinedCount() == 0);
}

// Guards against a large unrunnable job that tries every task on three workers.
TEST_CASE("a job whose first tasks are all unrunnable ends early") {
  auto Table = tableOfWorkingWorkers();
  for (std::size_t Task = 0; Task < 3; ++Task)
    for (std::size_t Worker = 0; Worker < 3; ++Worker)
      Table.record(end(Task, 1, Worker, Outcome::Failed), {});
  auto Next = Table.record(end(3, 1, 5, Outcome::Failed), {});
  REQUIRE(std::holds_alternative<JobUnrunnable>(*Next.End));
}

// Guards against a worker that fails every task and, being idle, gets more and
// more of them, and against ending these tasks as unrunnable.
TEST_CASE("a worker where runnable tasks fail is quarantined for a time") {
  auto Table = tableOfWorkingWorkers();
  std::vector<Quarantine> Seen;
  auto Record = [&](const AttemptEnd &Ended) {
    auto Conclusion = Table.record(Ended, {});
    REQUIRE_FALSE(Conclusion.End);
    Seen.insert(Seen.end(), Conclusion.Quarantined.begin(),
                Conclusion.Quarantined.end());
  };
  for (std::size_t I = 0; I < 3; ++I) {
    Record(end(10 + I, 1 + I % 2, 7, Outcome::Failed));
    Record(end(10 + I, 1 + I % 2, I, Outcome::Succeeded));
  }
  REQUIRE(Seen.size() == 1);
  REQUIRE(Seen[0].Worker == VmIndex(7));
  REQUIRE(Seen[0].DistinctTasks == 3);
  REQUIRE(Table.quarantined(VmIndex(7)));

  REQUIRE(Table.release(TimePoint(Millis(299999))).empty());
  REQUIRE(Table.release(TimePoint(Millis(300000))) == std::vector{VmIndex(7)});
}

// Guards against a failing worker that gets hundreds of tasks before the first
// of them succeeds elsewhere.
TEST_CASE("a failing worker is quarantined while its tasks run elsewhere") {
  auto Table = tableOfWorkingWorkers();
  std::size_t Quarantines = 0;
  for (std::size_t I = 0; I < 3; ++I)
    Table.record(end(10 + I, 1 + I % 2, 7, Outcome::Failed), {});
  for (std::size_t I = 0; I < 3; ++I)
    Quarantines +=
        Table.outlived(TaskHandle(10 + I), VmIndex(I), {}).Quarantined.size();
  REQUIRE(Quarantines == 1);
  REQUIRE(Table.quarantined(VmIndex(7)));
}

// Guards against the quarantine of working workers because of flaky tasks.
TEST_CASE("a worker that mostly succeeds is not quarantined") {
  auto Table = tableOfWorkingWorkers();
  for (std::size_t I = 0; I < 30; ++I) {
    auto Result = I % 3 == 0 ? Outcome::Failed : Outcome::Succeeded;
    Table.record(end(100 + I, I % 4, 6, Result), {});
    Table.record(end(200 + I, I % 4, 2, Outcome::Succeeded), {});
  }
  REQUIRE(Table.quarantinedCount() == 0);
}

// Guards against many cancellations that are taken for failing workers.
TEST_CASE("failures after a cancellation do not count") {
  auto Table = tableOfWorkingWorkers();
  for (std::size_t Job = 1; Job < 4; ++Job) {
    Table.record(end(Job, Job, 3, Outcome::Succeeded), {});
    Table.cancelJob(JobIndex(Job));
    for (std::size_t I = 0; I < 20; ++I) {
      auto Conclusion =
          Table.record(end(100 * Job + I, Job, 5,
                           I % 2 ? Outcome::Failed : Outcome::Cancelled),
                       {});
      REQUIRE(std::holds_alternative<CancelledByCaller>(*Conclusion.End));
    }
  }
  REQUIRE(Table.quarantinedCount() == 0);
}

// Guards against a task that is retried for ever because its workers are lost.
TEST_CASE("attempts lost with their workers are bounded") {
  auto Table = tableOfWorkingWorkers();
  Finding Last;
  for (std::size_t I = 0; I < 5; ++I)
    Last = Table.record(end(1, 1, I, Outcome::Lost), {});
  REQUIRE(std::get<AttemptsExhausted>(*Last.End).Lost == 5);
}

// Guards against a quarantine of more than 20% of the workers and against
// unbounded attempts, whatever fails where.
TEST_CASE("any sequence respects the quarantine cap and the attempt limit") {
  bool Held = rc::check("evidence keeps its bounds", [] {
    EvidenceTable Table;
    Table.setWorkerCount(12);
    std::vector<int> Failures(30);
    int Steps = *rc::gen::inRange(1, 400);
    TimePoint Now{};
    for (int I = 0; I < Steps; ++I) {
      Now += std::chrono::seconds(1);
      auto Task = static_cast<std::size_t>(*rc::gen::inRange(0, 30));
      auto Worker = static_cast<std::size_t>(*rc::gen::inRange(0, 12));
      auto Result =
          *rc::gen::inRange(0, 3) == 0 ? Outcome::Succeeded : Outcome::Failed;
      auto Conclusion = Table.record(end(Task, Task % 5, Worker, Result), Now);
      if (Result == Outcome::Failed)
        ++Failures[Task];
      if (Result == Outcome::Succeeded || Conclusion.End)
        Failures[Task] = 0;
      RC_ASSERT(Failures[Task] < 6);
      RC_ASSERT(Table.quarantinedCount() <= 2);
      Table.release(Now);
    }
  });
  REQUIRE(Held);
}
