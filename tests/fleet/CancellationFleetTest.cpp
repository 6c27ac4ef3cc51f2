// Cancellations of jobs whose writes reach the store late, against the
// product's own entries, leader and agents.
#include "fleet/FleetChecks.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::testing;

// Guards against a task that starts after its job's DELETE was answered with
// 410: the store writes the job seconds later (review/14).
TEST_CASE("a job cancelled before its late write never starts") {
  for (bool WithTakeover : {false, true}) {
    INFO("takeover: " << WithTakeover);
    VirtualFleet Fleet(61, 3, 2);
    Fleet.Loop.runFor(Millis(3000));
    std::size_t Leader = Fleet.leader();
    std::size_t Other = (Leader + 1) % 3;
    Fleet.Store.LostAnswerShare = 1;
    Fleet.Store.ApplyLostWritesLate = true;
    Fleet.Store.LateWriteDelay = Millis(5900);
    Fleet.submit(Other, chainJob("job", 1, 4), Millis(300));
    Fleet.Loop.runFor(Millis(200));
    Fleet.Store.LostAnswerShare = 0;
    Fleet.Store.Silent = true;
    Fleet.Loop.runFor(Millis(1400));
    Fleet.Store.Silent = false;
    if (WithTakeover)
      Fleet.killEntry(Leader);
    Fleet.cancel((Leader + 2) % 3, JobId("job"));
    Fleet.Loop.runFor(Millis(100));
    REQUIRE(std::holds_alternative<intake::NoSuchJob>(
        Fleet.CancelAnswers.at(JobId("job"))));
    Fleet.Loop.runFor(Millis(15000));
    REQUIRE(Fleet.Invariants.Starts == 0);
    REQUIRE_FALSE(Fleet.status(JobId("job")));
  }
}

namespace {

using Random = std::mt19937_64;

int draw(Random &Source, std::uint64_t Count) {
  return static_cast<int>(Source() % Count);
}

/// Submits a job and cancels it up to two times, each at any entry, while the
/// store may lose answers and apply writes late.
void submitAndCancel(VirtualFleet &Fleet, Random &Source, int Number) {
  auto Job = chainJob("job" + std::to_string(Number), 1, 2);
  Fleet.Store.LostAnswerShare = draw(Source, 2) == 0 ? 0.5 : 0;
  Fleet.Store.ApplyLostWritesLate = true;
  Fleet.Store.LateWriteDelay = Millis(1000 + draw(Source, 5000));
  for (int Repeat = draw(Source, 3); Repeat >= 0; --Repeat)
    Fleet.Loop.after(Millis(draw(Source, 3000)), [&Fleet, &Source, Job] {
      Fleet.submit(draw(Source, 3), Job, Millis(300));
    });
  for (int Repeat = draw(Source, 3); Repeat > 0; --Repeat)
    Fleet.Loop.after(Millis(draw(Source, 4000)), [&Fleet, &Source, Job] {
      Fleet.cancel(draw(Source, 3), Job.Id);
    });
}

/// Kills an entry now and then, which restarts after up to 2.5 s.
void killSometimes(VirtualFleet &Fleet, Random &Source) {
  std::size_t Entry = draw(Source, 24);
  if (Entry >= Fleet.Entries.size() || !Fleet.Entries[Entry])
    return;
  Fleet.killEntry(Entry);
  Fleet.Loop.after(Millis(500 + draw(Source, 2000)), [&Fleet, Entry] {
    if (!Fleet.Entries[Entry])
      Fleet.startEntry(Entry);
  });
}

/// Checks the answers to the cancellations against what became of the jobs.
void requireTrueAnswers(const VirtualFleet &Fleet) {
  for (const auto &[Job, Answer] : Fleet.CancelAnswers) {
    INFO(Job.str());
    auto Status = Fleet.status(Job);
    REQUIRE_FALSE(Fleet.Invariants.isRunning(Job));
    if (std::holds_alternative<intake::NoSuchJob>(Answer)) {
      REQUIRE_FALSE(Status);
      REQUIRE(Fleet.Invariants.StartedJobs.count(Job) == 0);
      REQUIRE(Fleet.AcceptedJobs.count(Job) == 0);
    } else if (std::holds_alternative<intake::CancelAccepted>(Answer)) {
      REQUIRE(Status);
      REQUIRE((*Status == scheduling::JobStatus::Cancelled ||
               *Status == scheduling::JobStatus::Completed));
    }
  }
  for (const JobId &Job : Fleet.AcceptedJobs)
    REQUIRE(Fleet.status(Job));
}

} // namespace

// Guards against answers to cancellations that later writes make untrue, for
// cancellations before, during and after the write of their job.
TEST_CASE("random cancellations and late writes violate no answer") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    INFO("seed " << Seed);
    VirtualFleet Fleet(Seed, 3, 4);
    Random Source(Seed * 7919 + 1);
    Fleet.Loop.runFor(Millis(3000));
    for (int I = 0; I < 40; ++I) {
      submitAndCancel(Fleet, Source, I);
      killSometimes(Fleet, Source);
      Fleet.Loop.runFor(Millis(draw(Source, 600)));
    }
    Fleet.Store.LostAnswerShare = 0;
    Fleet.Loop.runFor(Millis(25000));
    requireNoViolations(Fleet);
    requireTrueAnswers(Fleet);
  }
}
