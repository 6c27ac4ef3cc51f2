#include "daisyspool/telemetry/Log.h"
#include "fleet/FleetChecks.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace daisyspool;
using namespace daisyspool::testing;
using runner::WorkerLife;
using scheduling::JobStatus;

namespace {

/// Restarts entry 0 alone with a small share of a processor; entry 1 has a
/// large one from its next start.
void leadWithSmallEntry(VirtualFleet &Fleet, Millis TimePerEvent) {
  Fleet.killEntry(1);
  Fleet.Processors[0] = MilliCores(120);
  Fleet.TimePerEvent[0] = TimePerEvent;
  Fleet.Processors[1] = MilliCores(500);
  Fleet.startEntry(0);
}

} // namespace

// Guards against two runs of each task of a VM: another program announces a
// worker to its agent, and the leader takes the runs of the true one for ended.
TEST_CASE("announcements of other workers leave every task to run once") {
  VirtualFleet Fleet(3, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 10);
  for (std::size_t I = 0; I < Fleet.Agents.size(); ++I) {
    auto Foreign = Fleet.Workers[I]->announcement();
    Foreign.Worker.Id = TargetId("other");
    Foreign.Worker.Service = ServiceId("listenroom");
    Foreign.Worker.Life = WorkerLife(Foreign.Worker.Life.value() + 1000);
    Fleet.Agents[I]->Session.announce(Foreign);
    Fleet.Loop.runFor(Millis(100));
  }
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.Invariants.Starts == 80);
  requireNoViolations(Fleet);
}

// Guards against one large job that stops all work: the store rejects its
// progress, and each leader repeats the transaction.
TEST_CASE("a job of 5000 tasks does not stop the other jobs") {
  VirtualFleet Fleet(5, 3, 11, {MilliCores(16000), MebiBytes(64000), {}});
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 4);
  auto Large = chainJob("large", 1, 5000, 5);
  Large.Definition.Steps[0].Needs.Memory = MebiBytes(8);
  Fleet.submit(0, Large, Millis(1000));
  Fleet.Loop.runFor(Millis(300));
  Fleet.killEntry(Fleet.leader());
  Fleet.Loop.runFor(Millis(200));
  submitJobs(Fleet, 8);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(30)));
  REQUIRE(Fleet.AcceptedJobs.count(JobId("large")) == 1);
  requireNoViolations(Fleet);
}

// Guards against a store's final refusal that is taken for a passing one: the
// leader would repeat it, renew nothing, and be replaced by one that repeats it
// too.
TEST_CASE("a job whose progress the store rejects does not stop the others") {
  auto Large = chainJob("bad", 1, 300, 5);
  for (const char *RejectedKey : {"bad", "bad."}) {
    INFO(RejectedKey);
    VirtualFleet Fleet(6, 3, 4);
    Fleet.Store.RejectedKey = RejectedKey;
    Fleet.Loop.runFor(Millis(3000));
    std::size_t Leader = Fleet.leader();
    Fleet.submit(0, Large, Millis(600));
    submitJobs(Fleet, 8);
    Fleet.Loop.runFor(Millis(10000));
    REQUIRE(Fleet.leader() == Leader);
    for (int I = 0; I < 8; ++I)
      REQUIRE(Fleet.status(JobId("job" + std::to_string(I))) ==
              JobStatus::Completed);
    REQUIRE(Fleet.Store.Rejections < 10);
    if (Fleet.Store.RejectedKey == "bad.")
      REQUIRE(Fleet.status(JobId("bad")) == JobStatus::Failed);
    requireNoViolations(Fleet);
  }
}

// Guards against jobs that do not complete although no fault is injected.
TEST_CASE("jobs submitted to all entries complete without faults") {
  VirtualFleet Fleet(1, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 20);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.AcceptedJobs.size() == 20);
  REQUIRE(Fleet.Invariants.Starts == 160);
  requireNoViolations(Fleet);
}

