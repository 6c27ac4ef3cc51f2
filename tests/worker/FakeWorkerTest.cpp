#include "support/FakeWorker.h"
#include "support/FakePlatform.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using Reason = WorkerRefused::Reason;

namespace {

const Resources Half{MilliCores(500), MebiBytes(500), Accelerators(0)};
const Resources Whole{MilliCores(1000), MebiBytes(1000), Accelerators(0)};
const Duration Lease = Millis(10000);

struct Fixture {
  ManualClock Time;
  FakePlatform Platform{Time};
  FakeObjects Objects{Platform};
  FakeWorker Vm{Whole, Time, Objects};

  static TaskStart task(const std::string &Id, std::uint64_t Attempt) {
    return {{TaskId(Id), AttemptNumber(Attempt)},
            "run_ms=5000",
            Half,
            std::nullopt};
  }

  WorkerTaskPhase phase(const std::string &Id) {
    for (const WorkerTask &Task : Vm.tasks())
      if (Task.Id.Task.str() == Id)
        return Task.Phase;
    FAIL("no task " << Id);
    return WorkerTaskPhase::Stopped;
  }

  template <typename Function> Reason refusal(Function Call) {
    try {
      Call();
    } catch (const WorkerRefused &Refusal) {
      return Refusal.reason();
    }
    FAIL("was not refused");
    return Reason::NoRoom;
  }
};

} // namespace

// Guards against a task that continues after its lease has expired, and against
// progress that is lost when the lease is renewed late.
TEST_CASE_METHOD(Fixture,
                 "a task makes progress only while its lease is valid") {
  Vm.run(task("t", 1), Millis(2000));
  Time.advance(Millis(60000));
  REQUIRE(phase("t") == WorkerTaskPhase::Suspended);

  Vm.renew(task("t", 1).Id, Lease);
  Time.advance(Millis(2999));
  REQUIRE(phase("t") == WorkerTaskPhase::Running);
  Time.advance(Millis(1));
  REQUIRE(phase("t") == WorkerTaskPhase::Finished);
}

// Guards against a worker that is overcommitted, that runs two attempts of one
// task, or that starts an attempt after its stop.
TEST_CASE_METHOD(
    Fixture,
    "a start without room or of a second or stopped attempt is refused") {
  Vm.run(task("a", 1), Lease);
  Vm.run(task("a", 1), Lease);
  Vm.run(task("b", 1), Lease);

  REQUIRE(refusal([&] { Vm.run(task("c", 1), Lease); }) == Reason::NoRoom);
  REQUIRE(refusal([&] { Vm.run(task("a", 2), Lease); }) ==
          Reason::AnotherAttempt);
  Vm.stop(task("d", 1).Id);
  REQUIRE(refusal([&] { Vm.run(task("d", 1), Lease); }) ==
          Reason::AttemptEnded);
  REQUIRE(Vm.tasks().size() == 2);
}

// Guards against a suspended task that loses its memory or its progress.
TEST_CASE_METHOD(
    Fixture, "a task is suspended at share zero and resumes at full share") {
  Vm.run(task("t", 1), Lease);
  Vm.throttle(task("t", 1).Id, Suspended);
  Time.advance(Millis(5000));
  REQUIRE(phase("t") == WorkerTaskPhase::Suspended);
  REQUIRE(Vm.usage().Tasks.at(0).Used ==
          Resources{MilliCores(0), MebiBytes(500), Accelerators(0)});
  REQUIRE(Vm.usage().Age >= Vm.UsageLag);

  Vm.throttle(task("t", 1).Id, FullShare);
  Vm.renew(task("t", 1).Id, Lease);
  Time.advance(Millis(5000));
  REQUIRE(phase("t") == WorkerTaskPhase::Finished);
}

// Guards against progress that is lost or repeated when a task is evicted.
TEST_CASE_METHOD(Fixture,
                 "a task resumes from its checkpoint on another worker") {
  Vm.run(task("t", 1), Lease);
  Time.advance(Millis(4000));
  Objects.Faults.Down = true;
  Vm.checkpoint(task("t", 1).Id, CheckpointId("bad"));
  Objects.Faults.Down = false;
  Vm.checkpoint(task("t", 1).Id, CheckpointId("good"));
  REQUIRE(Vm.tasks().at(0).FailedCheckpoint == CheckpointId("bad"));
  REQUIRE(Vm.tasks().at(0).LastCheckpoint == CheckpointId("good"));
  Vm.stop(task("t", 1).Id);

  FakeWorker Other(Whole, Time, Objects);
  TaskStart Next = task("t", 2);
  Next.ResumeFrom = CheckpointId("good");
  Other.run(Next, Lease);
  Time.advance(Millis(1000));
  REQUIRE(Other.tasks().at(0).Phase == WorkerTaskPhase::Finished);

  Next.ResumeFrom = CheckpointId("absent");
  REQUIRE(refusal([&] { Other.run(Next, Lease); }) ==
          Reason::UnknownCheckpoint);
}
