// Decisions about workers that leave, are lost or are lost again and again.
#include "scheduling/SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace daisyspool;
using namespace daisyspool::testing;
using Fixture = daisyspool::testing::SchedulerFixture;

namespace {

/// Makes the worker of \p Vm announce that it leaves after \p Remaining.
void drain(Fixture &Setup, const std::string &Vm, Millis Remaining) {
  Setup.Replies[VmId(Vm)].Worker->Draining = true;
  Setup.Replies[VmId(Vm)].Worker->Remaining = Remaining;
  Setup.sendReplies();
}

void setPercent(Fixture &Setup, std::uint32_t Percent) {
  for (auto &[Vm, Reply] : Setup.Replies)
    for (auto &Run : Reply.Running)
      Run.Percent = Percent;
}

std::size_t stopCount(const Fixture &Setup) {
  std::size_t Result = 0;
  for (const auto &[Vm, Reply] : Setup.Replies)
    for (const auto &[Task, Run] : Setup.Subject.vm(Vm)->Assigned)
      Result += Run.Stopping ? 1 : 0;
  return Result;
}

/// Restarts the worker of \p Vm, which loses its runs.
void restartWorker(Fixture &Setup, const std::string &Vm) {
  auto &Reply = Setup.Replies[VmId(Vm)];
  Reply.Running.clear();
  Reply.Worker->Life = Reply.Worker->Life.next();
  Setup.Subject.onSyncReply(VmId(Vm), Setup.Subject.vm(VmId(Vm))->LastSync,
                            Reply, Setup.Now);
}

workload::JobRecord watch(std::uint32_t Count, std::uint32_t MaxUnavailable) {
  workload::JobRecord Job = service("watch", Count, 4000, "w");
  Job.Definition.Steps[0].MaxUnavailable = MaxUnavailable;
  return Job;
}

} // namespace

// Load pattern: a release drains workers with short batch. Guards against
// stopping tasks that end before their worker does.
TEST_CASE("a run that ends before its worker leaves is not stopped") {
  Fixture Setup(2);
  auto Job = job("batch", 4, 1000, 2);
  Job.Definition.Steps[0].Checkpoints = true;
  Setup.Subject.addJob(Job, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.sendReplies();
  drain(Setup, "vm0", Millis(3000));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 0);
}

// Guards against leaving a run that cannot end in time to die with its worker.
TEST_CASE("a run that outlasts its worker moves, by its observed progress") {
  Fixture Setup(2);
  auto Job = job("batch", 4, 1000, 2);
  Job.Definition.Steps[0].Checkpoints = true;
  Setup.Subject.addJob(Job, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  setPercent(Setup, 10);
  Setup.sendReplies();
  // A tenth of the estimated speed.
  Setup.Now += Millis(1000);
  setPercent(Setup, 20);
  drain(Setup, "vm0", Millis(3000));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 4);
}

// Load pattern: a worker with several tasks of a service leaves. Guards against
// taking more of them away at once than the service can spare.
TEST_CASE("tasks of a service leave a draining worker within their limit") {
  Fixture Setup(4);
  Setup.Subject.addJob(watch(4, 1), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  setPercent(Setup, 100);
  Setup.sendReplies();
  std::string Vm;
  for (const auto &[Id, Reply] : Setup.Replies)
    if (Reply.Running.size() == 2)
      Vm = Id.str();
  REQUIRE_FALSE(Vm.empty());
  drain(Setup, Vm, Millis(5000));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 1);
}

// Load pattern: a release of a full fleet. Guards against stopping a service's
// tasks while nothing else can take them, and against leaving them to be missed
// seconds after their worker has gone.
TEST_CASE("a service's task leaves without room elsewhere only at the end") {
  Fixture Setup(2, 4000);
  Setup.Subject.addJob(watch(2, 1), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  setPercent(Setup, 100);
  Setup.sendReplies();
  drain(Setup, "vm0", Millis(3000));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 0);
  Setup.Now += Millis(2200);
  drain(Setup, "vm0", Millis(800));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 1);
}

