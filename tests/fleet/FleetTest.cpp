#include "daisyspool/telemetry/Log.h"
#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace daisyspool;
using namespace daisyspool::testing;
using scheduling::JobStatus;

namespace {

void submitSome(VirtualFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    Fleet.submit(I % Fleet.Entries.size(),
                 chainJob("job" + std::to_string(I), 2, 4), Millis(600));
    Fleet.Loop.runFor(Millis(100));
  }
}

void requireSound(const VirtualFleet &Fleet) {
  INFO((Fleet.Watch.Violations.empty() ? "" : Fleet.Watch.Violations.front()));
  REQUIRE(Fleet.Watch.Violations.empty());
}

} // namespace

// Guards against a broken path on a day without faults.
TEST_CASE("jobs of all entries complete on a calm day") {
  VirtualFleet Fleet(1, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  submitSome(Fleet, 20);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.AcceptedJobs.size() == 20);
  REQUIRE(Fleet.Watch.Starts == 160);
  requireSound(Fleet);
}

// Guards against work that is lost or run twice when the leader dies while its
// orders are on their way.
TEST_CASE("a successor takes over the runs of a killed leader") {
  VirtualFleet Fleet(2, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  submitSome(Fleet, 10);
  std::size_t First = Fleet.leader();
  REQUIRE(First < 3);
  Fleet.killEntry(First);
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() < 3);
  REQUIRE(Fleet.leader() != First);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.Watch.Lapses == 0);
  requireSound(Fleet);
}

// Guards against an agent that refuses orders for runs which its worker has
// from an earlier agent process (two runs of one task).
TEST_CASE("a restarted agent keeps its worker's runs") {
  VirtualFleet Fleet(3, 3, 2);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("long", 1, 6), Millis(6000));
  Fleet.Loop.runFor(Millis(500));
  REQUIRE(Fleet.Watch.Starts == 6);
  Fleet.killAgent(0);
  Fleet.Loop.runFor(Millis(300));
  Fleet.startAgent(0);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  REQUIRE(Fleet.Watch.Starts == 6);
  REQUIRE(Fleet.Watch.Lapses == 0);
  requireSound(Fleet);
}

// Guards against a dead worker whose lease is extended for ever, so that its
// tasks never start elsewhere.
TEST_CASE("tasks of a dark worker start elsewhere after its lease") {
  VirtualFleet Fleet(4, 3, 2);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 1, 8), Millis(2000));
  Fleet.Loop.runFor(Millis(300));
  Fleet.Workers[0]->crash();
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(9)));
  requireSound(Fleet);
}

// Guards against orders for an earlier life that are carried out in the next
// one, which has the same id and has seen no token.
TEST_CASE("a worker that starts again under its id gets its tasks anew") {
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
  requireSound(Fleet);
}

// Guards against running work that is given up during an outage of the store
// of 4.5 s, and against answers that claim more than is stored.
TEST_CASE("running work outlives an outage of the store") {
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
  REQUIRE(Fleet.Watch.Lapses == 0);
  REQUIRE_FALSE(Fleet.status(JobId("during")));
  requireSound(Fleet);
}

// Guards against a refusal of a job whose write had no answer and was applied
// all the same, and against a late copy of a leader's transaction.
TEST_CASE("lost and late answers of the store change nothing") {
  for (bool Late : {false, true}) {
    VirtualFleet Fleet(7, 3, 4);
    Fleet.Loop.runFor(Millis(3000));
    Fleet.Store.LostAnswerShare = 0.3;
    Fleet.Store.ApplyLostWritesLate = Late;
    submitSome(Fleet, 20);
    Fleet.Loop.runFor(Millis(4000));
    Fleet.Store.LostAnswerShare = 0;
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(25)));
    for (const JobId &Job : Fleet.RefusedJobs)
      REQUIRE_FALSE(Fleet.status(Job));
    requireSound(Fleet);
  }
}

// Guards against a leader that the store turns away and that goes on beside
// its successor, and against its crash when agents follow the other.
TEST_CASE("a leader that the store turns away is replaced") {
  VirtualFleet Fleet(8, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  std::size_t First = Fleet.leader();
  Fleet.Store.TurnedAway.insert("entry" + std::to_string(First));
  submitSome(Fleet, 10);
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() != First);
  REQUIRE_FALSE(Fleet.Entries[First]->Leader.isLeading());
  Fleet.Store.TurnedAway.clear();
  std::size_t Second = Fleet.leader();
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  // Its return must not depose a healthy leader.
  REQUIRE(Fleet.leader() == Second);
  requireSound(Fleet);
}

