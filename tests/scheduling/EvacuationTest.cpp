#include "SchedulerFixture.h"

using namespace daisyspool;
using namespace daisyspool::testing;

namespace {

const FailureDomainId East("east");
const FailureDomainId West("west");

/// A scheduler with two VMs in each of two failure domains.
struct EvacuationFixture : SchedulerFixture {
  EvacuationFixture() : SchedulerFixture(4) {
    setDomain("vm0", East);
    setDomain("vm1", East);
    setDomain("vm2", West);
    setDomain("vm3", West);
    sendReplies();
  }

  void setDomain(const std::string &Vm, const FailureDomainId &Domain) {
    Replies[VmId(Vm)].Worker->FailureDomain = Domain;
  }

  std::size_t runsIn(const FailureDomainId &Domain, bool Stopping) const {
    std::size_t Count = 0;
    for (const auto &[Vm, Reply] : Replies)
      for (const auto &[Task, Run] : Subject.vm(Vm)->Assigned)
        Count +=
            Reply.Worker->FailureDomain == Domain && Run.Stopping == Stopping
                ? 1
                : 0;
    return Count;
  }

  /// The starts and stops that the syncs to a domain carry now.
  std::pair<std::size_t, std::size_t> orders(const FailureDomainId &Domain) {
    std::pair<std::size_t, std::size_t> Result{0, 0};
    for (const auto &[Vm, Reply] : Replies)
      if (Reply.Worker->FailureDomain == Domain) {
        auto Sync = Subject.nextSync(Vm, Epoch(1), Now);
        Result.first += Sync.Starts.size();
        Result.second += Sync.Stops.size();
      }
    return Result;
  }
};

} // namespace

// Guards against starts that are sent after the order because they were
// assigned before it.
TEST_CASE("an evacuation takes starts back that were not sent") {
  EvacuationFixture Setup;
  Setup.Subject.addJob(job("a", 16, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  std::size_t Assigned = Setup.runsIn(East, false);
  REQUIRE(Assigned > 0);
  Setup.Subject.evacuate({East});
  REQUIRE(Setup.runsIn(East, false) == 0);
  REQUIRE(Setup.Subject.takeWithdrawnStarts() == Assigned);
  REQUIRE(Setup.Subject.evacuatedVmCount() == 2);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runsIn(West, false) == 16);
  REQUIRE(Setup.orders(East) == std::pair<std::size_t, std::size_t>{0, 0});
  REQUIRE(Setup.orders(West).first == 16);
}

// Guards against a start that the agent repeats or queues and carries out after
// the bound, and against a second run before the first is settled.
TEST_CASE("an evacuation stops starts that no worker has listed") {
  EvacuationFixture Setup;
  Setup.Subject.addJob(job("a", 32, 1000), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.orders(East).first == 16);
  Setup.Subject.evacuate({East});
  REQUIRE(Setup.runsIn(East, true) == 16);
  REQUIRE(Setup.orders(East) == std::pair<std::size_t, std::size_t>{0, 16});
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("a") == 32);
}