// Guards against tasks that are lost or run twice when the leader dies while
// its orders are in flight.
TEST_CASE("a successor takes over the runs of a killed leader") {
  VirtualFleet Fleet(2, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  submitJobs(Fleet, 10);
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Fleet.killEntry(First);
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() < 3);
  REQUIRE(Fleet.leader() != First);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.Invariants.Lapses == 0);
  requireNoViolations(Fleet);
}

// Guards against an agent that refuses orders for runs which an earlier agent
// process started on its worker (two runs of one task).
TEST_CASE("a restarted agent keeps its worker's runs") {
  VirtualFleet Fleet(3, 3, 2);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("long", 1, 6), Millis(6000));
  Fleet.Loop.runFor(Millis(500));
  REQUIRE(Fleet.Invariants.Starts == 6);
  Fleet.killAgent(0);
  Fleet.Loop.runFor(Millis(300));
  Fleet.startAgent(0);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.Invariants.Starts == 6);
  REQUIRE(Fleet.Invariants.Lapses == 0);
  requireNoViolations(Fleet);
}

// Guards against extending the lease of a dead worker forever, so that its
// tasks never start elsewhere.
TEST_CASE("tasks of a dead worker start elsewhere after its lease") {
  VirtualFleet Fleet(4, 3, 2);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 1, 8), Millis(2000));
  Fleet.Loop.runFor(Millis(300));
  Fleet.Workers[0]->crash();
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(9)));
  requireNoViolations(Fleet);
}

// Guards against orders for an earlier life of a worker that are carried out in
// the next one, which has the same id and has seen no fencing token.
TEST_CASE("tasks run again on a worker that restarts under the same id") {
  VirtualFleet Fleet(5, 3, 2);
  for (auto &Worker : Fleet.Workers)
    Worker->KeepsId = true;
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 1, 8), Millis(2000));
  Fleet.Loop.runFor(Millis(300));
  Fleet.Workers[0]->crash();
  Fleet.Loop.runFor(Millis(200));
  Fleet.Workers[0]->reboot();
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(8)));
  requireNoViolations(Fleet);
}

// Guards against a worker's new life that is taken for an old one as its clock
// was set back: the agent would report the runs of the former life for good.
TEST_CASE("tasks run again on a worker that restarts with its clock set back") {
  for (bool KeepsId : {true, false}) {
    INFO("keeps its id: " << KeepsId);
    VirtualFleet Fleet(15, 3, 1);
    Fleet.Workers[0]->KeepsId = KeepsId;
    Fleet.Loop.runFor(Millis(3000));
    auto Job = chainJob("lasting", 1, 2);
    Job.Definition.Steps[0].LongRunning = true;
    Fleet.submit(0, Job, Millis(500));
    Fleet.Loop.runFor(Millis(1000));
    REQUIRE(Fleet.Invariants.runningCount() == 2);
    Fleet.Workers[0]->ClockError = std::chrono::milliseconds(-60000);
    Fleet.Workers[0]->crash();
    Fleet.Loop.runFor(Millis(300));
    Fleet.Workers[0]->reboot();
    Fleet.Loop.runFor(Millis(6000));
    REQUIRE(Fleet.Invariants.runningCount() == 2);
    requireNoViolations(Fleet);
  }
}

// Guards against giving up running tasks during a store outage of 4.5 s, and
// against confirming jobs that are not stored.
TEST_CASE("running tasks survive an outage of the store") {
  VirtualFleet Fleet(6, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("before", 1, 8), Millis(6000));
  Fleet.Loop.runFor(Millis(500));
  Fleet.Store.Down = true;
  Fleet.submit(1, chainJob("during", 1, 2), Millis(500));
  Fleet.Loop.runFor(Millis(4500));
  REQUIRE(Fleet.RefusedJobs.count(JobId("during")) == 1);
  Fleet.Store.Down = false;
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(8)));
  REQUIRE(Fleet.Invariants.Lapses == 0);
  REQUIRE_FALSE(Fleet.status(JobId("during")));
  requireNoViolations(Fleet);
}

