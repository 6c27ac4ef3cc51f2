#include "daisyspool/jobs/jobs.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

const TaskId Task("roster/0");
const AttemptNumber First(1);

struct Fixture {
  JobTable Table;

  Fixture() {
    apply(Table.submit({JobId("roster"),
                        CallerId("lead"),
                        TeamId("t"),
                        2,
                        {TaskSpec{}},
                        "digest"}));
  }

  void apply(const std::vector<Event> &Events) {
    for (const Event &Each : Events)
      Table.apply(Each);
  }
  void apply(const Decision &Result) {
    apply(std::get<Proceed>(Result).Events);
  }

  void run(std::uint64_t Attempt) {
    apply(Table.startAttempt(Task, VmId("vm"), Incarnation(1)));
    Table.apply(AttemptRunning{Task, AttemptNumber(Attempt)});
  }
};

} // namespace

// Guards against a caller's retry that starts a second job, and against a job
// that another caller learns about or replaces.
TEST_CASE("a job id belongs to one caller and one body") {
  Fixture Setup;
  JobSubmitted Again{JobId("roster"), CallerId("lead"), TeamId("t"), 2, {},
                     "digest"};
  REQUIRE(std::holds_alternative<AlreadyDone>(Setup.Table.submit(Again)));
  Again.BodyDigest = "changed";
  REQUIRE(std::holds_alternative<Conflict>(Setup.Table.submit(Again)));
  REQUIRE(std::holds_alternative<Conflict>(
      Setup.Table.cancel(JobId("roster"), CallerId("other"))));
}

// Guards against a failing task that is restarted forever.
TEST_CASE("a task ends when its failed and lost attempts reach the limit") {
  Fixture Setup;
  Setup.run(1);
  Setup.apply(Setup.Table.endAttempt(Task, First, EndReason::Failed));
  REQUIRE(Setup.Table.waiting().count(Task) == 1);
  Setup.run(2);
  Setup.apply(Setup.Table.endAttempt(Task, AttemptNumber(2), EndReason::Lost));
  REQUIRE(Setup.Table.task(Task)->Phase == TaskPhase::Ended);
  REQUIRE(Setup.Table.task(Task)->Outcome == TaskOutcome::AttemptsExhausted);
}

// Guards against refusals and evictions that use up a task's attempts.
TEST_CASE("refusals and evictions do not count as failures") {
  Fixture Setup;
  for (std::uint64_t Attempt = 1; Attempt <= 4; ++Attempt) {
    Setup.run(Attempt);
    Setup.apply(Setup.Table.endAttempt(Task, AttemptNumber(Attempt),
                                       Attempt % 2 == 0 ? EndReason::Evicted
                                                        : EndReason::Refused));
  }
  REQUIRE(Setup.Table.waiting().count(Task) == 1);
}

// Guards against a cancelled task that is restarted because its attempt ended
// for another reason than the cancellation.
TEST_CASE("no attempt follows one that ends after a cancellation") {
  const EndReason Reason = GENERATE(EndReason::Cancelled, EndReason::Lost,
                                    EndReason::Refused, EndReason::Evicted);
  Fixture Setup;
  Setup.run(1);
  Setup.apply(Setup.Table.cancel(JobId("roster"), CallerId("lead")));
  REQUIRE_FALSE(Setup.Table.mayEvict(Task));
  Setup.apply(Setup.Table.endAttempt(Task, First, Reason));
  REQUIRE(Setup.Table.task(Task)->Outcome == TaskOutcome::Cancelled);
}

// Guards against an owner whose memory grows with every job and request that
// ever ended, and against a retired id that runs again.
TEST_CASE("the id of a retired job or request cannot be used again") {
  Fixture Setup;
  const RequestClaimed Claim{
      RequestId("r"), CallerId("lead"), ServiceId("s"), "d", {}};
  Setup.Table.apply(Claim);
  REQUIRE_THROWS_AS(Setup.Table.apply(Retired{{}, {Claim.Request}}),
                    InvalidEvent);
  REQUIRE_THROWS_AS(Setup.Table.apply(Retired{{JobId("roster")}, {}}),
                    InvalidEvent);

  Setup.Table.apply(
      RequestEnded{Claim.Request, RequestOutcome::Answered, 200, "answer"});
  Setup.apply(Setup.Table.cancel(JobId("roster"), CallerId("lead")));
  Setup.Table.apply(Setup.Table.retirable());
  REQUIRE(Setup.Table.task(Task) == nullptr);
  REQUIRE(Setup.Table.request(Claim.Request)->End.Body.empty());
  REQUIRE(std::holds_alternative<AlreadyDone>(Setup.Table.claim(Claim)));
  REQUIRE(std::holds_alternative<AlreadyDone>(
      Setup.Table.cancel(JobId("roster"), CallerId("lead"))));
  REQUIRE(Setup.Table.retirable().Jobs.empty());
}

// Guards against replaying a log whose events contradict each other.
TEST_CASE("an event that contradicts the state is rejected") {
  Fixture Setup;
  REQUIRE_THROWS_AS(Setup.Table.apply(AttemptRunning{Task, First}),
                    InvalidEvent);
  REQUIRE_THROWS_AS(Setup.Table.apply(AttemptIntended{
                        Task, AttemptNumber(2), VmId(), Incarnation(), {}}),
                    InvalidEvent);
  REQUIRE_THROWS_AS(Setup.Table.apply(RequestEnded{}), InvalidEvent);
}

// Guards against a snapshot or an event codec that loses part of the state.
TEST_CASE("snapshots and encoded events are restored unchanged") {
  Fixture Setup;
  Setup.run(1);
  Setup.Table.apply(CheckpointTaken{Task, First, CheckpointId("c"), 1});
  Setup.Table.apply(RequestClaimed{RequestId("r"),
                                   CallerId("lead"),
                                   ServiceId("s"),
                                   "d",
                                   {VmId("vm"), Incarnation(3), Millis(5)}});
  JobTable Copy;
  Copy.restore(Setup.Table.snapshot());
  REQUIRE(Copy.snapshot() == Setup.Table.snapshot());
  REQUIRE(Copy.live() == Setup.Table.live());
  REQUIRE(Copy.unsettled() == Setup.Table.unsettled());

  const std::vector<Event> Events{
      RequestsServed{{ServedRequest{RequestId("fit"), CallerId("lead"),
                                    ServiceId("s"), VmId("vm"), 1, 2, 200}}},
      TaskEnded{Task, TaskOutcome::Unrunnable}};
  REQUIRE(encodeEvents(decodeEvents(encodeEvents(Events))) ==
          encodeEvents(Events));
  REQUIRE_THROWS_AS(decodeEvents("\x91\x92\x63\x90"), InvalidEvent);
  REQUIRE_THROWS_AS(Copy.restore("junk"), InvalidEvent);
}
