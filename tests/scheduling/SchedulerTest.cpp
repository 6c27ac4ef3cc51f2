#include "daisyspool/scheduling/scheduling.h"

#include <catch2/catch.hpp>

#include <map>
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
struct Fleet {
  Scheduler Jobs{Scheduler::Options{}};
  TimePoint Now = Start;
  std::uint64_t Commits = Scheduler::RestoredCommit.value();
  std::map<VmId, runner::SyncReply> Replies;

  explicit Fleet(std::size_t Vms, std::int64_t Cpu = 8000) {
    for (std::size_t I = 0; I < Vms; ++I) {
      VmId Vm("vm" + std::to_string(I));
      Jobs.addVm(Vm, Now);
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
      Jobs.onSyncReply(Vm, 0, Reply, Now);
  }

  void scheduleAndCommit() {
    Jobs.schedule(Now, Wall);
    while (Jobs.hasChanges()) {
      CommitNumber Number(++Commits);
      Jobs.takeChanges(Number);
      Jobs.onCommitted(Number);
    }
  }

  /// Sends the orders and lists every assigned run as running.
  void startAssignedRuns() {
    for (auto &[Vm, Reply] : Replies) {
      Jobs.nextSync(Vm, Epoch(1), Now);
      Reply.Running.clear();
      for (const auto &[Task, Run] : Jobs.vm(Vm)->Assigned)
        Reply.Running.push_back({{Task, Run.Run}, "", 50, 10});
    }
  }

  std::size_t runCount(const std::string &Job) const {
    std::size_t Sum = 0;
    for (const auto &[Vm, Reply] : Replies)
      for (const auto &[Task, Run] : Jobs.vm(Vm)->Assigned)
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
  Fleet Vms(2);
  Vms.Jobs.addJob(job("a", 40, 1500), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("a") == 10);
  for (const auto &[Vm, Reply] : Vms.Replies)
    REQUIRE(Vms.Jobs.vm(Vm)->Held.Cpu <= MilliCores(8000));
}

// Guards against sending an order before the next leader can know about it.
TEST_CASE("orders are sent only after their transaction is durable") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.Jobs.schedule(Vms.Now, Wall);
  REQUIRE_FALSE(Vms.Jobs.hasOrders(VmId("vm0")));
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).Starts.empty());
  Vms.Jobs.takeChanges(CommitNumber(2));
  REQUIRE_FALSE(Vms.Jobs.hasOrders(VmId("vm0")));
  Vms.Jobs.onCommitted(CommitNumber(2));
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).Starts.size() == 1);
}

// Guards against acknowledging an end before it is recorded: the next leader
// would run the task again.
TEST_CASE("ends are acknowledged only after their transaction is durable") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 2, 1000), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  Vms.endRun("vm0", {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Done);
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).EndsRecorded ==
          runner::EndNumber(0));
  Vms.scheduleAndCommit();
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).EndsRecorded ==
          runner::EndNumber(1));
}

// Load pattern: a burst of batch far beyond the fleet's capacity. Guards
// against scheduling by deadline, which makes the whole burst late.
TEST_CASE("in a burst the job with the least remaining work goes first") {
  Fleet Vms(1, 4000);
  Vms.Jobs.addJob(job("large", 20, 1000, 2), Millis(100), Vms.Now);
  Vms.Jobs.addJob(job("small", 4, 1000, 2), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("small") == 4);
  REQUIRE(Vms.runCount("large") == 0);
}

// Load pattern: an urgent burst onto a fleet full of batch. Guards against
// urgent tasks that wait for batch, and against preempting more than they need.
TEST_CASE("urgent tasks preempt as much batch as they need") {
  Fleet Vms(1, 4000);
  Vms.Jobs.addJob(job("batch", 4, 1000, 2), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  Vms.Jobs.addJob(job("urgent", 1, 1500), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
  REQUIRE(Sync.Stops.size() == 2);
  // A second pass over the same state stops no further runs.
  Vms.scheduleAndCommit();
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).Stops.empty());
  for (const auto &Stop : Sync.Stops)
    Vms.endRun("vm0", Stop.Task, 1, runner::EndCause::Stopped);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("urgent") == 1);
}