// Guards against a stopping leader that leaves without a release because a
// transaction is under way: its successor then waits as for a dead one.
TEST_CASE("a leader that stops hands over at once") {
  for (int Delay : {4, 40}) {
    VirtualFleet Fleet(13, 3, 4);
    Fleet.Store.Delay = Millis(Delay);
    Fleet.Loop.runFor(Millis(4000));
    submitSome(Fleet, 10);
    std::size_t First = Fleet.leader();
    REQUIRE(First < 3);
    Fleet.Entries[First]->Leader.close([] {});
    Fleet.Loop.runFor(Millis(15 * Delay + 100));
    REQUIRE(Fleet.leader() < 3);
    REQUIRE(Fleet.leader() != First);
    REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(15)));
    requireSound(Fleet);
  }
}

// Guards against an entry that replaces a leader of a few milliseconds: it had
// asked for the fence before and read it after that one's takeover.
TEST_CASE("entries that race for a takeover leave one new leader") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    VirtualFleet Fleet(Seed, 5, 1);
    Fleet.Store.Delay = Millis(2 + static_cast<int>(Seed));
    Fleet.Loop.runFor(Millis(3000 + static_cast<int>(Seed) * 37));
    std::size_t First = Fleet.leader();
    REQUIRE(First < 5);
    Epoch Before = Fleet.Entries[First]->Leader.status().Leader.Term;
    // Their calls to the store must not run in step.
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

// Guards against a cancellation that a new leader reads before the progress of
// the job, which then runs on.
TEST_CASE("a job cancelled during a takeover is stopped") {
  VirtualFleet Fleet(9, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("job", 1, 8), Millis(20000));
  Fleet.Loop.runFor(Millis(500));
  REQUIRE(Fleet.Watch.runningCount() == 8);
  std::size_t Leader = Fleet.leader();
  Fleet.killEntry(Leader);
  Fleet.cancel((Leader + 1) % 3, JobId("job"));
  Fleet.Loop.runFor(Millis(4000));
  REQUIRE(Fleet.Watch.runningCount() == 0);
  REQUIRE(Fleet.status(JobId("job")) == JobStatus::Cancelled);
  requireSound(Fleet);
}

// Guards against a job that can never be done and is tried for ever, and
// against a worker that fails all it starts and draws the whole queue.
TEST_CASE("poison fails after its attempts, a failing worker is avoided") {
  VirtualFleet Fleet(10, 3, 4);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.submit(0, chainJob("poison", 1, 2), Millis(100), true);
  Fleet.Loop.runFor(Millis(3000));
  REQUIRE(Fleet.status(JobId("poison")) == JobStatus::Failed);
  Fleet.AcceptedJobs.clear();
  Fleet.Workers[1]->FailsAll = true;
  submitSome(Fleet, 12);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(10)));
  requireSound(Fleet);
}

// Guards against tasks that stand still on a worker whose lease goes on.
TEST_CASE("stalled tasks start elsewhere") {
  VirtualFleet Fleet(11, 3, 3);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.Workers[0]->Hangs = true;
  submitSome(Fleet, 6);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(12)));
  requireSound(Fleet);
}

// Guards against new work on a worker that leaves.
TEST_CASE("a draining worker gets no new work") {
  VirtualFleet Fleet(12, 3, 3);
  Fleet.Loop.runFor(Millis(3000));
  Fleet.Workers[0]->Draining = true;
  Fleet.Loop.runFor(Millis(2000));
  std::size_t Before = Fleet.Workers[0]->endCount();
  submitSome(Fleet, 6);
  REQUIRE(Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(8)));
  REQUIRE(Fleet.Workers[0]->endCount() == Before);
  requireSound(Fleet);
}

// Load pattern: short tasks on a worker that loses its answers. Guards against
// a task that runs again after its end (hunt of 2026-12-04, voicematch-spool
// scale-1, seed 829989956536: TWICE): the start had no answer, its repetition
// was declined as the run was over, and the order was dropped before a listing
// showed the end; the leader sent it again and took the refusal of that for a
// run that had never been there.
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
    requireSound(Fleet);
  }
}