// Guards against refusing a job whose write was applied without an answer, and
// against a late copy of a leader's transaction.
TEST_CASE("accepted jobs complete despite lost and late answers of the store") {
  for (bool Late : {false, true}) {
    VirtualFleet Fleet(7, 3, 4);
    Fleet.Loop.runFor(Millis(3000));
    Fleet.Store.LostAnswerShare = 0.3;
    Fleet.Store.ApplyLostWritesLate = Late;
    submitJobs(Fleet, 20);
    Fleet.Loop.runFor(Millis(4000));
    Fleet.Store.LostAnswerShare = 0;
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(25)));
    for (const JobId &Job : Fleet.RefusedJobs)
      REQUIRE_FALSE(Fleet.status(Job));
    requireNoViolations(Fleet);
  }
}

// Guards against a leader that the store refuses and that keeps leading beside
// its successor, and against its crash when agents follow the successor.
TEST_CASE("a leader that the store refuses is replaced") {
  VirtualFleet Fleet(8, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  std::size_t First = Fleet.leader();
  Fleet.Store.RefusedProcesses.insert("entry" + std::to_string(First));
  submitJobs(Fleet, 10);
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() != First);
  REQUIRE_FALSE(Fleet.Entries[First]->Leader.isLeading());
  Fleet.Store.RefusedProcesses.clear();
  std::size_t Second = Fleet.leader();
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  // The return of the first leader must not replace a healthy one.
  REQUIRE(Fleet.leader() == Second);
  requireNoViolations(Fleet);
}

// Guards against a takeover that is put off because the same status is read
// again, as the store has dropped its history.
TEST_CASE("a status that is read again does not put off a takeover") {
  VirtualFleet Fleet(16, 3, 1);
  Fleet.Loop.runFor(Millis(3000));
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Fleet.killEntry(First);
  Fleet.Loop.runFor(Millis(1000));
  Fleet.Store.HistoryTrimmedTo = rows::RowVersion(~std::uint64_t{0});
  Fleet.Loop.runFor(Millis(500));
  Fleet.Store.HistoryTrimmedTo = {};
  Fleet.Loop.runFor(Millis(700));
  REQUIRE(Fleet.leader() < 3);
}

// Load pattern: an entry with a small share of a processor leads more VMs than
// it can, and falls seconds behind while it renews its status. Guards against a
// leader that nobody relieves although a larger entry is there.
TEST_CASE("a larger entry relieves an overloaded leader") {
  VirtualFleet Fleet(21, 2, 24);
  leadWithSmallEntry(Fleet, Millis(30));
  Fleet.Loop.runFor(Millis(4000));
  REQUIRE(Fleet.leader() == 0);
  Fleet.startEntry(1);
  Fleet.Loop.runFor(Millis(5000));
  INFO("lag in ms: " << Fleet.Entries[0]->Leader.lag().count());
  REQUIRE(Fleet.leader() == 1);
  submitJobs(Fleet, 10);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  requireNoViolations(Fleet);
}

// Guards against a leader that loses the leadership to a larger entry although
// it keeps up, which would only stop the starts for a while.
TEST_CASE("a small leader that keeps up is not replaced") {
  VirtualFleet Fleet(22, 2, 4);
  leadWithSmallEntry(Fleet, Millis(2));
  Fleet.Loop.runFor(Millis(3000));
  Fleet.startEntry(1);
  Fleet.Loop.runFor(Millis(6000));
  REQUIRE(Fleet.leader() == 0);
}

// Guards against a takeover by the entry that is nearest to the store while a
// larger one is there.
TEST_CASE("the largest entry succeeds a dead leader") {
  VirtualFleet Fleet(23, 4, 2);
  for (std::size_t I = 0; I < 4; ++I) {
    Fleet.killEntry(I);
    Fleet.Processors[I] = MilliCores(I == 0 || I == 3 ? 500 : 120);
  }
  Fleet.startEntry(0);
  Fleet.Loop.runFor(Millis(2000));
  for (std::size_t I = 1; I < 4; ++I)
    Fleet.startEntry(I);
  Fleet.Loop.runFor(Millis(2000));
  REQUIRE(Fleet.leader() == 0);
  Fleet.killEntry(0);
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() == 3);
  Fleet.killEntry(3);
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.leader() < 3);
}

