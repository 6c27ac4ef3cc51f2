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

/// A scheduler with agents that report what the test says.
struct Fleet {
  Scheduler Jobs{Scheduler::Options{}};
  TimePoint Now = Start;
  std::uint64_t Commits = Scheduler::RestoredCommit.value();
  std::map<VmId, runner::SyncReply> Reports;

  explicit Fleet(std::size_t Vms, std::int64_t Cpu = 8000) {
    for (std::size_t I = 0; I < Vms; ++I) {
      VmId Vm("vm" + std::to_string(I));
      Jobs.addVm(Vm, Now);
      runner::SyncReply &Report = Reports[Vm];
      Report.Accepted = true;
      Report.AgentIncarnation = 1;
      Report.Stamp = 1;
      Report.GrantLeft = Millis(4000);
      Report.Worker =
          runner::WorkerReport{runner::WorkerLife(1),
                               TargetId("w"),
                               ServiceId("s"),
                               {},
                               {MilliCores(Cpu), MebiBytes(32000), {}},
                               {"a", "r1-1"}};
    }
    report();
  }

  void report() {
    for (auto &[Vm, Report] : Reports)
      Jobs.onSyncReply(Vm, 0, Report, Now);
  }

  void decide() {
    Jobs.schedule(Now, Wall);
    while (Jobs.hasChanges()) {
      CommitNumber Number(++Commits);
      Jobs.takeChanges(Number);
      Jobs.onCommitted(Number);
    }
  }

  /// Passes orders on: every assigned run is listed as running.
  void run() {
    for (auto &[Vm, Report] : Reports) {
      Jobs.nextSync(Vm, Epoch(1), Now);
      Report.Running.clear();
      for (const auto &[Task, Run] : Jobs.vm(Vm)->Assigned)
        Report.Running.push_back({{Task, Run.Run}, "", 50, 10});
    }
  }

  std::size_t runsOf(const std::string &Job) const {
    std::size_t Sum = 0;
    for (const auto &[Vm, Report] : Reports)
      for (const auto &[Task, Run] : Jobs.vm(Vm)->Assigned)
        Sum += Task.Job == JobId(Job) ? 1 : 0;
    return Sum;
  }

  void end(const std::string &Vm, const TaskName &Task, std::uint64_t Run,
           runner::EndCause Cause) {
    auto &Report = Reports[VmId(Vm)];
    std::uint64_t Next = Report.Ended.size() + 1;
    Report.Ended.push_back(
        {runner::EndNumber(Next), {Task, runner::RunNumber(Run)}, Cause, ""});
    report();
  }
};

} // namespace

// Guards against a VM that is committed beyond its processors.
TEST_CASE("no VM is committed beyond its capacity") {
  Fleet Vms(2);
  Vms.Jobs.addJob(job("a", 40, 1500), Millis(0), Vms.Now);
  Vms.decide();
  REQUIRE(Vms.runsOf("a") == 10);
  for (const auto &[Vm, Report] : Vms.Reports)
    REQUIRE(Vms.Jobs.vm(Vm)->Held.Cpu <= MilliCores(8000));
}

// Guards against an order that is sent before a successor could know of it.
TEST_CASE("orders wait for their transaction") {
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

// Guards against an end that is acknowledged before it is recorded: a successor
// would run the task again.
TEST_CASE("ends are acknowledged after their transaction") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 2, 1000), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  Vms.end("vm0", {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Done);
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).EndsRecorded ==
          runner::EndNumber(0));
  Vms.decide();
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).EndsRecorded ==
          runner::EndNumber(1));
}

// Load pattern: a burst of batch far beyond the fleet. Guards against an order
// by deadline, by which all of the burst ends late.
TEST_CASE("in a burst the least remaining work goes first") {
  Fleet Vms(1, 4000);
  Vms.Jobs.addJob(job("large", 20, 1000, 2), Millis(100), Vms.Now);
  Vms.Jobs.addJob(job("small", 4, 1000, 2), Millis(0), Vms.Now);
  Vms.decide();
  REQUIRE(Vms.runsOf("small") == 4);
  REQUIRE(Vms.runsOf("large") == 0);
}

// Load pattern: an urgent burst onto a fleet full of batch. Guards against
// urgent work that waits for batch, and against stopping more than it needs.
TEST_CASE("urgent work preempts as much batch as it needs") {
  Fleet Vms(1, 4000);
  Vms.Jobs.addJob(job("batch", 4, 1000, 2), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  Vms.Jobs.addJob(job("urgent", 1, 1500), Millis(0), Vms.Now);
  Vms.decide();
  auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
  REQUIRE(Sync.Stops.size() == 2);
  // A second look at the same state stops no more.
  Vms.decide();
  REQUIRE(Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now).Stops.empty());
  for (const auto &Stop : Sync.Stops)
    Vms.end("vm0", Stop.Task, 1, runner::EndCause::Stopped);
  Vms.decide();
  REQUIRE(Vms.runsOf("urgent") == 1);
}

