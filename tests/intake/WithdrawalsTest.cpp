#include "daisyspool/intake/intake.h"

#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::intake;
using namespace daisyspool::testing;

namespace {

/// Two entries without a leader, on one store.
struct Fixture {
  struct Entry {
    Entry(Fixture &Owner, std::string Name)
        : Connection(Owner.Store, std::move(Name), Owner.Alive),
          Intake(Owner.Loop, Owner.Loop, Connection, {}) {}

    StoreConnection Connection;
    JobIntake Intake;
  };

  void submit(std::size_t At, const std::string &Id) {
    Submitted.reset();
    Entries[At].Intake.submit(
        chainJob(Id, 1, 1), Millis(2500),
        [this](const SubmitOutcome &Outcome) { Submitted = Outcome; });
  }

  void cancel(std::size_t At, const std::string &Id) {
    Cancelled.reset();
    Entries[At].Intake.cancel(
        JobId(Id), Millis(2500),
        [this](const CancelOutcome &Outcome) { Cancelled = Outcome; });
  }

  void refuse(std::size_t At, const std::string &Id) {
    Refusal.reset();
    Entries[At].Intake.refuse(
        JobId(Id), Millis(2500),
        [this](const WithdrawOutcome &Outcome) { Refusal = Outcome; });
    Loop.runFor(Millis(300));
  }
  /// Whether the last refusal was recorded and is not a cancellation.
  bool isRefused() const {
    const auto *Known = Refusal ? std::get_if<Withdrawn>(&*Refusal) : nullptr;
    return Known && Known->Cause == WithdrawalCause::Refused;
  }

  /// Submits a job whose writes are applied after \p Delay.
  void submitLate(std::size_t At, const std::string &Id, Millis Delay) {
    Store.LostAnswerShare = 1;
    Store.ApplyLostWritesLate = true;
    Store.LateWriteDelay = Delay;
    submit(At, Id);
    Loop.runFor(Millis(2100));
    REQUIRE(std::holds_alternative<Undecided>(*Submitted));
    Store.LostAnswerShare = 0;
  }

  bool isStored(const std::string &Id) const {
    return !Store.page(singleRowRange(jobRow(JobId(Id)))).Rows.empty();
  }
  bool isWithdrawn(const std::string &Id) const {
    return !Store.page(singleRowRange(withdrawnRow(JobId(Id)))).Rows.empty();
  }

  std::mt19937_64 Random{1};
  VirtualLoop Loop;
  VirtualStore Store{Loop, Random};
  AliveFlag Alive = std::make_shared<bool>(true);
  std::array<Entry, 2> Entries{Entry(*this, "a"), Entry(*this, "b")};
  std::optional<SubmitOutcome> Submitted;
  std::optional<CancelOutcome> Cancelled;
  std::optional<WithdrawOutcome> Refusal;
};

} // namespace

// Guards against a job that is stored after its cancellation was answered with
// 410: the store executes the write of a submission seconds later.
TEST_CASE("a late write does not store a job that was cancelled") {
  for (int Delay : {2250, 3000, 6000}) {
    INFO("write after " << Delay << " ms");
    Fixture Setup;
    Setup.submitLate(0, "a", Millis(Delay));
    Setup.cancel(1, "a");
    Setup.Loop.runFor(Millis(100));
    REQUIRE(std::holds_alternative<NoSuchJob>(*Setup.Cancelled));
    Setup.Loop.runFor(Millis(20000));
    REQUIRE_FALSE(Setup.isStored("a"));
  }
}

// Guards against a second job under an id whose cancellation was answered: a
// submission that is overtaken by the cancellation, or repeated after it.
TEST_CASE("a submission after the cancellation of its id is not accepted") {
  Fixture Setup;
  Setup.cancel(0, "a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<NoSuchJob>(*Setup.Cancelled));
  for (std::size_t At : {0, 1}) {
    Setup.submit(At, "a");
    Setup.Loop.runFor(Millis(100));
    REQUIRE(std::holds_alternative<IdCancelled>(*Setup.Submitted));
  }
  REQUIRE_FALSE(Setup.isStored("a"));
  Setup.submit(0, "b");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Submitted));
}

