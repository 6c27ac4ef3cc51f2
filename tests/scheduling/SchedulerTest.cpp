#include "daisyspool/scheduling/scheduling.h"

#include "daisyspool/http/Server.h"
#include "daisyspool/rows/RowStore.h"
#include "daisyspool/workload/Limits.h"
#include "support/CpuTime.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

using namespace daisyspool;
using namespace daisyspool::scheduling;
using workload::ImageId;
using workload::StepDefinition;

namespace {

const TimePoint Start{Millis(1000000)};
const WallMillis Wall{1};

workload::JobRecord job(const std::string &Id, std::uint32_t Count,
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

workload::JobRecord service(const std::string &Id, std::uint32_t Count,
                            std::int64_t Cpu, const std::string &Image) {
  workload::JobRecord Job = job(Id, Count, Cpu);
  Job.Definition.Steps[0].LongRunning = true;
  Job.Definition.Steps[0].Image = ImageId(Image);
  Job.Definition.Steps[0].TailTarget = Millis(100);
  return Job;
}

/// A scheduler with agents whose replies the test sets.
struct Fixture {
  Scheduler Subject{Scheduler::Options{}};
  TimePoint Now = Start;
  std::uint64_t Commits = Scheduler::RestoredCommit.value();
  std::map<VmId, runner::SyncReply> Replies;

  explicit Fixture(std::size_t VmCount, std::int64_t Cpu = 8000) {
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

} // namespace

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

namespace {

using Rows =
    std::map<std::pair<JobId, std::optional<std::uint32_t>>, std::string>;

/// Commits all changes and returns the number of transactions. Requires that
/// each is within the limits of the store.
std::size_t commitAll(Fixture &Setup, Rows &Stored) {
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

void restoreAll(Scheduler &Subject, const Rows &Stored, TimePoint Now) {
  for (const auto &[Key, Value] : Stored)
    if (Key.second)
      Subject.restorePart(Key.first, *Key.second, Value);
    else
      Subject.restore(Key.first, Value, Now);
  while (Subject.finishRestoring(Now))
    ;
}

} // namespace

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
      auto Taken = testing::cpuTime([&] {
        Setup.Subject.schedule(Setup.Now, Wall + Millis(1));
        Setup.Subject.takeChanges(CommitNumber(++Setup.Commits), {});
      });
      REQUIRE(Taken < testing::MaxStepTime);
      Setup.Subject.onCommitted(CommitNumber(Setup.Commits));
      if (Pass == 1)
        REQUIRE(Setup.runCount("other") == 1);
      for (auto &[Vm, Reply] : Setup.Replies) {
        Reply.Running.clear();
        for (const auto &[Task, Run] : Setup.Subject.vm(Vm)->Assigned)
          Reply.Running.push_back({{Task, Run.Run}, "", 50, 10});
        if (Pass > 110 && !Reply.Running.empty()) {
          Reply.Ended = {{runner::EndNumber(++Ends), Reply.Running.front().Name,
                          runner::EndCause::Done, ""}};
          Reply.Running.erase(Reply.Running.begin());
        }
        auto Handled = testing::cpuTime([&, Name = Vm] {
          Setup.Subject.onSyncReply(Name, 0, Reply, Setup.Now);
        });
        REQUIRE(Handled < testing::MaxStepTime);
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
    auto Taken =
        testing::cpuTime([&] { Setup.Subject.schedule(Setup.Now, Wall); });
    REQUIRE(Taken < testing::MaxStepTime);
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
  auto Adding = testing::cpuTime(
      [&] { Next.Subject.addJob(Large, Millis(0), Next.Now); });
  REQUIRE(Adding < testing::MaxStepTime);
  for (const auto &[Key, Value] : Stored) {
    auto Restoring = testing::cpuTime([&, &Row = Key, &Progress = Value] {
      if (Row.second)
        Next.Subject.restorePart(Row.first, *Row.second, Progress);
      else
        Next.Subject.restore(Row.first, Progress, Next.Now);
    });
    REQUIRE(Restoring < testing::MaxStepTime);
  }
  auto Finishing = testing::cpuTime(
      [&] { REQUIRE_FALSE(Next.Subject.finishRestoring(Next.Now)); });
  REQUIRE(Finishing < testing::MaxStepTime);
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
  constexpr std::size_t AgentBodyBytes = http::Server::Options{}.MaxBodyBytes;
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