// Load pattern: short urgent tasks queue up on a full fleet while the task of a
// service has ended. Guards against a service that waits behind each new short
// task of its class, as it is older and larger.
TEST_CASE("the task of a service starts again before short tasks") {
  Fleet Vms(1);
  Vms.Jobs.addJob(service("s", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  Vms.Now += Millis(20000);
  Vms.report();
  Vms.Jobs.addJob(job("short", 20, 1500), Millis(0), Vms.Now);
  Vms.decide();
  REQUIRE(Vms.runsOf("short") == 1);
  Vms.end("vm0", {JobId("s"), 0, 0, 0}, 1, runner::EndCause::Stopped);
  Vms.decide();
  REQUIRE(Vms.runsOf("s") == 1);
}

// Load pattern: as above, with the room in pieces that each fit a short task.
// Guards against pieces that are filled again before they fit the service.
TEST_CASE("room is kept for the task of a service") {
  Fleet Vms(1, 6000);
  Vms.Jobs.addJob(job("short", 40, 1500), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  REQUIRE(Vms.runsOf("short") == 4);
  Vms.Jobs.addJob(service("s", 1, 4500, "x"), Millis(0), Vms.Now);
  for (std::uint32_t N = 0; N < 3; ++N) {
    REQUIRE(Vms.runsOf("s") == 0);
    Vms.end("vm0", {JobId("short"), 0, 0, N}, 1, runner::EndCause::Done);
    Vms.decide();
  }
  REQUIRE(Vms.runsOf("s") == 1);
  REQUIRE(Vms.runsOf("short") == 1);
}

// Guards against room that is kept for a service that cannot fit before another
// service ends.
TEST_CASE("no room is kept where a service cannot fit") {
  Fleet Vms(1);
  Vms.Jobs.addJob(service("s", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.decide();
  Vms.Jobs.addJob(service("t", 1, 6000, "x"), Millis(0), Vms.Now);
  Vms.Jobs.addJob(job("short", 1, 1500), Millis(0), Vms.Now);
  Vms.decide();
  REQUIRE(Vms.runsOf("t") == 0);
  REQUIRE(Vms.runsOf("short") == 1);
}

// Load pattern: services that reserve the fleet, and batch that fills. Guards
// against services of all images on every VM.
TEST_CASE("services are grouped by image, half to a VM at most") {
  Fleet Vms(4, 16000);
  Vms.Jobs.addJob(service("x", 4, 3000, "x"), Millis(0), Vms.Now);
  Vms.decide();
  Vms.Jobs.addJob(service("y", 4, 3000, "y"), Millis(0), Vms.Now);
  Vms.decide();
  for (const auto &[Vm, Report] : Vms.Reports) {
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

// Guards against a cancellation that stored progress undoes.
TEST_CASE(
    "progress that is read after a cancellation does not revive the job") {
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

// Guards against work that is given up while its VM may still run it, and
// against work that is never taken back.
TEST_CASE("runs of a silent VM are lost when its grant has passed") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  Vms.Now += Millis(3900);
  Vms.decide();
  REQUIRE(Vms.runsOf("a") == 1);
  Vms.Now += Millis(400);
  Vms.decide();
  REQUIRE(Vms.runsOf("a") == 0);
}

// Load pattern: VMs are cut off from the leader while their agents live. Guards
// against runs that are never taken back, as each message that is sent in vain
// put their loss off again.
TEST_CASE("messages without an answer do not prolong a grant") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  for (int I = 0; I < 5; ++I) {
    Vms.Now += Millis(1000);
    auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
    Vms.Jobs.onSyncFailed(VmId("vm0"), Sync.Number);
    Vms.decide();
  }
  REQUIRE(Vms.runsOf("a") == 0);
}

// Guards against a task that runs twice: the order is on its way while an older
// answer says that the worker's lease has expired.
TEST_CASE("an order on its way outlasts an older answer") {
  Fleet Vms(1);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.decide();
  auto Sync = Vms.Jobs.nextSync(VmId("vm0"), Epoch(1), Vms.Now);
  REQUIRE(Sync.Starts.size() == 1);
  auto &Report = Vms.Reports[VmId("vm0")];
  Report.LeaseExpired = true;
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number - 1, Report, Vms.Now);
  REQUIRE(Vms.runsOf("a") == 1);
  // The agent has taken the order and may still start it.
  Report.Starting = {Sync.Starts[0].Name};
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number, Report, Vms.Now);
  REQUIRE(Vms.runsOf("a") == 1);
  Report.Starting.clear();
  Vms.Jobs.onSyncReply(VmId("vm0"), Sync.Number, Report, Vms.Now);
  REQUIRE(Vms.runsOf("a") == 0);
}

// Guards against a failed task that goes back to the worker that failed it.
TEST_CASE("a failed task is tried on another VM") {
  Fleet Vms(2);
  Vms.Jobs.addJob(job("a", 1, 1000), Millis(0), Vms.Now);
  Vms.decide();
  Vms.run();
  std::string First =
      Vms.Jobs.vm(VmId("vm0"))->Assigned.empty() ? "vm1" : "vm0";
  Vms.end(First, {JobId("a"), 0, 0, 0}, 1, runner::EndCause::Failed);
  Vms.Now += Millis(200);
  Vms.report();
  Vms.decide();
  REQUIRE(Vms.Jobs.vm(VmId(First))->Assigned.empty());
  REQUIRE(Vms.runsOf("a") == 1);
}