// Load pattern: the store's change feed does not reach the leader, or the
// leader is behind, while jobs are cancelled. Guards against starting a task of
// a job whose cancellation was accepted seconds ago.
TEST_CASE("no task starts while the leader's view of cancellations is old") {
  VirtualFleet Fleet(24, 2, 2);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 2, 1), Millis(3500));
  Fleet.Loop.runFor(Millis(500));
  REQUIRE(Fleet.Invariants.Starts == 1);
  Fleet.Store.SilentFeeds = true;
  Fleet.Loop.runFor(Millis(200));
  Fleet.cancel(1, JobId("job"));
  Fleet.Loop.runFor(Millis(5000));
  REQUIRE(Fleet.Invariants.Starts == 1);
  Fleet.Store.SilentFeeds = false;
  Fleet.submit(0, chainJob("next", 1, 1), Millis(500));
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.status(JobId("next")) == JobStatus::Completed);
  requireNoViolations(Fleet);
}

// Guards against leaders that replace each other while they load, as loading
// many jobs from a slow store takes longer than a takeover.
TEST_CASE("a leader that loads from a slow store is not replaced") {
  VirtualFleet Fleet(17, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  for (std::size_t I = 0; I < 260; ++I) {
    Fleet.submit(I % 3, chainJob("job" + std::to_string(I), 1, 1), Millis(50));
    Fleet.Loop.runFor(Millis(20));
  }
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Epoch Before = Fleet.Entries[First]->Leader.status().Leader.Term;
  Fleet.Store.Delay = Millis(200);
  Fleet.killEntry(First);
  Fleet.Loop.runFor(Millis(8000));
  std::size_t Second = Fleet.leader();
  REQUIRE(Second < 3);
  REQUIRE(Fleet.Entries[Second]->Leader.status().Leader.Term == Before.next());
  Fleet.submit(Second, chainJob("after", 1, 1), Millis(50));
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  requireNoViolations(Fleet);
}

// Guards against a stopping leader that does not release the leadership because
// a transaction is in flight: its successor then waits as for a dead leader.
TEST_CASE("a stopping leader hands over at once") {
  for (int Delay : {4, 40}) {
    VirtualFleet Fleet(13, 3, 4);
    Fleet.Store.Delay = Millis(Delay);
    Fleet.Loop.runFor(Millis(4000));
    submitJobs(Fleet, 10);
    std::size_t First = Fleet.leader();
    REQUIRE(First < 3);
    Fleet.Entries[First]->Leader.close([] {});
    Fleet.Loop.runFor(Millis(15 * Delay + 100));
    REQUIRE(Fleet.leader() < 3);
    REQUIRE(Fleet.leader() != First);
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(15)));
    requireNoViolations(Fleet);
  }
}

// Guards against replacing a leader that took over a few milliseconds ago: the
// entry asked for the fence before that takeover and received it after.
TEST_CASE("entries that race for a takeover elect one new leader") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    VirtualFleet Fleet(Seed, 5, 1);
    Fleet.Store.Delay = Millis(2 + static_cast<int>(Seed));
    Fleet.Loop.runFor(Millis(3000 + static_cast<int>(Seed) * 37));
    std::size_t First = Fleet.leader();
    REQUIRE(First < 5);
    Epoch Before = Fleet.Entries[First]->Leader.status().Leader.Term;
    // Restarts the entries at different times, so that their store calls are
    // not synchronized.
    for (std::size_t I = 0; I < 5; ++I)
      if (I != First) {
        Fleet.killEntry(I);
        Fleet.Loop.runFor(Millis(3 + static_cast<int>(Seed * I % 7)));
        Fleet.startEntry(I);
      }
    Fleet.Loop.runFor(Millis(2000));
    Fleet.killEntry(First);
    Fleet.Loop.runFor(Millis(3500));
    std::size_t Second = Fleet.leader();
    REQUIRE(Second < 5);
    REQUIRE(Fleet.Entries[Second]->Leader.status().Leader.Term ==
            Before.next());
  }
}

