#include "daisyspool/commitments/commitments.h"
#include "daisyspool/journal/Lease.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

constexpr Duration Lease = Millis(10'000);
const VmId Vm("vm");

struct Fixture {
  CommitmentTable Commitments{
      Vm,
      Incarnation(1),
      {MilliCores(1000), MebiBytes(100), Accelerators(1)},
      Lease};
  TimePoint Now{Millis(100'000)};

  StartOrder order(const char *Task, std::uint64_t Attempt,
                   std::int64_t Cpu) const {
    StartOrder Result;
    Result.OwnerEpoch = Epoch(5);
    Result.Task = TaskId(Task);
    Result.Attempt = AttemptNumber(Attempt);
    Result.Grant = {Vm, Incarnation(1), Now.time_since_epoch()};
    Result.Need.Cpu = MilliCores(Cpu);
    return Result;
  }

  std::optional<Refusal> commit(const StartOrder &Order) {
    const auto Result = Commitments.commit(Order, Now);
    const Refusal *Reason = std::get_if<Refusal>(&Result);
    return Reason ? std::optional(*Reason) : std::nullopt;
  }
};

} // namespace

// Guards against a task that runs in two places: with clocks that drift by 5%
// in opposite directions, a holder could outlast the candidate's wait.
TEST_CASE("a holder stops before the candidate's wait under 5% drift") {
  REQUIRE(holderTime(Lease) * 100 / 95 < takeoverWait(Lease) * 100 / 105);
}

// Guards against a repeat of a refused order that starts when there is room.
TEST_CASE("an order that does not fit is refused for good") {
  Fixture Setup;
  REQUIRE_FALSE(Setup.commit(Setup.order("a", 1, 700)));
  REQUIRE(Setup.commit(Setup.order("b", 1, 400)) == Refusal::NoRoom);
  REQUIRE(Setup.commit(Setup.order("c", 1, -1)) == Refusal::NoRoom);

  Setup.Commitments.stop({{}, Epoch(5), TaskId("a"), AttemptNumber(1), Vm},
                         Setup.Now);
  REQUIRE(Setup.Commitments.committed() == Resources{});
  REQUIRE(Setup.commit(Setup.order("b", 1, 400)) == Refusal::AttemptOver);
  REQUIRE_FALSE(Setup.commit(Setup.order("b", 2, 400)));
}

// Guards against starts by orders that come from a former owner, are meant for
// another agent process, or were delayed for longer than a lease.
TEST_CASE("stale orders are refused") {
  Fixture Setup;
  StartOrder Old = Setup.order("a", 1, 1);
  REQUIRE_FALSE(Setup.commit(Setup.order("x", 1, 1)));
  Old.OwnerEpoch = Epoch(4);
  REQUIRE(Setup.commit(Old) == Refusal::StaleEpoch);
  Old = Setup.order("b", 1, 1);
  Old.Grant.Agent = Incarnation(0);
  REQUIRE(Setup.commit(Old) == Refusal::OtherIncarnation);
  Old = Setup.order("c", 1, 1);
  Setup.Now += Lease;
  REQUIRE(Setup.commit(Old) == Refusal::StaleGrant);
}

// Guards against a stop that overtakes its start, after which the start would
// run a cancelled task.
TEST_CASE("a stop prevents the start of an attempt that has not arrived") {
  Fixture Setup;
  REQUIRE(Setup.Commitments.stop(
      {{}, Epoch(5), TaskId("a"), AttemptNumber(1), Vm}, Setup.Now));
  REQUIRE(Setup.commit(Setup.order("a", 1, 1)) == Refusal::AttemptOver);
}

// Guards against a late renewal that extends a lease beyond the owner's wait,
// and against a suspension that loses the task.
TEST_CASE(
    "a lease counts from the renewal request, and its end suspends the task") {
  Fixture Setup;
  REQUIRE_FALSE(Setup.commit(Setup.order("a", 1, 1)));
  RenewalReply Reply{{},
                     Epoch(5),
                     Setup.Commitments.renewal({}, Setup.Now).Sender,
                     {{TaskId("a"), AttemptNumber(1), RenewalDecision::Keep}}};
  Setup.Now += Lease;
  REQUIRE(Setup.Commitments.expire(Setup.Now).size() == 1);
  REQUIRE(Setup.Commitments.onReply(Reply, Setup.Now).Renewed.empty());
  REQUIRE(Setup.Commitments.committed().Cpu == MilliCores(1));

  Reply.Sender = Setup.Commitments.renewal({}, Setup.Now).Sender;
  REQUIRE(Setup.Commitments.onReply(Reply, Setup.Now).Renewed.size() == 1);
  REQUIRE(Setup.Commitments.expiry(TaskId("a")) ==
          Setup.Now + holderTime(Lease));
}

// Guards against a request that is refused as not run and then runs, and
// against an answer that is lost with its message.
TEST_CASE("a request runs once and its outcome is kept") {
  const TimePoint Now{Millis(100'000)};
  RequestLedger Ledger(Vm, Incarnation(1));
  const AgentGrant Grant{Vm, Incarnation(1), Now.time_since_epoch()};
  const RunOrder First{{}, RequestId("r"), Grant, {}, "body"};
  REQUIRE_FALSE(Ledger.admit(First, Now));
  REQUIRE(Ledger.admit(First, Now)->State == RunState::Running);
  Ledger.finish(First.Request, RunState::Answered, 200, "answer", Now);
  REQUIRE(Ledger.query({{}, First.Request, Grant}, Now).Body == "answer");

  const RunOrder Late{{}, RequestId("late"), Grant, {}, "body"};
  REQUIRE(Ledger.query({{}, Late.Request, Grant}, Now).State ==
          RunState::NotRun);
  REQUIRE(Ledger.admit(Late, Now)->State == RunState::NotRun);
  REQUIRE(Ledger.query({{}, RequestId("old"), {Vm, Incarnation(0), {}}}, Now)
              .State == RunState::Unknown);
}