// Guards against giving the room that was found for a service's task to others
// while its stop is under way.
TEST_CASE("room for a task that leaves is kept until its stop is over") {
  Fixture Setup(2);
  Setup.Subject.addJob(watch(1, 1), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  setPercent(Setup, 100);
  Setup.sendReplies();
  std::string Vm =
      Setup.Subject.vm(VmId("vm0"))->Assigned.empty() ? "vm1" : "vm0";
  drain(Setup, Vm, Millis(5000));
  Setup.scheduleAndCommit();
  REQUIRE(stopCount(Setup) == 1);
  Setup.Subject.addJob(job("short", 8, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("short") == 4);
}

// Load pattern: workers are lost with hundreds of runs. Guards against starting
// from the beginning what the worker has listed a checkpoint of.
TEST_CASE("the task of a lost worker resumes from its listed checkpoint") {
  Fixture Setup(1);
  auto Job = job("batch", 1, 1000, 2);
  Job.Definition.Steps[0].Checkpoints = true;
  Setup.Subject.addJob(Job, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.Replies[VmId("vm0")].Running[0].Checkpoint = "saved";
  Setup.sendReplies();
  restartWorker(Setup, "vm0");
  Setup.scheduleAndCommit();
  auto Sync = Setup.Subject.nextSync(VmId("vm0"), Epoch(1), Setup.Now);
  REQUIRE(Sync.Starts.size() == 1);
  REQUIRE(Sync.Starts[0].Checkpoint == "saved");
}

// Load pattern: flapping workers. Guards against sending the queue to a VM that
// is empty because it has just lost its runs.
TEST_CASE("a VM that lost its worker is used after the others") {
  Fixture Setup(2);
  restartWorker(Setup, "vm0");
  Setup.Subject.addJob(job("short", 4, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.Subject.vm(VmId("vm1"))->Assigned.size() == 4);
  // A run there is better than none.
  Setup.Subject.addJob(job("more", 8, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.Subject.vm(VmId("vm0"))->Assigned.size() == 4);
}

// Load pattern: flapping workers. Guards against placing short tasks on a VM
// whose worker does not answer half of the time.
TEST_CASE("a VM whose worker was silent is used after the others") {
  Fixture Setup(2);
  auto Worker = std::exchange(Setup.Replies[VmId("vm0")].Worker, std::nullopt);
  Setup.sendReplies();
  Setup.Replies[VmId("vm0")].Worker = Worker;
  Setup.sendReplies();
  Setup.Subject.addJob(job("short", 4, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.Subject.vm(VmId("vm1"))->Assigned.size() == 4);
}

// Load pattern: flapping workers. Guards against starting a service where it is
// lost again at once, and against never trusting the VM again.
TEST_CASE("a service's task is not placed on a flapping VM") {
  Fixture Setup(1);
  restartWorker(Setup, "vm0");
  Setup.Now += Millis(1200);
  restartWorker(Setup, "vm0");
  Setup.Subject.addJob(watch(1, 1), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("watch") == 0);
  Setup.Now += Millis(4100);
  Setup.sendReplies();
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("watch") == 1);
}

// Guards against counting a worker that leaves as announced as unsteady.
TEST_CASE("a VM whose worker left as announced is used like the others") {
  Fixture Setup(1);
  drain(Setup, "vm0", Millis(100));
  Setup.Replies[VmId("vm0")].Worker->Draining = false;
  restartWorker(Setup, "vm0");
  REQUIRE_FALSE(Setup.Subject.vm(VmId("vm0"))->History.isUnsteady(Setup.Now));
}

// Guards against sending an order to a worker that will turn it away.
TEST_CASE("a task whose order was not sent leaves a draining worker at once") {
  Fixture Setup(2);
  Setup.Subject.addJob(job("short", 4, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  std::string Vm =
      Setup.Subject.vm(VmId("vm0"))->Assigned.empty() ? "vm1" : "vm0";
  drain(Setup, Vm, Millis(5000));
  Setup.scheduleAndCommit();
  REQUIRE(Setup.Subject.vm(VmId(Vm))->Assigned.empty());
  REQUIRE(Setup.runCount("short") == 4);
}