// Load pattern: short urgent tasks are queued on a full fleet when a service's
// task ends. Guards against a service that waits behind each new short task of
// its class because it is older and larger.
TEST_CASE("a service's task restarts before queued short tasks") {
  Fleet Vms(1);
  Vms.Jobs.addJob(service("s", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  Vms.Now += Millis(20000);
  Vms.sendReplies();
  Vms.Jobs.addJob(job("short", 20, 1500), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("short") == 1);
  Vms.endRun("vm0", {JobId("s"), 0, 0, 0}, 1, runner::EndCause::Stopped);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("s") == 1);
}

// Load pattern: as above, but processors become free in amounts that each fit a
// short task. Guards against reusing them before they suffice for the service.
TEST_CASE("resources are reserved for a waiting service") {
  Fleet Vms(1, 6000);
  Vms.Jobs.addJob(job("short", 40, 1500), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  REQUIRE(Vms.runCount("short") == 4);
  Vms.Jobs.addJob(service("s", 1, 4500, "x"), Millis(0), Vms.Now);
  for (std::uint32_t N = 0; N < 3; ++N) {
    REQUIRE(Vms.runCount("s") == 0);
    Vms.endRun("vm0", {JobId("short"), 0, 0, N}, 1, runner::EndCause::Done);
    Vms.scheduleAndCommit();
  }
  REQUIRE(Vms.runCount("s") == 1);
  REQUIRE(Vms.runCount("short") == 1);
}

// Guards against reserving resources for a service that cannot fit until
// another service ends.
TEST_CASE("no resources are reserved where a service cannot fit") {
  Fleet Vms(1);
  Vms.Jobs.addJob(service("s", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.Jobs.addJob(service("t", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.Jobs.addJob(job("short", 1, 1500), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("t") == 0);
  REQUIRE(Vms.runCount("short") == 1);
}

// Load pattern: services that reserve the fleet, and best-effort batch. Guards
// against services of all images on every VM.
TEST_CASE("services are grouped by image, at most half of one on a VM") {
  Fleet Vms(4, 16000);
  Vms.Jobs.addJob(service("x", 4, 3000, "x"), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.Jobs.addJob(service("y", 4, 3000, "y"), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  for (const auto &[Vm, Reply] : Vms.Replies) {
    std::set<std::string> Images;
    std::map<JobId, int> Counts;
    for (const auto &[Task, Run] : Vms.Jobs.vm(Vm)->Assigned) {
      Images.insert(Run.Image.str());
      ++Counts[Task.Job];
    }
    REQUIRE(Images.size() <= 1);
    for (const auto &[Job, Count] : Counts)
      REQUIRE(Count <= 3);
  }
}

// Guards against losing a cancellation when older stored progress is restored.
TEST_CASE("progress restored after a cancellation keeps the job cancelled") {
  std::string Progress;
  {
    Fleet Vms(1);
    Vms.Jobs.addJob(job("a", 2, 1000), Millis(0), Vms.Now);
    Vms.Jobs.schedule(Vms.Now, Wall);
    Progress = Vms.Jobs.takeChanges(CommitNumber(2)).at(0).Progress;
  }
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 2, 1000), Millis(0), Vms.Now);
  Vms.Jobs.cancel(JobId("a"));
  Vms.Jobs.restore(JobId("a"), Progress, Vms.Now);
  REQUIRE(Vms.Jobs.job(JobId("a"))->Status == JobStatus::Cancelled);
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).Stops.size() == 2);
}

// Guards against requeueing a task while its VM may still run it, and against
// never requeueing it.
TEST_CASE("runs of a silent VM are requeued when its grant has expired") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  Vms.Now += Millis(3900);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("a") == 1);
  Vms.Now += Millis(400);
  Vms.scheduleAndCommit();
  REQUIRE(Vms.runCount("a") == 0);
}

// Load pattern: VMs are cut off from the leader while their agents live. Guards
// against runs that are never requeued because each unanswered sync extends the
// grant.
TEST_CASE("unanswered syncs do not extend a grant") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  for (int I = 0; I < 5; ++I) {
    Vms.Now += Millis(1000);
    auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
    Vms.Jobs.onSyncFailed(VmId("vm0"), Sync.Number);
    Vms.scheduleAndCommit();
  }
  REQUIRE(Vms.runCount("a") == 0);
}

// Guards against a task that runs twice: the order is in flight while an older
// reply says that the worker's lease has expired.
TEST_CASE("an older reply does not requeue a run whose order is in flight") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
  REQUIRE(Sync.Starts.size() == 1);
  auto &Reply = Vms.Replies[VmId("vm0")];
  Reply.LeaseExpired = true;
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number - 1, Reply, Vms.Now);
  REQUIRE(Vms.runCount("a") == 1);
  // The agent has received the order and may still start the run.
  Reply.Starting = {Sync.Starts[0].Name};
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number, Reply, Vms.Now);
  REQUIRE(Vms.runCount("a") == 1);
  Reply.Starting.clear();
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number, Reply, Vms.Now);
  REQUIRE(Vms.runCount("a") == 0);
}

// Guards against retrying a failed task on the worker where it failed.
TEST_CASE("a failed task is retried on another VM") {
  Fleet Vms(2);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.scheduleAndCommit();
  Vms.startAssignedRuns();
  std::string First =
      Vms.Jobs.vm(VmId("vm0"))->Assigned.empty() ? "vm1" : "vm0";
  Vms.endRun(First, {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Failed);
  Vms.Now += Millis(200);
  Vms.sendReplies();
  Vms.scheduleAndCommit();
  REQUIRE(Vms.Jobs.vm(VmId(First))->Assigned.empty());
  REQUIRE(Vms.runCount("a") == 1);
}
