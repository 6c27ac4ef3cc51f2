#include "PlatformStandin.h"
#include "WorkerStandin.h"
#include "daisyspool/platform/S3Objects.h"
#include "daisyspool/worker/worker.h"
#include "support/StandinThread.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using Reason = WorkerRefused::Reason;

namespace {

const Resources Size{MilliCores(500), MebiBytes(200), Accelerators(1)};
const Resources Vm{MilliCores(1000), MebiBytes(1000), Accelerators(2)};
const Duration Lease = std::chrono::minutes(10);
const TaskAttempt First{TaskId("roster/1 \"a\""), AttemptNumber(1)};
const TaskStart Endless{First, "run_ms=600000", Size, std::nullopt};

struct Fixture {
  StandinThread<PlatformStandin> Platform{
      PlatformStandin::Options{{"127.0.0.1", 0}}};
  StandinThread<WorkerStandin> Standin{
      WorkerStandin::Options{{"127.0.0.1", 0}, Vm, Platform->endpoint()}};
  SystemClock Time;
  HttpWorker Client{{Standin->endpoint(), AmpleTime}, Time};
  HttpWorker ShortTimeoutClient{{Standin->endpoint(), Millis(200)}, Time};

  void setFaults(const nlohmann::json &Change) {
    switchFaults(Standin->endpoint(), Change);
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

  /// Waits until \p Predicate holds for the only task; fails after AmpleTime.
  template <typename Function> WorkerTask waitFor(Function Predicate) {
    auto End = std::chrono::steady_clock::now() + AmpleTime;
    while (std::chrono::steady_clock::now() < End) {
      auto Tasks = Client.tasks();
      if (Tasks.size() == 1 && Predicate(Tasks[0]))
        return Tasks[0];
      std::this_thread::sleep_for(Millis(5));
    }
    FAIL("the task did not reach the expected state");
    return {};
  }
};

} // namespace

// Guards against fields that are lost between the agent and the worker.
TEST_CASE_METHOD(Fixture, "a task is run, throttled, listed and stopped") {
  Client.run(Endless, Lease);
  Client.throttle(First, PerMille(250));

  auto Tasks = Client.tasks();
  REQUIRE(Tasks.size() == 1);
  REQUIRE(Tasks[0].Id == First);
  REQUIRE(Tasks[0].Phase == WorkerTaskPhase::Running);
  REQUIRE(Tasks[0].Share == PerMille(250));
  REQUIRE(Tasks[0].Size == Size);

  Client.throttle(First, Suspended);
  REQUIRE(Client.tasks().at(0).Phase == WorkerTaskPhase::Suspended);
  Client.stop(First);
  REQUIRE(Client.tasks().at(0).Phase == WorkerTaskPhase::Stopped);
  Client.acknowledge(First);
  REQUIRE(Client.tasks().empty());
  REQUIRE(refusal([&] { Client.run(Endless, Lease); }) == Reason::AttemptEnded);
}

// Guards against a checkpoint that is reported before it is stored, or that
// another worker cannot resume from.
TEST_CASE_METHOD(Fixture,
                 "a task resumes from a checkpoint in the object store") {
  TaskStart Short = Endless;
  Short.Command = "run_ms=1";
  Client.run(Endless, Lease);
  setFaults({{"fail_checkpoints", true}});
  Client.checkpoint(First, CheckpointId("c/0"));
  REQUIRE(Client.tasks().at(0).FailedCheckpoint == CheckpointId("c/0"));

  setFaults({{"fail_checkpoints", false}});
  Client.checkpoint(First, CheckpointId("c/1"));
  waitFor([](const WorkerTask &Task) {
    return Task.LastCheckpoint == CheckpointId("c/1");
  });
  S3Objects Objects({.Server = Platform->endpoint()}, Time);
  REQUIRE(Objects.get("c/1").has_value());

  Client.stop(First);
  Client.acknowledge(First);
  Short.Id.Attempt = AttemptNumber(2);
  Short.ResumeFrom = CheckpointId("c/absent");
  REQUIRE(refusal([&] { Client.run(Short, Lease); }) ==
          Reason::UnknownCheckpoint);
  Short.ResumeFrom = CheckpointId("c/1");
  Client.run(Short, Lease);
  waitFor([](const WorkerTask &Task) {
    return Task.Phase == WorkerTaskPhase::Finished;
  });
}

// Guards against a lease that counts from the arrival of a delayed call: the
// task would run here while another worker starts it.
TEST_CASE_METHOD(
    Fixture, "a start that arrives after its lease has expired is ignored") {
  ShortTimeoutClient.tasks();
  setFaults({{"slow_ms", 400}});
  REQUIRE_THROWS_AS(ShortTimeoutClient.run(Endless, Millis(300)),
                    WorkerUnavailable);

  // This call is delayed as long, so the start has been handled before it.
  REQUIRE(Client.tasks().empty());
}

// Guards against a restarted worker that accepts a lease end computed for its
// clock before the restart, which would change the length of the lease.
TEST_CASE_METHOD(
    Fixture, "a lease computed before the worker's restart is refused once") {
  Client.run(Endless, Lease);
  control(Standin->endpoint(), "/standin/crash", {});

  REQUIRE(refusal([&] { Client.run(Endless, Lease); }) == Reason::UnknownClock);
  Client.run(Endless, Lease);
  REQUIRE(Client.tasks().size() == 1);
}

// Guards against faults of a worker that crash or block the agent.
TEST_CASE_METHOD(Fixture, "faults of a worker are reported as typed errors") {
  setFaults({{"lose_answers", 1}});
  REQUIRE_THROWS_AS(Client.run(Endless, Lease), WorkerUnavailable);
  REQUIRE(Client.tasks().size() == 1);
  Client.run(Endless, Lease);

  setFaults({{"hang", true}});
  REQUIRE_THROWS_AS(ShortTimeoutClient.tasks(), WorkerUnavailable);
  setFaults({{"hang", false}});
  REQUIRE(ShortTimeoutClient.tasks().size() == 1);

  TaskStart Second = Endless;
  Second.Id.Task = TaskId("bad");
  setFaults({{"fail_starts", 1}});
  Client.run(Second, Lease);
  auto Tasks = Client.tasks();
  REQUIRE(Tasks.at(0).Phase == WorkerTaskPhase::Failed);
  REQUIRE(Tasks.at(0).ExitCode == 1);

  HttpWorker NotAWorker({Platform->endpoint(), AmpleTime}, Time);
  REQUIRE_THROWS_AS(NotAWorker.tasks(), WorkerProtocolError);
}

// Guards against usage that is reported as newer than its measurement.
TEST_CASE_METHOD(Fixture, "usage has the age of its measurement") {
  setFaults({{"usage_lag_ms", 50}});
  TaskStart Noisy = Endless;
  Noisy.Command = "run_ms=600000 used_milli_cores=900";
  Client.run(Noisy, Lease);

  WorkerUsage Usage = Client.usage();
  auto End = std::chrono::steady_clock::now() + AmpleTime;
  while (Usage.Tasks.empty() && std::chrono::steady_clock::now() < End)
    Usage = Client.usage();

  REQUIRE(Usage.Age >= Millis(49));
  REQUIRE(Usage.Tasks.at(0).Id == First);
  REQUIRE(Usage.Tasks.at(0).Used.Cpu == MilliCores(900));
}
