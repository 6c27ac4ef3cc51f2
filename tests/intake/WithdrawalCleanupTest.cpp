#include "daisyspool/intake/intake.h"

#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::intake;
using namespace daisyspool::testing;

namespace {

constexpr std::chrono::seconds Retention{120};
/// When a withdrawal is gone at the latest: one interval between two passes,
/// one between two noted versions, and the pass itself.
constexpr std::chrono::seconds LatestRemoval{120 + 60 + 10 + 5};

std::size_t withdrawnCount(const VirtualStore &Store) {
  std::size_t Result = 0;
  for (const std::string &Partition : intakePartitions()) {
    std::string From;
    for (bool More = true; More;) {
      rows::RowPage Page = Store.page({WithdrawnTable, Partition, From, {}});
      Result += Page.Rows.size();
      More = Page.Truncated;
      if (More)
        From = Page.Rows.back().Name.Key + '!';
    }
  }
  return Result;
}

std::string idOf(std::size_t Number) {
  std::string Text = std::to_string(Number);
  return std::string(16 - Text.size(), '0') + Text;
}

/// Cancels \p Count unknown ids at all entries in turn.
void cancelUnknown(VirtualFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    Fleet.cancel(I % Fleet.Entries.size(), JobId(idOf(I)));
    if (I % 50 == 49)
      Fleet.Loop.runFor(Millis(100));
  }
  Fleet.Loop.runFor(Millis(100));
}

} // namespace

// Guards against withdrawals that stay in the store for good, and against an
// id that its caller can never use again.
TEST_CASE("an id can be used again after its withdrawal has expired") {
  VirtualFleet Fleet(71, 2, 1);
  Fleet.Loop.runFor(Retention + std::chrono::seconds(20));
  Fleet.cancel(0, JobId("a"));
  Fleet.Loop.runFor(Millis(100));
  Fleet.submit(1, chainJob("a", 1, 1), Millis(200));
  Fleet.Loop.runFor(Retention - std::chrono::seconds(1));
  REQUIRE(
      std::holds_alternative<IdCancelled>(Fleet.SubmitAnswers.at(JobId("a"))));
  REQUIRE(withdrawnCount(Fleet.Store) == 1);
  Fleet.Loop.runFor(LatestRemoval - Retention);
  REQUIRE(withdrawnCount(Fleet.Store) == 0);
  Fleet.submit(1, chainJob("a", 1, 1), Millis(200));
  REQUIRE(Fleet.runUntilAll(scheduling::JobStatus::Completed,
                            std::chrono::seconds(5)));
  REQUIRE(Fleet.AcceptedJobs.count(JobId("a")) == 1);
}

// Guards against the removal of a withdrawal that a repeated cancellation has
// renewed: a write that was sent before it could still store the job.
TEST_CASE("a repeated cancellation renews the withdrawal") {
  VirtualFleet Fleet(72, 2, 1);
  Fleet.cancel(0, JobId("a"));
  Fleet.Loop.runFor(Retention);
  Fleet.cancel(1, JobId("a"));
  Fleet.Loop.runFor(Retention - std::chrono::seconds(1));
  REQUIRE(withdrawnCount(Fleet.Store) == 1);
  Fleet.Loop.runFor(LatestRemoval - Retention + std::chrono::seconds(1));
  REQUIRE(withdrawnCount(Fleet.Store) == 0);
}

// Guards against withdrawals that are never removed because the leaders change
// more often than a withdrawal is kept.
TEST_CASE("withdrawals are removed although leaders keep changing") {
  VirtualFleet Fleet(73, 3, 1);
  cancelUnknown(Fleet, 300);
  REQUIRE(withdrawnCount(Fleet.Store) == 300);
  // Restarted processes do not know how old the rows are; one stays.
  for (int I = 0; I < 4; ++I) {
    Fleet.Loop.runFor(std::chrono::seconds(50));
    std::size_t Restarted = I % 2;
    Fleet.killEntry(Restarted);
    Fleet.Loop.runFor(std::chrono::seconds(3));
    Fleet.startEntry(Restarted);
  }
  Fleet.killEntry(0);
  Fleet.killEntry(1);
  Fleet.Loop.runFor(std::chrono::seconds(65));
  REQUIRE(withdrawnCount(Fleet.Store) == 0);
}

// Load pattern: a client cancels thousands of ids that were never submitted.
// Guards against a leader or a takeover that has to read them, and against
// rows that are removed more slowly than they come.
TEST_CASE("thousands of cancelled unknown ids cost a leader nothing") {
  constexpr std::size_t Count = 10000;
  VirtualFleet Fleet(74, 2, 1);
  Fleet.Loop.runFor(Retention + std::chrono::seconds(10));
  TimePoint Began = Fleet.Loop.now();
  cancelUnknown(Fleet, Count);
  Duration Spent = Fleet.Loop.now() - Began;
  REQUIRE(Fleet.CancelAnswers.size() == Count);
  REQUIRE(withdrawnCount(Fleet.Store) == Count);

  std::size_t Reads = 0;
  Fleet.Store.OnRead = [&Reads](const rows::RowRange &Range) {
    Reads += Range.Table == WithdrawnTable ? 1 : 0;
  };
  Fleet.killEntry(Fleet.leader());
  Fleet.Loop.runFor(Millis(2500));
  REQUIRE(Fleet.leader() < 2);
  REQUIRE(Fleet.Entries[Fleet.leader()]->Leader.status().Leader.Term >
          Epoch(1));
  REQUIRE(Reads == 0);

  Fleet.Loop.runFor(LatestRemoval - Millis(2500));
  REQUIRE(withdrawnCount(Fleet.Store) < Count / 10);
  Fleet.Loop.runFor(Spent);
  Fleet.Loop.runFor(LatestRemoval - Retention);
  REQUIRE(withdrawnCount(Fleet.Store) == 0);
}