// Guards against a cancelled job that keeps running because a new leader reads
// the cancellation before the progress of the job.
TEST_CASE("a job cancelled during a takeover is stopped") {
  VirtualFleet Fleet(9, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 1, 8), Millis(20000));
  Fleet.Loop.runFor(Millis(500));
  REQUIRE(Fleet.Invariants.runningCount() == 8);
  std::size_t Leader = Fleet.leader();
  Fleet.killEntry(Leader);
  Fleet.cancel((Leader + 1) % 3, JobId("job"));
  Fleet.Loop.runFor(Millis(4000));
  REQUIRE(Fleet.Invariants.runningCount() == 0);
  REQUIRE(Fleet.status(JobId("job")) == JobStatus::Cancelled);
  requireNoViolations(Fleet);
}

// Guards against retrying forever a job that always fails, and against a worker
// that fails all its tasks and so attracts the whole queue.
TEST_CASE("a job that always fails ends after its attempts and a failing "
          "worker is avoided") {
  VirtualFleet Fleet(10, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("poison", 1, 2), Millis(100), true);
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.status(JobId("poison")) == JobStatus::Failed);
  Fleet.AcceptedJobs.clear();
  Fleet.Workers[1]->FailsAll = true;
  submitJobs(Fleet, 12);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  requireNoViolations(Fleet);
}

// Guards against a lasting task that is offered again and again to the worker
// that turns it away, as that one has the least free room, and runs nowhere.
TEST_CASE("a lasting task that a worker turns away runs on another") {
  VirtualFleet Fleet(14, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.Workers[I]->Busy = true;
  auto Job = chainJob("lasting", 1, 2);
  Job.Definition.Steps[0].LongRunning = true;
  Fleet.submit(0, Job, Millis(500));
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.Invariants.runningCount() == 2);
  requireNoViolations(Fleet);
}

// Guards against tasks that make no progress on a worker whose lease is
// extended.
TEST_CASE("stalled tasks start elsewhere") {
  VirtualFleet Fleet(11, 3, 3);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.Workers[0]->Hangs = true;
  submitJobs(Fleet, 6);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(12)));
  requireNoViolations(Fleet);
}

// Guards against starting new tasks on a draining worker.
TEST_CASE("a draining worker gets no new tasks") {
  VirtualFleet Fleet(12, 3, 3);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.Workers[0]->Draining = true;
  Fleet.Loop.runFor(Millis(2000));
  std::size_t Before = Fleet.Workers[0]->endCount();
  submitJobs(Fleet, 6);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(8)));
  REQUIRE(Fleet.Workers[0]->endCount() == Before);
  requireNoViolations(Fleet);
}

// Load pattern: short tasks on a worker that loses its answers. Guards against
// a task that runs again after its end (found on 2026-12-04 with
// voicematch-spool scale-1, seed 829989956536): the start got no answer, its
// repetition was declined as the run had ended, and the agent dropped the order
// before a listing showed the end. The leader then repeated the order and took
// its refusal to mean that the run had never started.
TEST_CASE("a run that ended before its start was answered runs once") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    VirtualFleet Fleet(Seed, 2, 3);
    Fleet.Loop.runFor(Millis(3000));
    for (auto &Worker : Fleet.Workers)
      Worker->LostAnswerShare = 0.6;
    for (std::size_t I = 0; I < 12; ++I) {
      Fleet.submit(I % 2, chainJob("job" + std::to_string(I), 2, 4),
                   Millis(200));
      Fleet.Loop.runFor(Millis(250));
    }
    for (auto &Worker : Fleet.Workers)
      Worker->LostAnswerShare = 0;
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(20)));
    requireNoViolations(Fleet);
  }
}

