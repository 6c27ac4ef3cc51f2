#include "daisyspool/intake/intake.h"

#include "fleet/VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::intake;
using namespace daisyspool::testing;

namespace {

struct Fixture {
  std::mt19937_64 Random{1};
  VirtualLoop Loop;
  VirtualStore Store{Loop, Random};
  AliveFlag Alive = std::make_shared<bool>(true);
  StoreConnection Port{Store, "p", Alive};
  JobIntake Intake{Loop, Loop, Port};
  /// The answer to the newest submission.
  std::optional<SubmitOutcome> Answer;
  std::string Newest;
  TimePoint AnsweredAt{};

  void submit(const std::string &Id) {
    Answer.reset();
    Newest = Id;
    Intake.submit(chainJob(Id, 1, 1), Millis(2500),
                  [this, Id](const SubmitOutcome &Outcome) {
                    if (Id != Newest)
                      return;
                    Answer = Outcome;
                    AnsweredAt = Loop.now();
                  });
  }

  bool stored(const std::string &Id) const {
    return !Store.page(singleRowRange(jobRow(JobId(Id)))).Rows.empty();
  }
};

} // namespace

// Guards against a second job for a repeated request.
TEST_CASE("a repeated submission is one job") {
  Fixture Setup;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  REQUIRE(Setup.Store.version() == rows::RowVersion(1));
}

// Guards against a caller that is kept until its deadline although the store
// surely did nothing.
TEST_CASE("a store that turns calls away is a quick and true refusal") {
  Fixture Setup;
  Setup.Store.Down = true;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(800));
  REQUIRE(std::holds_alternative<Refused>(*Setup.Answer));
  Setup.Store.Down = false;
  Setup.Loop.runFor(Millis(10000));
  REQUIRE_FALSE(Setup.stored("a"));
}

// Load pattern: the store falls silent for seconds and callers keep coming.
// Each submission that is sent may still be stored, so its caller can only be
// told so at the deadline. Guards against callers that are kept like that
// although an earlier call has shown the silence, and against a refusal that is
// not true.
TEST_CASE("while the store is silent new submissions are refused unsent") {
  Fixture Setup;
  Setup.Store.Silent = true;
  Setup.submit("first");
  Setup.Loop.runFor(Millis(900));
  REQUIRE_FALSE(Setup.Answer);
  Setup.submit("second");
  Setup.Loop.runFor(Millis(700));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Refused>(*Setup.Answer));
  Setup.Store.Silent = false;
  Setup.Loop.runFor(Millis(10000));
  REQUIRE_FALSE(Setup.stored("second"));
}

// Load pattern: the store falls silent for this entry alone. Guards against a
// caller that is kept until its deadline, or beyond it, while another entry
// could serve it.
TEST_CASE("a caller learns soon that the store does not answer") {
  Fixture Setup;
  Setup.Store.Silent = true;
  TimePoint Begun = Setup.Loop.now();
  Setup.submit("a");
  Setup.Loop.runFor(Millis(4000));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Undecided>(*Setup.Answer));
  REQUIRE(Setup.AnsweredAt - Begun <= Millis(1600));
}

// Guards against refusals that go on after the store has come back, and against
// a submission that waits although the store is heard again.
TEST_CASE("a submission that waits for a silent store goes on with it") {
  Fixture Setup;
  Setup.Store.Silent = true;
  Setup.submit("first");
  Setup.Loop.runFor(Millis(1100));
  Setup.submit("second");
  Setup.Store.Silent = false;
  Setup.Loop.runFor(Millis(500));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  Setup.submit("third");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
}

// Load pattern: a store that takes 400 ms for each call. Guards against
// slowness that is taken for silence.
TEST_CASE("a slow store is no reason to refuse") {
  Fixture Setup;
  Setup.Store.Delay = Millis(200);
  for (int I = 0; I < 6; ++I) {
    Setup.submit("job" + std::to_string(I));
    Setup.Loop.runFor(Millis(150));
  }
  Setup.Loop.runFor(Millis(1000));
  for (int I = 0; I < 6; ++I)
    REQUIRE(Setup.stored("job" + std::to_string(I)));
}

// Load pattern: a store that takes 0.7 s for a call and longer for those that
// queue (incident b357: 38 callers were told that the store did not answer
// while it was slow, and came again). Guards against bounds for a silent store
// that cut off a slow one.
TEST_CASE("the bounds for an answer follow a slow store") {
  Fixture Setup;
  Setup.Store.Delay = Millis(370);
  Setup.submit("a");
  Setup.Loop.runFor(Millis(900));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  Setup.Store.Delay = Millis(650);
  Setup.submit("b");
  Setup.Loop.runFor(Millis(800));
  Setup.submit("c");
  Setup.Loop.runFor(Millis(2400));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
}

// Guards against a refusal of a job whose write is applied seconds later.
TEST_CASE("a submission without an answer is never refused") {
  Fixture Setup;
  Setup.Store.LostAnswerShare = 1;
  Setup.Store.ApplyLostWritesLate = true;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(1500));
  Setup.Store.Down = true;
  Setup.Loop.runFor(Millis(3000));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Undecided>(*Setup.Answer));
}

// Guards against 410 for a job that exists, and against a cancellation of one
// that does not.
TEST_CASE("status and cancellation tell known from unknown jobs") {
  Fixture Setup;
  std::optional<StatusOutcome> Status;
  std::optional<CancelOutcome> Cancel;
  auto Ask = [&](const std::string &Id) {
    Setup.Intake.status(JobId(Id), Millis(1000),
                        [&](const StatusOutcome &What) { Status = What; });
    Setup.Intake.cancel(JobId(Id), Millis(1000),
                        [&](const CancelOutcome &What) { Cancel = What; });
    Setup.Loop.runFor(Millis(200));
  };
  Ask("none");
  REQUIRE(std::holds_alternative<NoSuchJob>(*Status));
  REQUIRE(std::holds_alternative<NoSuchJob>(*Cancel));
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  Ask("a");
  REQUIRE(std::get<KnownJob>(*Status).Status == scheduling::JobStatus::Queued);
  REQUIRE(std::holds_alternative<CancelAccepted>(*Cancel));
  Setup.Store.Down = true;
  Ask("a");
  REQUIRE(std::holds_alternative<StoreUnavailable>(*Status));
}
