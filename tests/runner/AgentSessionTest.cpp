#include "runner/AgentFixture.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;
using Fixture = daisyspool::testing::AgentFixture;

// Guards against a stop that is never sent, as the worker declined the start
// before it: the leader waits for its outcome for good.
TEST_CASE("a stop during a start that is declined as old is carried out") {
  Fixture Setup;
  Setup.follow(Millis(7000));
  Setup.Worker.StartAnswer = StartRefused{RefusalReason::Old};
  Setup.sync({Setup.order()}, {});
  Setup.Loop.runFor(Millis(5));
  Setup.sync({}, {Setup.Run});
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Worker.Stops >= 1);
  REQUIRE(Setup.Newest.Starting.empty());
  REQUIRE(Setup.Newest.Refused.size() == 1);
}

// Guards against relying on a stop that the worker accepted but that had no
// effect.
TEST_CASE("a stop is repeated while the worker lists the run") {
  Fixture Setup;
  Setup.follow(Millis(1000));
  Setup.Worker.Listing.Running = {{Setup.Run, "", 100, 0}};
  Setup.sync({}, {Setup.Run});
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Worker.Stops >= 2);
}

// Guards against two runs of a task: a start that the former agent process sent
// is carried out after its successor reported the run as refused.
TEST_CASE("a new agent process refuses a run only after a stop") {
  Fixture Setup;
  Setup.Worker.StartAnswer = WorkerBusy{};
  Setup.follow(Millis(1000));
  Setup.sync({Setup.order()}, {});
  Setup.follow(Millis(1500));
  REQUIRE(Setup.Worker.Stops >= 1);
  REQUIRE(Setup.Newest.Refused.size() == 1);
}

// Guards against two runs of a task: the first start got no answer and is
// carried out after the worker declined its repetition.
TEST_CASE("a declined repetition of an unanswered start is stopped") {
  Fixture Setup;
  Setup.follow(Millis(7000));
  Setup.Worker.StartAnswer = NoWorkerAnswer{"lost"};
  Setup.sync({Setup.order()}, {});
  Setup.Loop.runFor(Millis(30));
  Setup.Worker.StartAnswer = StartRefused{RefusalReason::NoRoom};
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Worker.Stops >= 1);
  REQUIRE(Setup.Newest.Refused.size() == 1);
}
