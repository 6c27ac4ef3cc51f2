#include "daisyspool/http/Server.h"
#include "daisyspool/workload/Limits.h"
#include "scheduling/SchedulerFixture.h"
#include "support/CpuTime.h"

#include <catch2/catch.hpp>

#include <set>

using namespace daisyspool;
using namespace daisyspool::testing;
using Fixture = daisyspool::testing::SchedulerFixture;

// Guards against a large job that always has more changed rows than a
// transaction takes: neither the other jobs nor its last rows would be written.
TEST_CASE("the rows of a large job and of other jobs are written in turn") {
  workload::JobRecord Wide = job("wide", 5000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(4);
  Fixture Setup(2, 16000);
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.Subject.addJob(job("other", 1, 1000), Millis(0), Setup.Now);
  std::map<VmId, std::vector<TaskName>> Runs;
  for (const auto &[Vm, Reply] : Setup.Replies)
    for (const auto &[Task, Run] : Setup.Subject.vm(Vm)->Assigned)
      Runs[Vm].push_back(Task);
  REQUIRE(Runs.size() == 2);
  // A run of each row ends before each transaction.
  std::set<JobId> Jobs;
  std::set<std::uint32_t> Parts;
  for (std::size_t I = 0; I < 8; ++I) {
    for (auto &[Vm, Tasks] : Runs)
      for (std::size_t N = I; N < Tasks.size(); N += 100)
        Setup.endRun(Vm.str(), Tasks[N], 1, runner::EndCause::Done);
    Setup.Subject.schedule(Setup.Now, Wall);
    CommitNumber Number(++Setup.Commits);
    for (const auto &Change : Setup.Subject.takeChanges(Number, {5, 900'000})) {
      Jobs.insert(Change.Job);
      if (Change.FirstTask)
        Parts.insert(*Change.FirstTask);
    }
    Setup.Subject.onCommitted(Number);
    if (I == 1)
      REQUIRE(Jobs.count(JobId("other")) == 1);
  }
  REQUIRE(Parts.size() == 25);
}

// Guards against ends that are never acknowledged while a busy fleet always has
// changes to write: the worker has no room to list newer ones.
TEST_CASE("an end is acknowledged while other jobs wait to be written") {
  Fixture Setup(1, 16000);
  const std::vector<std::string> Jobs{"a", "b", "c"};
  for (const std::string &Id : Jobs)
    Setup.Subject.addJob(job(Id, 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  for (const std::string &Id : Jobs)
    Setup.endRun("vm0", {JobId(Id), 0, 0, 0}, 1, runner::EndCause::Done);
  auto Recorded = [&] {
    return Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now)
        .EndsRecorded;
  };
  for (std::uint64_t I = 1; I <= Jobs.size(); ++I) {
    CommitNumber Number(++Setup.Commits);
    Setup.Subject.takeChanges(Number, {1, 900'000});
    REQUIRE(Recorded() == runner::EndNumber(I - 1));
    Setup.Subject.onCommitted(Number);
    REQUIRE(Recorded() == runner::EndNumber(I));
  }
}

// Guards against a worker with a full list of ends whose acknowledgement waits
// until the agent has something else to report.
TEST_CASE("many recorded ends are acknowledged at once") {
  Fixture Setup(1, 16000);
  workload::JobRecord Wide = job("wide", 100, 100);
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  VmId Vm("vm0");
  for (std::uint32_t I = 0; I < 100; ++I) {
    REQUIRE_FALSE(Setup.Subject.hasOrders(Vm));
    Setup.endRun("vm0", {Wide.Id, 0, 0, I}, 1, runner::EndCause::Done);
    Setup.scheduleAndCommit();
  }
  REQUIRE(Setup.Subject.hasOrders(Vm));
  REQUIRE(Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now).EndsRecorded ==
          runner::EndNumber(100));
  REQUIRE_FALSE(Setup.Subject.hasOrders(Vm));
}

// Guards against the acknowledgement of an end whose transaction the store has
// rejected: the next leader would start the task again.
TEST_CASE("an end in a rejected transaction is not acknowledged") {
  Fixture Setup(1, 16000);
  for (const char *Id : {"a", "b"})
    Setup.Subject.addJob(job(Id, 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  for (const char *Id : {"a", "b"})
    Setup.endRun("vm0", {JobId(Id), 0, 0, 0}, 1, runner::EndCause::Done);
  CommitNumber Number(++Setup.Commits);
  Setup.Subject.takeChanges(Number, {});
  REQUIRE(Setup.Subject.onRejected(Number));
  auto Recorded = [&] {
    return Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now)
        .EndsRecorded;
  };
  // While the rejected job is searched for, a transaction has one job.
  for (std::uint64_t I = 0; I < 2; ++I, Number = Number.next()) {
    REQUIRE(Recorded() == runner::EndNumber(I));
    Setup.Subject.takeChanges(Number, {});
    Setup.Subject.onCommitted(Number);
  }
  REQUIRE(Recorded() == runner::EndNumber(2));
}

// Guards against a job of thousands of tasks whose ends wait for all its rows.
TEST_CASE("an end is acknowledged once its row of a large job is written") {
  workload::JobRecord Wide = job("wide", 1000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  Fixture Setup(1, 16000);
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  for (std::uint32_t Index : {0U, 500U})
    Setup.endRun("vm0", {Wide.Id, 0, 0, Index}, 1, runner::EndCause::Done);
  auto Recorded = [&] {
    return Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now)
        .EndsRecorded;
  };
  for (std::uint64_t I = 1; I <= 2; ++I) {
    CommitNumber Number(++Setup.Commits);
    REQUIRE(Setup.Subject.takeChanges(Number, {1, 900'000}).size() == 1);
    REQUIRE(Recorded() == runner::EndNumber(I - 1));
    Setup.Subject.onCommitted(Number);
    REQUIRE(Recorded() == runner::EndNumber(I));
  }
}

namespace {

/// A job of one step with \p Times occurrences that are all due.
workload::JobRecord dueJob(const std::string &Id, std::uint32_t Times,
                           std::uint32_t Count, std::int64_t Cpu) {
  workload::JobRecord Job = job(Id, Count, Cpu);
  Job.Definition.Repeats = {Times, Wall, Millis(0)};
  return Job;
}

} // namespace

// Guards against one job whose thousands of tasks hold the leader's event loop
// until the next leader takes over, which does the same.
TEST_CASE("no pass takes longer than a small leader may be silent") {
  workload::JobRecord Wide = job("large", 5000, 1000);
  workload::JobRecord Small = job("large", 5000, 5);
  Small.Definition.Steps[0].Needs.Memory = MebiBytes(1);
  workload::JobRecord Due = dueJob("large", 20000, 1, 1000);
  workload::JobRecord Separate = dueJob("large", 20000, 5, 100);
  Separate.Definition.Steps[0].MaxPerVm = 1;
  workload::JobRecord Gangs = dueJob("large", 20000, 5, 3000);
  Gangs.Definition.Steps[0].Gang = true;
  int Kind = 0;
  for (const auto &Large : {Wide, Small, Due, Separate, Gangs}) {
    INFO("kind " << ++Kind);
    Fixture Setup(3, 16000);
    Setup.Subject.addJob(Large, Millis(0), Setup.Now);
    Setup.Subject.addJob(job("other", 1, 1000), Millis(0), Setup.Now);
    std::uint64_t Ends = 0;
    // The first passes add and place the tasks, the others go on while the
    // fleet is full and runs end.
    for (int Pass = 0; Pass < 130; ++Pass) {
      Setup.Now += Millis(20);
      auto Taken = cpuTime([&] {
        Setup.Subject.schedule(Setup.Now, Wall + Millis(1));
        Setup.Subject.takeChanges(CommitNumber(++Setup.Commits), {});
      });
      REQUIRE(Taken < MaxStepTime);
      Setup.Subject.onCommitted(CommitNumber(Setup.Commits));
      if (Pass == 1)
        REQUIRE(Setup.runCount("other") == 1);
      for (auto &Each : Setup.Replies) {
        const VmId &Vm = Each.first;
        runner::SyncReply &Reply = Each.second;
        Reply.Running.clear();
        for (const auto &[Task, Run] : Setup.Subject.vm(Vm)->Assigned)
          Reply.Running.push_back({{Task, Run.Run}, "", 50, 10});
        if (Pass > 110 && !Reply.Running.empty()) {
          Reply.Ended = {{runner::EndNumber(++Ends), Reply.Running.front().Name,
                          runner::EndCause::Done, ""}};
          Reply.Running.erase(Reply.Running.begin());
        }
        auto Handled = cpuTime(
            [&] { Setup.Subject.onSyncReply(Vm, 0, Reply, Setup.Now); });
        REQUIRE(Handled < MaxStepTime);
      }
    }
    REQUIRE_FALSE(Setup.Subject.hasDeferredWork());
    REQUIRE(Setup.runCount("large") >= 5);
  }
}

// Guards against one job of low priority whose thousands of runs make each
// urgent job that waits expensive: all of them are considered for preemption.
TEST_CASE("the cost of preemption does not grow with jobs times runs") {
  // With a task that a few stopped runs make room for, and one that none can.
  for (std::int64_t Cpu : {1000, 20000}) {
    INFO(Cpu);
    Fixture Setup(3, 16000);
    workload::JobRecord Wide = job("wide", 5000, 9, 1);
    Wide.Definition.Steps[0].Needs.Memory = MebiBytes(1);
    Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
    Setup.scheduleAndCommit();
    REQUIRE(Setup.runCount("wide") == 5000);
    Setup.startAssignedRuns();
    Setup.sendReplies();
    for (int I = 0; I < 2000; ++I)
      Setup.Subject.addJob(job("urgent" + std::to_string(I), 2, Cpu), Millis(0),
                           Setup.Now);
    auto Taken = cpuTime([&] { Setup.Subject.schedule(Setup.Now, Wall); });
    REQUIRE(Taken < MaxStepTime);
  }
}

// Guards against a takeover that no entry survives: the next leader restores
// all occurrences of the largest job in one step of its event loop.
TEST_CASE("no step of a takeover takes longer than a leader may be silent") {
  workload::JobRecord Large = dueJob("large", 20000, 5, 1000);
  Fixture Setup(3, 16000);
  Rows Stored;
  Setup.Subject.addJob(Large, Millis(0), Setup.Now);
  Setup.scheduleAll(Wall + Millis(1));
  commitAll(Setup, Stored);
  REQUIRE(Setup.Subject.job(Large.Id)->Occurrences.size() == 20000);

  Fixture Next(3, 16000);
  auto Adding =
      cpuTime([&] { Next.Subject.addJob(Large, Millis(0), Next.Now); });
  REQUIRE(Adding < MaxStepTime);
  for (const auto &[Key, Value] : Stored) {
    auto Restoring = cpuTime([&, &Row = Key, &Progress = Value] {
      if (Row.second)
        Next.Subject.restorePart(Row.first, *Row.second, Progress);
      else
        Next.Subject.restore(Row.first, Progress, Next.Now);
    });
    REQUIRE(Restoring < MaxStepTime);
  }
  auto Finishing =
      cpuTime([&] { REQUIRE_FALSE(Next.Subject.finishRestoring(Next.Now)); });
  REQUIRE(Finishing < MaxStepTime);
  REQUIRE(Next.Subject.job(Large.Id)->Occurrences.size() == 20000);
  REQUIRE(Next.runCount("large") == Setup.runCount("large"));
}

// Guards against a new leader that writes every restored run again before its
// first decisions: with thousands of them that takes dozens of transactions.
TEST_CASE("restored runs are not written again") {
  workload::JobRecord Wide = job("wide", 1000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  Fixture Setup(2, 16000);
  Rows Stored;
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.Subject.addJob(job("a", 3, 1000), Millis(0), Setup.Now);
  Setup.scheduleAll();
  commitAll(Setup, Stored);

  Fixture Next(2, 16000);
  Next.Subject.addJob(Wide, Millis(0), Next.Now);
  Next.Subject.addJob(job("a", 3, 1000), Millis(0), Next.Now);
  restoreAll(Next.Subject, Stored, Next.Now);
  REQUIRE_FALSE(Next.Subject.hasChanges());
  REQUIRE(Next.runCount("wide") == 1000);
  REQUIRE(Next.runCount("a") == 3);
  Next.endRun("vm0", {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Done);
  Rows Changed;
  commitAll(Next, Changed);
  REQUIRE(Changed.size() == 1);
}

// Guards against orders for one worker that together exceed what its agent
// takes: they would be sent again until the worker's lease has lapsed.
TEST_CASE("the orders of a sync are within what an agent takes") {
  const std::size_t AgentBodyBytes = http::Server::Options{}.MaxBodyBytes;
  workload::JobRecord Wide = job("wide", 5000, 1);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(1);
  Wide.Definition.Spec = std::string(workload::MaxSpecBytes, 'x');
  Fixture Setup(1, 16000);
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("wide") == 5000);
  VmId Vm("vm0");
  auto Send = [&](auto Orders) {
    std::set<TaskName> Sent;
    while (Setup.Subject.hasOrders(Vm)) {
      auto Sync = Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now);
      REQUIRE(runner::encode(Sync).size() < AgentBodyBytes / 2);
      std::size_t Before = Sent.size();
      for (const auto &Order : Orders(Sync))
        Sent.insert(Order);
      REQUIRE(Sent.size() > Before);
    }
    return Sent.size();
  };
  REQUIRE(Send([](const auto &Sync) {
            std::vector<TaskName> Result;
            for (const auto &Each : Sync.Starts)
              Result.push_back(Each.Name.Task);
            return Result;
          }) == 5000);
  Setup.Subject.cancel(Wide.Id);
  REQUIRE(Send([](const auto &Sync) {
            std::vector<TaskName> Result;
            for (const auto &Each : Sync.Stops)
              Result.push_back(Each.Task);
            return Result;
          }) == 5000);
}

// Guards against a cancellation that the leader cannot apply while it restores
// the job: its runs are not counted on their VMs yet.
TEST_CASE("a job is cancelled while its parts are being restored") {
  workload::JobRecord Wide = job("wide", 1000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  Fixture Setup(2, 16000);
  Rows Stored;
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAll();
  commitAll(Setup, Stored);

  Fixture Next(0);
  Next.Subject.addJob(Wide, Millis(0), Next.Now);
  for (const auto &[Key, Value] : Stored)
    if (Key.second)
      Next.Subject.restorePart(Key.first, *Key.second, Value);
    else
      Next.Subject.restore(Key.first, Value, Next.Now);
  REQUIRE_NOTHROW(Next.Subject.cancel(Wide.Id));
  REQUIRE_FALSE(Next.Subject.finishRestoring(Next.Now));
  REQUIRE(Next.Subject.job(Wide.Id)->Status == JobStatus::Cancelled);
  for (const char *Vm : {"vm0", "vm1"})
    if (const VmState *Known = Next.Subject.vm(VmId(Vm)))
      for (const auto &[Task, Run] : Known->Assigned)
        REQUIRE(Run.Stopping);
}

// Guards against occurrences that wait for good behind others that find no VM.
TEST_CASE("each occurrence is tried although earlier ones find no VM") {
  Fixture Setup(2, 40000);
  workload::JobRecord Job = dueJob("a", 30, 3, 1000);
  Job.Definition.Steps[0].MaxPerVm = 1;
  Job.Definition.Steps[0].Needs.Memory = MebiBytes(1);
  Setup.Subject.addJob(Job, Millis(0), Setup.Now);
  for (int Pass = 0; Pass < 6; ++Pass)
    Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("a") == 60);
}

// Guards against a job that has to wait until all occurrences of another are
// added.
TEST_CASE("the occurrences of two jobs are added in turn") {
  Fixture Setup(2, 40000);
  Setup.Subject.addJob(dueJob("a", 20000, 1, 100000), Millis(0), Setup.Now);
  Setup.Subject.addJob(dueJob("b", 3, 1, 1000), Millis(0), Setup.Now);
  for (int Pass = 0; Pass < 2; ++Pass)
    Setup.Subject.schedule(Setup.Now, Wall + Millis(1));
  REQUIRE(Setup.Subject.hasDeferredWork());
  REQUIRE(Setup.runCount("b") == 3);
}
