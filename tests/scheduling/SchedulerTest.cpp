#include "scheduling/SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace daisyspool;
using namespace daisyspool::testing;
using Fixture = daisyspool::testing::SchedulerFixture;

// Guards against assigning more runs to a VM than it has processors for.
TEST_CASE("assigned runs do not exceed a VM's capacity") {
  Fixture Setup(2);
  Setup.Subject.addJob(job("a", 40, 1500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("a") == 10);
  for (const auto &[Vm, Reply] : Setup.Replies)
    REQUIRE(Setup.Subject.vm(Vm)->Held.Cpu <= MilliCores(8000));
}

// Guards against sending an order before the next leader can know about it.
TEST_CASE("orders are sent only after their transaction is durable") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.Subject.schedule(Setup.Now, Wall);
  REQUIRE_FALSE(Setup.Subject.hasOrders(VmId("vm0")));
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).Starts.empty());
  Setup.Subject.takeChanges(CommitNumber(2), {});
  REQUIRE_FALSE(Setup.Subject.hasOrders(VmId("vm0")));
  Setup.Subject.onCommitted(CommitNumber(2));
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).Starts.size() ==
      1);
}

// Guards against acknowledging an end before it is recorded: the next leader
// would run the task again.
TEST_CASE("ends are acknowledged only after their transaction is durable") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 2, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.endRun("vm0", {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Done);
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).EndsRecorded ==
      runner::EndNumber(0));
  Setup.scheduleAndCommit();
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).EndsRecorded ==
      runner::EndNumber(1));
}

// Load pattern: a burst of batch far beyond the fleet's capacity. Guards
// against scheduling by deadline, which makes the whole burst late.
TEST_CASE("in a burst the job with the least remaining work goes first") {
  Fixture Setup(1, 4000);
  Setup.Subject.addJob(job("large", 20, 1000, 2), Millis(100), Setup.Now);
  Setup.Subject.addJob(job("small", 4, 1000, 2), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("small") == 4);
  REQUIRE(Setup.runCount("large") == 0);
}

// Load pattern: an urgent burst onto a fleet full of batch. Guards against
// urgent tasks that wait for batch, and against preempting more than they need.
TEST_CASE("urgent tasks preempt as much batch as they need") {
  Fixture Setup(1, 4000);
  Setup.Subject.addJob(job("batch", 4, 1000, 2), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.Subject.addJob(job("urgent", 1, 1500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  auto Sync = Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now);
  REQUIRE(Sync.Stops.size() == 2);
  // A second pass over the same state stops no further runs.
  Setup.scheduleAndCommit();
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).Stops.empty());
  for (const auto &Stop : Sync.Stops)
    Setup.endRun("vm0", Stop.Task, 1, runner::EndCause::Stopped);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("urgent") == 1);
}

