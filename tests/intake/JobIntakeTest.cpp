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
  StoreConnection Connection{Store, "p", Alive};
  rows::ObservedStore Observed{Loop, Connection};
  JobIntake Intake{Loop, Loop, Observed, {}, &Observed.access()};
  /// The answer to the newest submission.
  std::optional<SubmitOutcome> Answer;
  std::string NewestId;
  TimePoint AnsweredAt{};

  void submit(const std::string &Id) { submit(chainJob(Id, 1, 1)); }
  void submit(const workload::JobRecord &Job) {
    std::string Id = Job.Id.str();
    Answer.reset();
    NewestId = Id;
    Intake.submit(Job, Millis(2500), [this, Id](const SubmitOutcome &Outcome) {
      if (Id != NewestId)
        return;
      Answer = Outcome;
      AnsweredAt = Loop.now();
    });
  }

  bool isStored(const std::string &Id) const {
    return !Store.page(singleRowRange(jobRow(JobId(Id)))).Rows.empty();
  }
};

} // namespace

// Guards against a repeated request that creates a second job.
TEST_CASE("a repeated submission does not create a second job") {
  Fixture Setup;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  REQUIRE(Setup.Store.version() == rows::RowVersion(1));
}

// Guards against a caller that waits until its deadline although the store
// certainly applied nothing, and against storing a refused job.
TEST_CASE("a submission is refused quickly if the store rejects calls") {
  Fixture Setup;
  Setup.Store.Down = true;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(800));
  REQUIRE(std::holds_alternative<Refused>(*Setup.Answer));
  Setup.Store.Down = false;
  Setup.Loop.runFor(Millis(10000));
  REQUIRE_FALSE(Setup.isStored("a"));
}

// Load pattern: the store stops answering for seconds while callers keep
// submitting. A submission that was sent may still be stored, so its caller can
// only be told at the deadline that the outcome is unknown. Guards against new
// callers that wait as long although an earlier call has shown the silence, and
// against refusing a job that is stored later.
TEST_CASE("submissions to a silent store are refused without a write") {
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
  REQUIRE_FALSE(Setup.isStored("second"));
}

// Load pattern: the store stops answering this entry alone. Guards against a
// caller that waits until its deadline or longer while another entry could
// serve it.
TEST_CASE("an unanswered submission is soon reported as undecided") {
  Fixture Setup;
  Setup.Store.Silent = true;
  TimePoint StartedAt = Setup.Loop.now();
  Setup.submit("a");
  Setup.Loop.runFor(Millis(4000));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Undecided>(*Setup.Answer));
  REQUIRE(Setup.AnsweredAt - StartedAt <= Millis(1600));
}

// Guards against refusals that continue after the store has recovered, and
// against a submission that still waits then.
TEST_CASE("a waiting submission continues when the store answers again") {
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
// treating a slow store as silent.
TEST_CASE("submissions to a slow store are not refused") {
  Fixture Setup;
  Setup.Store.Delay = Millis(200);
  for (int I = 0; I < 6; ++I) {
    Setup.submit("job" + std::to_string(I));
    Setup.Loop.runFor(Millis(150));
  }
  Setup.Loop.runFor(Millis(1000));
  for (int I = 0; I < 6; ++I)
    REQUIRE(Setup.isStored("job" + std::to_string(I)));
}

// Load pattern: a store that takes 0.7 s for a call and longer for queued ones
// (incident b357: 38 callers were told that the store did not answer while it
// was slow, and retried). Guards against timeouts for a silent store that cut
// off a slow one.
TEST_CASE("timeouts adapt to the response time of a slow store") {
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

// Guards against refusing a job whose write is applied seconds later.
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

// Guards against answering 410 for a job that exists, and against accepting the
// cancellation of one that does not.
TEST_CASE("status and cancellation distinguish known from unknown jobs") {
  Fixture Setup;
  std::optional<StatusOutcome> Status;
  std::optional<CancelOutcome> Cancel;
  auto QueryAndCancel = [&](const std::string &Id) {
    Setup.Intake.status(
        JobId(Id), Millis(1000),
        [&](const StatusOutcome &Outcome) { Status = Outcome; });
    Setup.Intake.cancel(
        JobId(Id), Millis(1000),
        [&](const CancelOutcome &Outcome) { Cancel = Outcome; });
    Setup.Loop.runFor(Millis(200));
  };
  QueryAndCancel("none");
  REQUIRE(std::holds_alternative<NoSuchJob>(*Status));
  REQUIRE(std::holds_alternative<NoSuchJob>(*Cancel));
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  QueryAndCancel("a");
  REQUIRE(std::get<KnownJob>(*Status).Status == scheduling::JobStatus::Queued);
  REQUIRE(std::holds_alternative<CancelAccepted>(*Cancel));
  Setup.Store.Down = true;
  QueryAndCancel("a");
  REQUIRE(std::holds_alternative<StoreUnavailable>(*Status));
}

// Guards against accepting a job that the store cannot hold, and against a
// caller that is told to repeat it.
TEST_CASE("a job that cannot be stored is refused at once with the reason") {
  Fixture Setup;
  auto Job = chainJob("a", 100, 1);
  for (auto &Step : Job.Definition.Steps)
    Step.Image = workload::ImageId(std::string(700, 'i'));
  Setup.submit(Job);
  REQUIRE(Setup.Answer);
  REQUIRE(std::get<Unstorable>(*Setup.Answer).Detail.find("65536") !=
          std::string::npos);
  REQUIRE(Setup.Store.version() == rows::RowVersion());

  Setup.Store.RejectedKey = "job-b";
  Setup.submit("b");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Unstorable>(*Setup.Answer));
  REQUIRE(Setup.Store.Rejections == 1);
}

// Load pattern: the store turns this entry away while callers keep coming.
// Guards against callers that wait for retries of which the earlier ones have
// shown that they fail, and against an entry that refuses callers after the
// store serves it again.
TEST_CASE("an entry that the store turns away refuses callers at once") {
  Fixture Setup;
  Setup.Store.RefusedProcesses.insert("p");
  Setup.submit("first");
  Setup.Loop.runFor(Millis(200));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Refused>(*Setup.Answer));
  REQUIRE(Setup.Intake.isStoreLost());
  for (const char *Id : {"second", "third"}) {
    Setup.submit(Id);
    Setup.Loop.runFor(Millis(20));
    REQUIRE(Setup.Answer);
    REQUIRE(std::holds_alternative<Refused>(*Setup.Answer));
  }

  Setup.Store.RefusedProcesses.clear();
  Setup.Loop.runFor(Millis(300));
  Setup.submit("fourth");
  Setup.Loop.runFor(Millis(100));
  REQUIRE(Setup.Answer);
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  REQUIRE_FALSE(Setup.Intake.isStoreLost());
  REQUIRE_FALSE(Setup.isStored("second"));
}