// Guards against answers that contradict each other when a cancellation and
// the write of its job reach the store at any distance from each other.
TEST_CASE("a cancellation during the write of its job settles both") {
  for (int Offset = -60; Offset <= 60; Offset += 2) {
    INFO("cancelled " << Offset << " ms after the submission");
    Fixture Setup;
    Setup.Store.Delay = Millis(20);
    Setup.Loop.after(Millis(100), [&] { Setup.submit(0, "a"); });
    Setup.Loop.after(Millis(100 + Offset), [&] { Setup.cancel(1, "a"); });
    Setup.Loop.runFor(Millis(1000));
    REQUIRE(Setup.Submitted);
    REQUIRE(Setup.Cancelled);
    bool CancelledUnstored =
        std::holds_alternative<NoSuchJob>(*Setup.Cancelled);
    REQUIRE(std::holds_alternative<Accepted>(*Setup.Submitted) !=
            CancelledUnstored);
    REQUIRE(Setup.isStored("a") != CancelledUnstored);
    REQUIRE(Setup.isWithdrawn("a") == CancelledUnstored);
  }
}

// Guards against a cancellation that is taken back by the next one, and
// against one that is answered without a withdrawal of its own.
TEST_CASE("a repeated cancellation is answered like the first") {
  Fixture Setup;
  Setup.submitLate(0, "a", Millis(6000));
  for (std::size_t At : {1, 0, 1}) {
    rows::RowVersion Before = Setup.Store.version();
    Setup.cancel(At, "a");
    Setup.Loop.runFor(Millis(100));
    REQUIRE(std::holds_alternative<NoSuchJob>(*Setup.Cancelled));
    REQUIRE(Setup.Store.version() > Before);
  }
  Setup.Loop.runFor(Millis(20000));
  REQUIRE_FALSE(Setup.isStored("a"));
}

// Guards against a cancellation that is answered although its own write may
// have failed, and against one that withdraws the id of a stored job late.
TEST_CASE("a cancellation without an answer is not confirmed") {
  Fixture Setup;
  Setup.Store.LostAnswerShare = 1;
  Setup.Store.ApplyLostWritesLate = true;
  Setup.Store.LateWriteDelay = Millis(6000);
  Setup.cancel(0, "a");
  Setup.Loop.runFor(Millis(3000));
  REQUIRE(std::holds_alternative<StoreUnavailable>(*Setup.Cancelled));
  Setup.Store.LostAnswerShare = 0;
  Setup.submit(1, "a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Submitted));
  Setup.Loop.runFor(Millis(20000));
  REQUIRE_FALSE(Setup.isWithdrawn("a"));
  REQUIRE(Setup.isStored("a"));
}

// Guards against a refused job that is stored by a write sent before any of
// its refusals, and against a refusal that keeps a later submission out.
TEST_CASE("a refused id is stored only by a later submission") {
  Fixture Setup;
  for (int Round = 0; Round < 3; ++Round) {
    // The second and third submission replace a refusal.
    Setup.submitLate(0, "a", Millis(6000));
    Setup.refuse(1, "a");
    REQUIRE(Setup.isRefused());
    Setup.Loop.runFor(Millis(10000));
    REQUIRE_FALSE(Setup.isStored("a"));
  }
  Setup.submit(0, "a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Submitted));
  REQUIRE_FALSE(Setup.isWithdrawn("a"));
  Setup.refuse(1, "a");
  REQUIRE(std::holds_alternative<JobIsStored>(*Setup.Refusal));
}

// Guards against a cancellation that a refusal replaces, so that a later
// submission would be accepted, and against one that a refusal hides.
TEST_CASE("a refusal does not replace a cancellation") {
  Fixture Setup;
  Setup.refuse(0, "a");
  REQUIRE(Setup.isRefused());
  Setup.cancel(1, "a");
  Setup.Loop.runFor(Millis(100));
  Setup.refuse(0, "a");
  REQUIRE_FALSE(Setup.isRefused());
  Setup.submit(0, "a");
  Setup.Loop.runFor(Millis(200));
  REQUIRE(std::holds_alternative<IdCancelled>(*Setup.Submitted));
}

// Guards against a refusal that is reported although the store has not
// confirmed it.
TEST_CASE("a refusal without an answer is not confirmed") {
  Fixture Setup;
  Setup.Store.Silent = true;
  Setup.refuse(0, "a");
  Setup.Loop.runFor(Millis(2500));
  REQUIRE(std::holds_alternative<WithdrawalUnknown>(*Setup.Refusal));
}

// Load pattern: a client sends more cancellations than the store takes writes.
// Guards against repetitions that multiply them.
TEST_CASE("a withdrawal that the store turns away is seldom repeated") {
  Fixture Setup;
  Setup.Store.Down = true;
  Setup.refuse(0, "a");
  Setup.Loop.runFor(Millis(2500));
  REQUIRE(std::holds_alternative<WithdrawalUnknown>(*Setup.Refusal));
  REQUIRE(Setup.Store.RefusedCommits <= 5);
}