namespace {

/// One fault of a random day.
void injectFault(VirtualFleet &Fleet, std::mt19937_64 &Random) {
  auto Pick = [&](std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  };
  Millis Span(500 + static_cast<int>(Pick(5000)));
  std::size_t Vm = Pick(Fleet.Workers.size());
  std::size_t Entry = Pick(Fleet.Entries.size());
  auto Restart = [&Fleet](std::size_t I) {
    if (!Fleet.Entries[I])
      Fleet.startEntry(I);
  };
  switch (Pick(12)) {
  case 0:
    Entry = std::min(Fleet.leader(), Fleet.Entries.size() - 1);
    [[fallthrough]];
  case 1:
    Fleet.killEntry(Entry);
    Fleet.Loop.after(Span, [Restart, Entry] { Restart(Entry); });
    break;
  case 2:
    Fleet.killAgent(Vm);
    Fleet.Loop.after(Span, [&Fleet, Vm] {
      if (!Fleet.Agents[Vm])
        Fleet.startAgent(Vm);
    });
    break;
  case 3:
    if (!Fleet.Workers[Vm]->up())
      break;
    Fleet.Workers[Vm]->crash();
    Fleet.Loop.after(Span, [&Fleet, Vm] { Fleet.Workers[Vm]->reboot(); });
    break;
  case 4:
    Fleet.Store.Down = true;
    Fleet.Loop.after(Span, [&Fleet] { Fleet.Store.Down = false; });
    break;
  case 5:
    Fleet.Store.LostAnswerShare = 0.35;
    Fleet.Store.ApplyLostWritesLate = Pick(2) == 0;
    Fleet.Loop.after(Span, [&Fleet] { Fleet.Store.LostAnswerShare = 0; });
    break;
  case 6:
    Fleet.Cut[Vm] = true;
    Fleet.Loop.after(Span, [&Fleet, Vm] { Fleet.Cut[Vm] = false; });
    break;
  case 7:
    Fleet.Workers[Vm]->UnansweredShare = 0.3;
    Fleet.Loop.after(Span,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->UnansweredShare = 0; });
    break;
  case 8:
    Fleet.Store.HistoryTrimmedTo = Fleet.Store.version();
    break;
  case 9: {
    std::string Name = "entry" + std::to_string(Entry);
    Fleet.Store.TurnedAway.insert(Name);
    Fleet.Loop.after(Span,
                     [&Fleet, Name] { Fleet.Store.TurnedAway.erase(Name); });
    break;
  }
  case 10:
    Fleet.Workers[Vm]->LostAnswerShare = 0.3;
    Fleet.Loop.after(Span,
                     [&Fleet, Vm] { Fleet.Workers[Vm]->LostAnswerShare = 0; });
    break;
  default:
    Fleet.Workers[Vm]->Hangs = true;
    Fleet.Loop.after(Span, [&Fleet, Vm] { Fleet.Workers[Vm]->Hangs = false; });
  }
}

/// A day of jobs and overlapping faults; everything accepted must complete.
void playRandomDay(std::uint64_t Seed) {
  INFO("seed " << Seed);
  VirtualFleet Fleet(Seed, 3, 5);
  std::mt19937_64 Random(Seed * 7919 + 1);
  for (auto &Worker : Fleet.Workers)
    Worker->KeepsId = Seed % 2 == 0;
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
  bool All = Fleet.runUntilAll(JobStatus::Completed, std::chrono::seconds(40));
  requireSound(Fleet);
  std::string Open;
  for (const JobId &Job : Fleet.AcceptedJobs)
    if (Fleet.status(Job) != JobStatus::Completed)
      Open += Job.str() + " " +
              std::to_string(static_cast<int>(*Fleet.status(Job))) + ", ";
  INFO("not completed: " << Open);
  REQUIRE(All);
  for (const JobId &Job : Fleet.RefusedJobs)
    REQUIRE_FALSE(Fleet.status(Job));
}

} // namespace

// Guards against whatever overlapping faults bring about: see Oracle.h.
TEST_CASE("random days of overlapping faults keep every promise") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed)
    playRandomDay(Seed);
}

// Seeds that failed once, with the cause of each.
TEST_CASE("random days that failed once keep every promise") {
  for (std::uint64_t Seed :
       {// A dead virtual worker carried out an order (fault of the test).
        588U, 600U, 1478U,
        // An order was on its way when an older answer said that the lease
        // had expired; the task was placed elsewhere and then started.
        362U, 1187U,
        // A worker's new life under its old id was asked to forget ends that
        // its earlier life had numbered.
        2352U})
    playRandomDay(Seed);
}

// Plays one seed with all decisions logged, to trace a find.
TEST_CASE("one random day", "[.seed]") {
  const char *Seed = std::getenv("DAISYSPOOL_SEED");
  REQUIRE(Seed != nullptr);
  startLog("fleet", LogLevel::Info);
  playRandomDay(std::stoull(Seed));
}