// Load pattern: short urgent tasks are queued on a full fleet when a service's
// task ends. Guards against a service that waits behind each new short task of
// its class because it is older and larger.
TEST_CASE("a service's task restarts before queued short tasks") {
  Fixture Setup(1);
  Setup.Subject.addJob(service("s", 1, 6000, "x"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.Now += Millis(20000);
  Setup.sendReplies();
  Setup.Subject.addJob(job("short", 20, 1500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("short") == 1);
  Setup.endRun("vm0", {JobId("s"), 0, 0, 0}, 1, runner::EndCause::Stopped);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("s") == 1);
}

// Load pattern: as above, but processors become free in amounts that each fit a
// short task. Guards against reusing them before they suffice for the service.
TEST_CASE("resources are reserved for a waiting service") {
  Fixture Setup(1, 6000);
  Setup.Subject.addJob(job("short", 40, 1500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  REQUIRE(Setup.runCount("short") == 4);
  Setup.Subject.addJob(service("s", 1, 4500, "x"), Millis(0), Setup.Now);
  for (std::uint32_t N = 0; N < 3; ++N) {
    REQUIRE(Setup.runCount("s") == 0);
    Setup.endRun("vm0", {JobId("short"), 0, 0, N}, 1, runner::EndCause::Done);
    Setup.scheduleAndCommit();
  }
  REQUIRE(Setup.runCount("s") == 1);
  REQUIRE(Setup.runCount("short") == 1);
}

// Guards against reserving resources for a service that cannot fit until
// another service ends.
TEST_CASE("no resources are reserved where a service cannot fit") {
  Fixture Setup(1);
  Setup.Subject.addJob(service("s", 1, 6000, "x"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.Subject.addJob(service("t", 1, 6000, "x"), Millis(0), Setup.Now);
  Setup.Subject.addJob(job("short", 1, 1500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("t") == 0);
  REQUIRE(Setup.runCount("short") == 1);
}

// Load pattern: services that reserve the fleet, and best-effort batch. Guards
// against services of all images on every VM.
TEST_CASE("services are grouped by image, at most half of one on a VM") {
  Fixture Setup(4, 16000);
  Setup.Subject.addJob(service("x", 4, 3000, "x"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.Subject.addJob(service("y", 4, 3000, "y"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  for (const auto &[Vm, Reply] : Setup.Replies) {
    std::set<std::string> Images;
    std::map<JobId, int> Counts;
    for (const auto &[Task, Run] : Setup.Subject.vm(Vm)->Assigned) {
      Images.insert(Run.Image.str());
      ++Counts[Task.Job];
    }
    REQUIRE(Images.size() <= 1);
    for (const auto &[Job, Count] : Counts)
      REQUIRE(Count <= 3);
  }
}

// Load pattern: a fleet that is full but for one VM. Guards against a serving
// task that does not run, as half of its service is on the only VM with room.
TEST_CASE("a serving task runs beside its siblings if only their VM has room") {
  Fixture Setup(2, 4000);
  Setup.Subject.addJob(service("full", 1, 4000, "y"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.Subject.addJob(service("x", 4, 900, "x"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("x") == 3);
  Setup.Now += Millis(1100);
  Setup.sendReplies();
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("x") == 4);
}

// Load pattern: jobs that always fail put all VMs on probation. Guards against
// a serving task that does not run meanwhile.
TEST_CASE("a serving task runs on a VM on probation if no other has room") {
  Fixture Setup(1);
  Setup.Subject.addJob(service("x", 1, 1000, "x"), Millis(0), Setup.Now);
  Setup.Subject.addJob(job("poison", 3, 500), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  for (std::uint32_t I = 0; I < 3; ++I)
    Setup.endRun("vm0", {JobId("poison"), 0, 0, I}, 1,
                 runner::EndCause::Failed);
  REQUIRE(Setup.Subject.vm(VmId("vm0"))->ProbationUntil > Setup.Now);
  Setup.Subject.addJob(service("y", 1, 1000, "x"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.Now += Millis(1100);
  Setup.sendReplies();
  REQUIRE(Setup.Subject.vm(VmId("vm0"))->ProbationUntil > Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("y") == 1);
}

// Guards against losing a cancellation when older stored progress is restored.
TEST_CASE("progress restored after a cancellation keeps the job cancelled") {
  std::string Progress;
  {
    Fixture Setup(1);
    Setup.Subject.addJob(job("a", 2, 1000), Millis(0), Setup.Now);
    Setup.Subject.schedule(Setup.Now, Wall);
    Progress = Setup.Subject.takeChanges(CommitNumber(2), {}).at(0).Progress;
  }
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 2, 1000), Millis(0), Setup.Now);
  Setup.Subject.cancel(JobId("a"));
  Setup.Subject.restore(JobId("a"), Progress, Setup.Now);
  REQUIRE(Setup.Subject.job(JobId("a"))->Status == JobStatus::Cancelled);
  REQUIRE(
      Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now).Stops.size() ==
      2);
}

// Guards against requeueing a task while its VM may still run it, and against
// never requeueing it.
TEST_CASE("runs of a silent VM are requeued when its grant has expired") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.Now += Millis(3900);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("a") == 1);
  Setup.Now += Millis(400);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("a") == 0);
}

// Load pattern: VMs are cut off from the leader while their agents live. Guards
// against runs that are never requeued because each unanswered sync extends the
// grant.
TEST_CASE("unanswered syncs do not extend a grant") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  for (int I = 0; I < 5; ++I) {
    Setup.Now += Millis(1000);
    auto Sync = Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now);
    Setup.Subject.onSyncFailed(VmId("vm0"), Sync.Number);
    Setup.scheduleAndCommit();
  }
  REQUIRE(Setup.runCount("a") == 0);
}

// Guards against a task that runs twice: the order is in flight while an older
// reply says that the worker's lease has expired.
TEST_CASE("an older reply does not requeue a run whose order is in flight") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  auto Sync = Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now);
  REQUIRE(Sync.Starts.size() == 1);
  auto &Reply = Setup.Replies[VmId("vm0")];
  Reply.LeaseExpired = true;
  Setup.Subject.onSyncReply(VmId("vm0"), Sync.Number - 1, Reply, Setup.Now);
  REQUIRE(Setup.runCount("a") == 1);
  // The agent has received the order and may still start the run.
  Reply.Starting = {Sync.Starts[0].Name};
  Setup.Subject.onSyncReply(VmId("vm0"), Sync.Number, Reply, Setup.Now);
  REQUIRE(Setup.runCount("a") == 1);
  Reply.Starting.clear();
  Setup.Subject.onSyncReply(VmId("vm0"), Sync.Number, Reply, Setup.Now);
  REQUIRE(Setup.runCount("a") == 0);
}

// Guards against retrying a failed task on the worker where it failed.
TEST_CASE("a failed task is retried on another VM") {
  Fixture Setup(2);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  std::string First =
      Setup.Subject.vm(VmId("vm0"))->Assigned.empty() ? "vm1" : "vm0";
  Setup.endRun(First, {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Failed);
  Setup.Now += Millis(200);
  Setup.sendReplies();
  Setup.scheduleAndCommit();
  REQUIRE(Setup.Subject.vm(VmId(First))->Assigned.empty());
  REQUIRE(Setup.runCount("a") == 1);
}

// Guards against a lasting task that never runs again: the agent process that
// took its stop order ended before it reported the run as over.
TEST_CASE("a stop order that ended with its agent process is sent again") {
  Fixture Setup(1);
  Setup.Subject.addJob(service("a", 1, 1000, "i"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  VmId Vm("vm0");
  auto &Reply = Setup.Replies[Vm];
  Reply.Stalled = {Reply.Running[0].Name};
  Setup.sendReplies();
  REQUIRE(Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now).Stops.size() == 1);

  Reply.AgentIncarnation = 2;
  Reply.Stalled.clear();
  Reply.Running.clear();
  Setup.Subject.onSyncReply(Vm, Setup.Subject.vm(Vm)->LastSync, Reply,
                            Setup.Now);
  REQUIRE(Setup.Subject.hasOrders(Vm));
  REQUIRE(Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now).Stops.size() == 1);
}

// Load pattern: services near their targets on every VM while batch queues up.
// Guards against adding batch that the agents slow down at once, and that keeps
// the service above its target until they do.
TEST_CASE("best-effort batch is added only well below a service's target") {
  auto PlacedBeside = [](std::int64_t Tail) {
    Fixture Setup(1);
    Setup.Subject.addJob(service("s", 1, 4000, "x"), Millis(0), Setup.Now);
    Setup.scheduleAndCommit();
    Setup.startAssignedRuns();
    Setup.Replies[VmId("vm0")].Running[0].Load = Tail;
    Setup.sendReplies();
    auto Batch = job("batch", 1, 1000, 2);
    Batch.Definition.Steps[0].FillsIdleCpu = true;
    Batch.Definition.Steps[0].Image = ImageId("b");
    Setup.Subject.addJob(Batch, Millis(0), Setup.Now);
    Setup.scheduleAndCommit();
    return Setup.runCount("batch");
  };
  REQUIRE(PlacedBeside(50) == 1);
  REQUIRE(PlacedBeside(70) == 0);
}

// Guards against a job that the store never accepts: nothing that is decided
// after it would be carried out.
TEST_CASE("the progress of the largest jobs is within the store's limits") {
  workload::JobRecord Wide = job("wide", 5000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  workload::JobRecord Recurring = job("recurring", 1, 5);
  Recurring.Definition.Repeats = {43200, Wall, Millis(1000)};
  for (const auto &Each : {Wide, Recurring}) {
    INFO(Each.Id.str());
    Fixture Setup(11, 16000);
    Rows Stored;
    Setup.Subject.addJob(Each, Millis(0), Setup.Now);
    Setup.scheduleAll(Wall + Millis(3'600'000));
    commitAll(Setup, Stored);
    REQUIRE(Setup.runCount(Each.Id.str()) > 3000);

    Fixture Next(11, 16000);
    Next.Subject.addJob(Each, Millis(0), Next.Now);
    restoreAll(Next.Subject, Stored, Next.Now);
    REQUIRE(Next.runCount(Each.Id.str()) == Setup.runCount(Each.Id.str()));
    REQUIRE(Next.Subject.job(Each.Id)->Status == JobStatus::Active);
  }
}

// Guards against a start order of a job of which only some rows are durable:
// the next leader would not know the other runs.
TEST_CASE("no run of a job starts before all its rows are durable") {
  workload::JobRecord Wide = job("wide", 5000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  Fixture Setup(11, 16000);
  Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
  Setup.scheduleAll();
  Scheduler::Budget Small{10, 900'000};
  Setup.Subject.takeChanges(CommitNumber(2), Small);
  Setup.Subject.onCommitted(CommitNumber(2));
  REQUIRE(Setup.Subject.hasChanges());
  REQUIRE_FALSE(Setup.Subject.hasOrders(VmId("vm0")));
  for (std::uint64_t Number = 3; Setup.Subject.hasChanges(); ++Number) {
    Setup.Subject.takeChanges(CommitNumber(Number), Small);
    Setup.Subject.onCommitted(CommitNumber(Number));
  }
  REQUIRE(Setup.Subject.hasOrders(VmId("vm0")));
}

// Guards against the progress of an earlier version, all in one row, that is
// lost when the job is next written in several.
TEST_CASE("progress that an earlier version wrote in one row is kept") {
  workload::JobRecord Wide = job("wide", 1000, 5);
  Wide.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  std::string Old;
  {
    JobProgress Job;
    Job.Record = Wide;
    Job.Status = JobStatus::Active;
    addOccurrence(Job);
    auto &Tasks = Job.Occurrences[0].Steps[0].Tasks;
    for (std::size_t I = 0; I < 600; ++I) {
      Tasks[I].Phase = TaskPhase::Assigned;
      Tasks[I].LastRun = runner::RunNumber(1);
      Tasks[I].Vm = VmId("vm0");
    }
    Old = encodeProgress(Job, 65536);
  }
  Rows Stored{{{Wide.Id, std::nullopt}, Old}};
  for (int Leader = 0; Leader < 2; ++Leader) {
    Fixture Setup(2, 16000);
    Setup.Subject.addJob(Wide, Millis(0), Setup.Now);
    restoreAll(Setup.Subject, Stored, Setup.Now);
    REQUIRE(Setup.Subject.vm(VmId("vm0"))->Assigned.size() == 600);
    commitAll(Setup, Stored);
  }
  REQUIRE(Stored.size() == 6);
}

// Guards against one job that holds up all others: the store rejects its row,
// and the leader repeats the transaction, or writes each job alone to a store
// that takes half a second for each.
TEST_CASE("a job that the store rejects fails and the others are written") {
  Fixture Setup(4, 40000);
  for (int I = 0; I < 90; ++I)
    Setup.Subject.addJob(
        job(I == 60 ? "bad" : "a" + std::to_string(I), 1, 1000), Millis(0),
        Setup.Now);
  Setup.Subject.schedule(Setup.Now, Wall);
  std::set<JobId> Written;
  std::size_t Transactions = 0;
  while (Setup.Subject.hasChanges() && ++Transactions < 30) {
    CommitNumber Number(Setup.Commits + 1);
    auto Changes = Setup.Subject.takeChanges(Number, {});
    bool Rejects = std::any_of(Changes.begin(), Changes.end(), [](auto &Each) {
      return Each.Job == JobId("bad");
    });
    if (Rejects) {
      REQUIRE(Setup.Subject.onRejected(Number));
      // The runs of a rejected transaction are not durable.
      bool IsFirst = Written.empty();
      for (const auto &[Vm, Reply] : Setup.Replies)
        REQUIRE_FALSE((IsFirst && Setup.Subject.hasOrders(Vm)));
      continue;
    }
    ++Setup.Commits;
    for (auto &Each : Changes)
      Written.insert(Each.Job);
    Setup.Subject.onCommitted(Number);
  }
  REQUIRE_FALSE(Setup.Subject.hasChanges());
  REQUIRE_FALSE(Setup.Subject.isIsolatingJobs());
  REQUIRE(Transactions < 20);
  REQUIRE(Written.size() == 89);
  REQUIRE(Setup.Subject.job(JobId("bad"))->Status == JobStatus::Failed);
  REQUIRE(Setup.runCount("bad") == 0);
  std::size_t Starts = 0;
  for (const auto &[Vm, Reply] : Setup.Replies)
    Starts += Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now).Starts.size();
  REQUIRE(Starts == 89);
}

namespace {

/// Two VMs on which running tasks leave room for one member each of the job
/// "gang", a gang of four.
struct GangFixture : Fixture {
  GangFixture() : Fixture(2) {
    Subject.addJob(job("burst", 2, 6000), Millis(0), Now);
    scheduleAndCommit();
    startAssignedRuns();
    sendReplies();
    workload::JobRecord Gang = job("gang", 4, 2000);
    Gang.Definition.Steps[0].Gang = true;
    Subject.addJob(Gang, Millis(0), Now);
  }
};

} // namespace

// Guards against a gang without room that counts as begun, is written to the
// store in each pass and uses up run numbers.
TEST_CASE("a gang without room changes nothing and stays pending") {
  GangFixture Setup;
  for (int I = 0; I < 10; ++I) {
    Setup.Subject.schedule(Setup.Now, Wall);
    REQUIRE_FALSE(Setup.Subject.hasChanges());
    REQUIRE(Setup.Subject.pending().at(workload::QueueId("q0")) == 1);
    Setup.Now += Millis(200);
    Setup.sendReplies();
  }
  const JobProgress *Waiting = Setup.Subject.job(JobId("gang"));
  REQUIRE(Waiting->Status == JobStatus::Queued);
  REQUIRE(Waiting->Occurrences[0].Steps[0].Tasks[0].LastRun == RunNumber{});
  REQUIRE(Waiting->IdleSince == Start);
  REQUIRE(Setup.runCount("gang") == 0);
  for (const char *Vm : {"vm0", "vm1"})
    REQUIRE(Setup.Subject.vm(VmId(Vm))->Held.Cpu == MilliCores(6000));
}

// Guards against a job that counts as begun although a worker turned away its
// only start.
TEST_CASE("a job whose starts are all refused stays pending") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 1, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now);
  runner::SyncReply &Reply = Setup.Replies.at(VmId("vm0"));
  Reply.Refused = {{1,
                    {{JobId("a"), 0, 0, 0}, RunNumber(1)},
                    runner::RefusalReason::NoRoom}};
  Setup.sendReplies();
  REQUIRE(Setup.Subject.pending().at(workload::QueueId("q0")) == 1);
  REQUIRE(Setup.Subject.job(JobId("a"))->Status == JobStatus::Queued);
  REQUIRE(Setup.Subject.job(JobId("a"))->IdleSince == Start);

  Setup.Now += Millis(200);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.sendReplies();
  REQUIRE(Setup.Subject.pending().empty());
  REQUIRE(Setup.Subject.job(JobId("a"))->Status == JobStatus::Active);
}

// Guards against a job that counts as begun while its start order is held back
// or on its way.
TEST_CASE("a job is pending until a worker lists one of its runs") {
  Fixture Setup(1);
  Setup.Subject.addJob(job("a", 2, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.sendReplies();
  REQUIRE(Setup.runCount("a") == 2);
  REQUIRE(Setup.Subject.pending().at(workload::QueueId("q0")) == 1);
  Setup.startAssignedRuns();
  Setup.sendReplies();
  REQUIRE(Setup.Subject.pending().empty());
  // It has begun for good, also after its runs are lost.
  Setup.Replies.at(VmId("vm0")).Running.clear();
  Setup.Replies.at(VmId("vm0")).Worker->Life = runner::WorkerLife(2);
  Setup.Subject.onSyncReply(VmId("vm0"), 9, Setup.Replies.at(VmId("vm0")),
                            Setup.Now);
  REQUIRE(Setup.runCount("a") == 0);
  REQUIRE(Setup.Subject.pending().empty());
  REQUIRE(Setup.Subject.job(JobId("a"))->Status == JobStatus::Active);
}

// Guards against a new leader that counts every running job as waiting, or a
// waiting one as begun after a worker turned away the run of the last leader.
TEST_CASE("a new leader counts restored jobs as begun until a run is refused") {
  Rows Stored;
  Fixture Setup(1);
  for (const char *Id : {"a", "b"})
    Setup.Subject.addJob(job(Id, 1, 1000), Millis(0), Setup.Now);
  Setup.Subject.schedule(Setup.Now, Wall);
  commitAll(Setup, Stored);

  Fixture Next(1);
  for (const char *Id : {"a", "b"})
    Next.Subject.addJob(job(Id, 1, 1000), Millis(0), Next.Now);
  restoreAll(Next.Subject, Stored, Next.Now);
  REQUIRE(Next.Subject.pending().empty());
  Next.Replies.at(VmId("vm0")).Refused = {
      {1,
       {{JobId("a"), 0, 0, 0}, RunNumber(1)},
       runner::RefusalReason::NoRoom}};
  Next.Replies.at(VmId("vm0")).Running = {
      {{{JobId("b"), 0, 0, 0}, RunNumber(1)}, "", 50, 10}};
  Next.sendReplies();
  REQUIRE(Next.Subject.pending().at(workload::QueueId("q0")) == 1);
  REQUIRE(Next.Subject.job(JobId("a"))->Status == JobStatus::Queued);
}

// Guards against members of a gang that hold VMs without the others, and
// against a gang that never uses room that becomes free.
TEST_CASE("a gang starts with all members once there is room") {
  GangFixture Setup;
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("gang") == 0);
  auto &Reply = Setup.Replies.at(VmId("vm0"));
  TaskName Ended = Reply.Running.at(0).Name.Task;
  Reply.Running.clear();
  Setup.endRun("vm0", Ended, 1, runner::EndCause::Done);
  Setup.Now += Millis(200);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("gang") == 4);
  for (const auto &Task :
       Setup.Subject.job(JobId("gang"))->Occurrences[0].Steps[0].Tasks)
    REQUIRE(Task.LastRun == RunNumber(1));
}