// Load pattern: the store no longer answers this entry while callers ask for
// the status of jobs. Guards against each of them waiting for its own timeout
// although another entry could answer.
TEST_CASE("a status request is not held while the store is lost") {
  Fixture Setup;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(100));
  Setup.Store.Silent = true;
  int Unavailable = 0;
  auto Query = [&] {
    Setup.Intake.status(
        JobId("a"), Millis(1000), [&](const StatusOutcome &Outcome) {
          Unavailable += std::holds_alternative<StoreUnavailable>(Outcome);
        });
  };
  Query();
  Setup.Loop.runFor(Millis(150));
  Query();
  Setup.Loop.runFor(Millis(1100));
  REQUIRE(Unavailable == 2);
  // One of them may probe the store.
  for (int I = 0; I < 3; ++I)
    Query();
  Setup.Loop.runFor(Millis(20));
  REQUIRE(Unavailable >= 4);
}

// Guards against a caller with little time left that is told that its job may
// be stored although the store has turned away all that was sent.
TEST_CASE("a submission that was never stored is refused at its deadline") {
  Fixture Setup;
  Setup.Store.RefusedProcesses.insert("p");
  std::optional<SubmitOutcome> Answer;
  Setup.Intake.submit(chainJob("a", 1, 1), Millis(100),
                      [&](const SubmitOutcome &Outcome) { Answer = Outcome; });
  Setup.Loop.runFor(Millis(200));
  REQUIRE(Answer);
  REQUIRE(std::holds_alternative<Refused>(*Answer));
}

// Guards against answering that a job may be stored, milliseconds after its
// arrival, although the store recovers while the caller still waits.
TEST_CASE("a submission cut off by a reset is settled when the store answers") {
  Fixture Setup;
  Setup.Store.Resets = true;
  Setup.submit("a");
  Setup.Loop.runFor(Millis(600));
  REQUIRE_FALSE(Setup.Answer);
  Setup.Store.Resets = false;
  Setup.Loop.runFor(Millis(300));
  REQUIRE(std::holds_alternative<Accepted>(*Setup.Answer));
  REQUIRE(Setup.isStored("a"));
}

// Guards against a caller that is held until its deadline, so that no time is
// left to ask another entry.
TEST_CASE("a submission to a store that keeps resetting is soon undecided") {
  Fixture Setup;
  Setup.Store.Resets = true;
  TimePoint Start = Setup.Loop.now();
  Setup.submit("a");
  Setup.Loop.runFor(Millis(2400));
  REQUIRE(std::holds_alternative<Undecided>(*Setup.Answer));
  REQUIRE(Setup.AnsweredAt - Start >= Millis(1500));
  REQUIRE(Setup.AnsweredAt - Start < Millis(1800));
}
