// A scheduler with agents whose replies the test sets, and the rows that it
// stores.
#ifndef DAISYSPOOL_TESTS_SCHEDULING_SCHEDULERFIXTURE_H
#define DAISYSPOOL_TESTS_SCHEDULING_SCHEDULERFIXTURE_H

#include "daisyspool/rows/RowStore.h"
#include "daisyspool/scheduling/scheduling.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisyspool::testing {

using namespace daisyspool::scheduling;
using workload::ImageId;
using workload::StepDefinition;

inline const TimePoint Start{Millis(1000000)};
inline const WallMillis Wall{1};

inline workload::JobRecord job(const std::string &Id, std::uint32_t Count,
                               std::int64_t Cpu, int Priority = 0) {
  workload::JobRecord Job;
  Job.Id = JobId(Id);
  Job.Policy = {workload::QueueId("q" + std::to_string(Priority)),
                ServiceId("s"),
                Priority,
                2,
                2.0,
                Millis(1000)};
  StepDefinition Step;
  Step.Count = Count;
  Step.Needs = {MilliCores(Cpu), MebiBytes(100), {}};
  Step.Estimate = Millis(1000);
  Job.Definition.Steps = {Step};
  return Job;
}

inline workload::JobRecord service(const std::string &Id, std::uint32_t Count,
                                   std::int64_t Cpu, const std::string &Image) {
  workload::JobRecord Job = job(Id, Count, Cpu);
  Job.Definition.Steps[0].LongRunning = true;
  Job.Definition.Steps[0].Image = ImageId(Image);
  Job.Definition.Steps[0].TailTarget = Millis(100);
  return Job;
}

/// A scheduler with agents whose replies the test sets.
struct SchedulerFixture {
  Scheduler Subject;
  TimePoint Now = Start;
  std::uint64_t Commits = Scheduler::RestoredCommit.value();
  std::map<VmId, runner::SyncReply> Replies;

  explicit SchedulerFixture(std::size_t VmCount, std::int64_t Cpu = 8000,
                            Scheduler::Options Config = {})
      : Subject(Config) {
    for (std::size_t I = 0; I < VmCount; ++I) {
      VmId Vm("vm" + std::to_string(I));
      Subject.addVm(Vm, Now);
      runner::SyncReply &Reply = Replies[Vm];
      Reply.Accepted = true;
      Reply.AgentIncarnation = 1;
      Reply.Stamp = 1;
      Reply.GrantLeft = Millis(4000);
      Reply.Worker =
          runner::WorkerReport{runner::WorkerLife(1),
                               TargetId("w"),
                               ServiceId("s"),
                               {},
                               {MilliCores(Cpu), MebiBytes(32000), {}},
                               {"a", "r1-1"}};
    }
    sendReplies();
  }

  void sendReplies() {
    for (auto &[Vm, Reply] : Replies)
      Subject.onSyncReply(Vm, 0, Reply, Now);
  }

  /// Makes all decisions that are due, in as many passes as they need.
  void scheduleAll(WallMillis At = Wall) {
    do
      Subject.schedule(Now, At);
    while (Subject.hasDeferredWork());
  }

  void scheduleAndCommit() {
    scheduleAll();
    while (Subject.hasChanges()) {
      CommitNumber Number(++Commits);
      Subject.takeChanges(Number, {});
      Subject.onCommitted(Number);
    }
  }

  /// Sends the orders and lists every assigned run as running.
  void startAssignedRuns() {
    for (auto &[Vm, Reply] : Replies) {
      Subject.nextSync(Vm, Epoch(1), Now);
      Reply.Running.clear();
      for (const auto &[Task, Run] : Subject.vm(Vm)->Assigned)
        Reply.Running.push_back({{Task, Run.Run}, "", 50, 10});
    }
  }

  std::size_t runCount(const std::string &Job) const {
    std::size_t Sum = 0;
    for (const auto &[Vm, Reply] : Replies)
      for (const auto &[Task, Run] : Subject.vm(Vm)->Assigned)
        Sum += Task.Job == JobId(Job) ? 1 : 0;
    return Sum;
  }

  void endRun(const std::string &Vm, const TaskName &Task, std::uint64_t Run,
              runner::EndCause Cause) {
    auto &Reply = Replies[VmId(Vm)];
    std::uint64_t Next = Reply.Ended.size() + 1;
    Reply.Ended.push_back(
        {runner::EndNumber(Next), {Task, runner::RunNumber(Run)}, Cause, ""});
    sendReplies();
  }
};

using Rows =
    std::map<std::pair<JobId, std::optional<std::uint32_t>>, std::string>;

/// Commits all changes and returns the number of transactions. Requires that
/// each is within the limits of the store.
inline std::size_t commitAll(SchedulerFixture &Setup, Rows &Stored) {
  std::size_t Transactions = 0;
  while (Setup.Subject.hasChanges()) {
    Scheduler::Budget Room;
    CommitNumber Number(++Setup.Commits);
    auto Changes = Setup.Subject.takeChanges(Number, Room);
    REQUIRE(Changes.size() <= Room.Rows);
    std::size_t Bytes = 0;
    for (auto &Change : Changes) {
      REQUIRE(Change.Progress.size() <= 65536);
      Bytes += rows::encodedBytes(40, Change.Progress.size());
      Stored[{Change.Job, Change.FirstTask}] = std::move(Change.Progress);
    }
    REQUIRE(Bytes <= Room.Bytes);
    Setup.Subject.onCommitted(Number);
    ++Transactions;
  }
  return Transactions;
}

inline void restoreAll(Scheduler &Subject, const Rows &Stored, TimePoint Now) {
  for (const auto &[Key, Value] : Stored)
    if (Key.second)
      Subject.restorePart(Key.first, *Key.second, Value);
    else
      Subject.restore(Key.first, Value, Now);
  while (Subject.finishRestoring(Now))
    ;
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_SCHEDULING_SCHEDULERFIXTURE_H