// Guards against work that is thrown away: the operator forbids starts only.
// What ends there must not come back.
TEST_CASE("runs go on in an evacuated domain and restart elsewhere") {
  EvacuationFixture Setup;
  Setup.Subject.addJob(service("s", 4, 1000, "image"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  Setup.startAssignedRuns();
  Setup.sendReplies();
  FailureDomainId Domain = Setup.runsIn(East, false) > 0 ? East : West;
  std::size_t Running = Setup.runsIn(Domain, false);
  Setup.Subject.evacuate({Domain});
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runsIn(Domain, false) == Running);
  for (auto &[Vm, Reply] : Setup.Replies)
    if (Reply.Worker->FailureDomain == Domain) {
      Reply.Running.clear();
      Reply.Worker->Life = runner::WorkerLife(2);
    }
  Setup.sendReplies();
  for (auto &[Vm, Reply] : Setup.Replies)
    Setup.Subject.onSyncReply(Vm, 100, Reply, Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runsIn(Domain, false) == 0);
  REQUIRE(Setup.runCount("s") == 4);
}

// Guards against ending a serving task that has just begun, while others of its
// step may be away already; and against one that is never started anywhere.
TEST_CASE("an evacuation leaves ordered serving tasks to the agent") {
  EvacuationFixture Setup;
  Setup.Subject.addJob(service("s", 4, 1000, "image"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  std::size_t Ordered = Setup.orders(East).first;
  REQUIRE(Ordered > 0);
  Setup.Subject.evacuate({East});
  REQUIRE(Setup.runsIn(East, true) == 0);
  // The agents have neither the orders nor the runs.
  for (auto &[Vm, Reply] : Setup.Replies)
    Setup.Subject.onSyncReply(Vm, 100, Reply, Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runsIn(East, true) == Ordered);
  REQUIRE(Setup.orders(East) ==
          std::pair<std::size_t, std::size_t>{0, Ordered});
}

// Guards against a gang that holds resources and waits for a member that is
// not started.
TEST_CASE("an evacuation takes the whole gang back") {
  EvacuationFixture Setup;
  workload::JobRecord Gang = job("g", 4, 5000);
  Gang.Definition.Steps[0].Gang = true;
  Setup.Subject.addJob(Gang, Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.runCount("g") == 4);
  Setup.Subject.evacuate({East});
  REQUIRE(Setup.runCount("g") == 0);
}

// Guards against a new leader that sends its predecessor's starts again before
// it knows in which domain the VM is.
TEST_CASE("a new leader holds stored starts on VMs of unknown domains") {
  EvacuationFixture Earlier;
  Earlier.Subject.addJob(job("a", 32, 1000), Millis(0), Earlier.Now);
  Earlier.scheduleAll();
  Rows Stored;
  commitAll(Earlier, Stored);

  Scheduler Next{Scheduler::Options{}};
  Next.evacuate({East});
  Next.addJob(job("a", 32, 1000), Millis(0), Start);
  restoreAll(Next, Stored, Start);
  for (auto &[Vm, Reply] : Earlier.Replies) {
    Next.onSyncFailed(Vm, 1);
    REQUIRE(Next.nextSync(Vm, Epoch(2), Start).Starts.empty());
    Next.onSyncReply(Vm, 1, Reply, Start);
  }
  Next.schedule(Start, Wall);
  for (auto &[Vm, Reply] : Earlier.Replies) {
    bool Closed = Reply.Worker->FailureDomain == East;
    auto Sync = Next.nextSync(Vm, Epoch(2), Start);
    REQUIRE(Sync.Starts.empty() == Closed);
    REQUIRE(Sync.Stops.empty() != Closed);
  }
}

// Guards against ending a task that is at work: a new agent process does not
// list it before it has heard from the worker.
TEST_CASE("a run that no listing can show yet is not stopped") {
  EvacuationFixture Setup;
  Setup.Subject.addJob(service("s", 4, 1000, "image"), Millis(0), Setup.Now);
  Setup.scheduleAndCommit();
  REQUIRE(Setup.orders(East).first > 0);
  for (auto &[Vm, Reply] : Setup.Replies) {
    Reply.AgentIncarnation = 2;
    Reply.Worker.reset();
    Setup.Subject.onSyncReply(Vm, 100, Reply, Setup.Now);
  }
  Setup.Subject.evacuate({East});
  Setup.scheduleAndCommit();
  for (const auto &[Vm, Reply] : Setup.Replies)
    REQUIRE(Setup.Subject.nextSync(Vm, Epoch(1), Setup.Now).Stops.empty());
}

// Guards against starts ordered by knowledge so old that the bound may be over,
// and against a hold where no deployment states a bound.
TEST_CASE("the age of known evacuations is limited only by a bound") {
  Evacuation Bounded(Millis(5000));
  REQUIRE(Bounded.maxAge() == Millis(3000));
  REQUIRE_FALSE(Bounded.areStartsHeld(Millis(3000)));
  REQUIRE(Bounded.areStartsHeld(Millis(3001)));
  REQUIRE(Evacuation(Millis(1000)).maxAge() == Millis(500));
  REQUIRE_FALSE(Evacuation(Millis(0)).areStartsHeld(Millis(1000000)));
}

// Guards against lines for orders that change nothing.
TEST_CASE("repeated evacuations change nothing") {
  Evacuation Known(Millis(5000));
  REQUIRE(Known.replace({East, FailureDomainId("nowhere")}, Start).size() == 2);
  REQUIRE(Known.replace({East, FailureDomainId("nowhere")}, Start).empty());
  auto Ended = Known.replace({East}, Start + Millis(70));
  REQUIRE(Ended.size() == 1);
  REQUIRE(Ended[0].EndedAfter == Millis(70));
  REQUIRE(Known.domains() == EvacuatedDomains{East});
}