// Guards against a lasting task that stays down for longer than callers accept:
// its machine is lost for good together with the leader, and the successor
// waits for grants that the leader may have given.
TEST_CASE("a lasting task of a machine lost with the leader runs again within "
          "seconds") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    VirtualFleet Fleet(Seed, 3, 3);
    Fleet.Loop.runFor(Millis(3000 + static_cast<int>(Seed) * 53));
    auto Job = chainJob("lasting", 1, 3);
    Job.Definition.Steps[0].LongRunning = true;
    Fleet.submit(0, Job, Millis(500));
    Fleet.Loop.runFor(Millis(1500));
    REQUIRE(Fleet.Invariants.runningCount() == 3);
    std::size_t Leader = Fleet.leader();
    REQUIRE(Leader < 3);
    for (std::size_t I = 0; I < 3; ++I)
      if (!Fleet.Workers[I]->idle()) {
        Fleet.killAgent(I);
        Fleet.Workers[I]->crash();
        break;
      }
    REQUIRE(Fleet.Invariants.runningCount() < 3);
    Fleet.killEntry(Leader);
    // Half a second until the killed process is back, and then 4 s and 3 s
    // without faults, after which callers count a lasting task as lost.
    Fleet.Loop.runFor(Millis(7500));
    REQUIRE(Fleet.Invariants.runningCount() == 3);
    requireNoViolations(Fleet);
  }
}

namespace {

/// Injects one random fault.
void injectFault(VirtualFleet &Fleet, std::mt19937_64 &Random) {
  auto PickBelow = [&](std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  };
  Millis FaultDuration(500 + static_cast<int>(PickBelow(5000)));
  std::size_t Vm = PickBelow(Fleet.Workers.size());
  std::size_t Entry = PickBelow(Fleet.Entries.size());
  auto Restart = [&Fleet](std::size_t I) {
    if (!Fleet.Entries[I])
      Fleet.startEntry(I);
  };
  switch (PickBelow(12)) {
  case 0:
    Entry = std::min(Fleet.leader(), Fleet.Entries.size() - 1);
    [[fallthrough]];
  case 1:
    Fleet.killEntry(Entry);
    Fleet.Loop.after(FaultDuration, [Restart, Entry] { Restart(Entry); });
    break;
  case 2:
    Fleet.killAgent(Vm);
    Fleet.Loop.after(FaultDuration, [&Fleet, Vm] {
      if (!Fleet.Agents[Vm])
        Fleet.startAgent(Vm);
    });
    break;
  case 3:
    if (!Fleet.Workers[Vm]->up())
      break;
    Fleet.Workers[Vm]->crash();
    Fleet.Loop.after(FaultDuration,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->reboot(); });
    break;
  case 4:
    Fleet.Store.Down = true;
    Fleet.Loop.after(FaultDuration, [&Fleet] { Fleet.Store.Down = false; });
    break;
  case 5:
    Fleet.Store.LostAnswerShare = 0.35;
    Fleet.Store.ApplyLostWritesLate = PickBelow(2) == 0;
    Fleet.Loop.after(FaultDuration,
                     [&Fleet] { Fleet.Store.LostAnswerShare = 0; });
    break;
  case 6:
    Fleet.CutOff[Vm] = true;
    Fleet.Loop.after(FaultDuration, [&Fleet, Vm] { Fleet.CutOff[Vm] = false; });
    break;
  case 7:
    Fleet.Workers[Vm]->UnansweredShare = 0.3;
    Fleet.Loop.after(FaultDuration,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->UnansweredShare = 0; });
    break;
  case 8:
    Fleet.Store.HistoryTrimmedTo = Fleet.Store.version();
    break;
  case 9: {
    std::string Name = "entry" + std::to_string(Entry);
    Fleet.Store.RefusedProcesses.insert(Name);
    Fleet.Loop.after(FaultDuration, [&Fleet, Name] {
      Fleet.Store.RefusedProcesses.erase(Name);
    });
    break;
  }
  case 10:
    Fleet.Workers[Vm]->LostAnswerShare = 0.3;
    Fleet.Loop.after(FaultDuration,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->LostAnswerShare = 0; });
    break;
  default:
    Fleet.Workers[Vm]->Hangs = true;
    Fleet.Loop.after(FaultDuration,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->Hangs = false; });
  }
}

