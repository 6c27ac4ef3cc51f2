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
  HttpWorker Hasty{{Standin->endpoint(), Millis(200)}, Time};

  void faults(const nlohmann::json &Change) {
    switchFaults(Standin->endpoint(), Change);
  }

  template <typename Function> Reason refusal(Function Act) {
    try {
      Act();
    } catch (const WorkerRefused &Refused) {
      return Refused.reason();
    }
    FAIL("was not refused");
    return Reason::NoRoom;
  }

  /// Waits until \p Holds for the only task; fails after ample time.
  template <typename Function> WorkerTask waitFor(Function Holds) {
    auto End = std::chrono::steady_clock::now() + AmpleTime;
    while (std::chrono::steady_clock::now() < End) {
      auto Tasks = Client.tasks();
      if (Tasks.size() == 1 && Holds(Tasks[0]))
        return Tasks[0];
      std::this_thread::sleep_for(Millis(5));
    }
    FAIL("task did not get there");
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
TEST_CASE_METHOD(Fixture, "checkpoints go through the object store") {
  TaskStart Short = Endless;
  Short.Command = "run_ms=1";
  Client.run(Endless, Lease);
  faults({{"fail_checkpoints", true}});
  Client.checkpoint(First, CheckpointId("c/0"));
  REQUIRE(Client.tasks().at(0).FailedCheckpoint == CheckpointId("c/0"));

  faults({{"fail_checkpoints", false}});
  Client.checkpoint(First, CheckpointId("c/1"));
  waitFor([](const WorkerTask &Each) {
    return Each.LastCheckpoint == CheckpointId("c/1");
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
  waitFor([](const WorkerTask &Each) {
    return Each.Phase == WorkerTaskPhase::Finished;
  });
}

// Guards against a lease that counts from the arrival of a late call: the task
// would run here while another worker starts it.
TEST_CASE_METHOD(Fixture, "a start that arrives after its lease does nothing") {
  Hasty.tasks();
  faults({{"slow_ms", 400}});
  REQUIRE_THROWS_AS(Hasty.run(Endless, Millis(300)), WorkerUnavailable);

  // This call waits as long, so the start has been handled before it.
  REQUIRE(Client.tasks().empty());
}

// Guards against a restart of the worker that gives old leases a new length.
TEST_CASE_METHOD(Fixture, "a lease of an earlier worker is refused once") {
  Client.run(Endless, Lease);
  control(Standin->endpoint(), "/standin/crash", {});

  REQUIRE(refusal([&] { Client.run(Endless, Lease); }) == Reason::UnknownClock);
  Client.run(Endless, Lease);
  REQUIRE(Client.tasks().size() == 1);
}

// Guards against faults of a worker that crash or block the agent.
TEST_CASE_METHOD(Fixture, "faults of a worker have their own types") {
  faults({{"lose_answers", 1}});
  REQUIRE_THROWS_AS(Client.run(Endless, Lease), WorkerUnavailable);
  REQUIRE(Client.tasks().size() == 1);
  Client.run(Endless, Lease);

  faults({{"hang", true}});
  REQUIRE_THROWS_AS(Hasty.tasks(), WorkerUnavailable);
  faults({{"hang", false}});
  REQUIRE(Hasty.tasks().size() == 1);

  TaskStart Second = Endless;
  Second.Id.Task = TaskId("bad");
  faults({{"fail_starts", 1}});
  Client.run(Second, Lease);
  auto Tasks = Client.tasks();
  REQUIRE(Tasks.at(0).Phase == WorkerTaskPhase::Failed);
  REQUIRE(Tasks.at(0).ExitCode == 1);

  HttpWorker NotAWorker({Platform->endpoint(), AmpleTime}, Time);
  REQUIRE_THROWS_AS(NotAWorker.tasks(), WorkerProtocolError);
}

// Guards against usage that is shown as newer than it is.
TEST_CASE_METHOD(Fixture, "usage has the age of its measurement") {
  faults({{"usage_lag_ms", 50}});
  TaskStart Noisy = Endless;
  Noisy.Command = "run_ms=600000 used_milli_cores=900";
  Client.run(Noisy, Lease);

  WorkerUsage Seen = Client.usage();
  auto End = std::chrono::steady_clock::now() + AmpleTime;
  while (Seen.Tasks.empty() && std::chrono::steady_clock::now() < End)
    Seen = Client.usage();

  REQUIRE(Seen.Age >= Millis(49));
  REQUIRE(Seen.Tasks.at(0).Id == First);
  REQUIRE(Seen.Tasks.at(0).Used.Cpu == MilliCores(900));
}