/// Submits jobs during overlapping random faults; all accepted jobs must
/// complete. A worker lists at most \p MaxListedEnds at once.
void runRandomFaults(std::uint64_t Seed, std::size_t MaxListedEnds = 500) {
  INFO("seed " << Seed);
  VirtualFleet Fleet(Seed, 3, 5);
  std::mt19937_64 Random(Seed * 7919 + 1);
  for (auto &Worker : Fleet.Workers) {
    Worker->KeepsId = Seed % 2 == 0;
    Worker->MaxListedEnds = MaxListedEnds;
  }
  Fleet.Loop.runFor(Millis(3000));
  for (std::size_t I = 0; I < 60; ++I) {
    auto Steps = 1 + static_cast<std::uint32_t>(Random() % 3);
    Fleet.submit(Random() % 3, chainJob("job" + std::to_string(I), Steps, 4),
                 Millis(300 + static_cast<int>(Random() % 1500)));
    if (Random() % 4 == 0)
      injectFault(Fleet, Random);
    Fleet.Loop.runFor(Millis(static_cast<int>(Random() % 600)));
  }
  Fleet.Loop.runFor(Millis(6000));
  for (std::size_t I = 0; I < Fleet.Entries.size(); ++I)
    if (!Fleet.Entries[I])
      Fleet.startEntry(I);
  bool Completed =
      Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(40));
  requireNoViolations(Fleet);
  std::string Unfinished;
  for (const JobId &Job : Fleet.AcceptedJobs)
    if (Fleet.status(Job) != JobStatus::Completed)
      Unfinished += Job.str() + " " +
                    std::to_string(static_cast<int>(*Fleet.status(Job))) + ", ";
  INFO("not completed: " << Unfinished);
  REQUIRE(Completed);
  for (const JobId &Job : Fleet.RefusedJobs)
    REQUIRE_FALSE(Fleet.status(Job));
}

} // namespace

// Guards against violations of the invariants of Oracle.h, and against accepted
// jobs that do not complete, under overlapping faults.
TEST_CASE("overlapping random faults violate no invariant") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed)
    runRandomFaults(Seed);
}

// Guards against runs that are taken for never started as their ends have no
// place in a listing, under overlapping faults.
TEST_CASE("random faults violate no invariant while few ends are listed") {
  for (std::uint64_t Seed = 3001; Seed <= 3100; ++Seed)
    runRandomFaults(Seed, 1 + Seed % 4);
}

// Seeds that failed once, with the cause of each.
TEST_CASE("seeds that failed once violate no invariant") {
  for (std::uint64_t Seed :
       {// A dead virtual worker carried out an order (a fault of the test).
        588U, 600U, 1478U,
        // An order was in flight when an older reply said that the lease had
        // expired; the task was placed elsewhere, and then the order started
        // it.
        362U, 1187U,
        // A worker's new life under the same id was asked to drop ends by the
        // numbers of its earlier life.
        2352U})
    runRandomFaults(Seed);
}

// Runs one seed with all decisions logged, to trace a failure. The number of
// ends that a worker lists may be given.
TEST_CASE("random faults of one seed", "[.seed]") {
  const char *Seed = std::getenv("DAISYSPOOL_SEED");
  REQUIRE(Seed != nullptr);
  startLog("fleet", LogLevel::Info);
  const char *ListedEnds = std::getenv("DAISYSPOOL_LISTED_ENDS");
  runRandomFaults(std::stoull(Seed),
                  ListedEnds != nullptr ? std::stoull(ListedEnds) : 500);
}
