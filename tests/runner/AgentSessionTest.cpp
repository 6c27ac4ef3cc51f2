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

// Guards against two runs of each task on a VM: a heartbeat of another program
// names a worker that started later, and the runs of the worker that is there
// are reported as ended.
TEST_CASE("an announcement of another worker ends no runs") {
  Fixture Setup;
  Setup.Worker.Listing.Running = {{Setup.Run, "", 50, 0}};
  Setup.follow(Millis(1000));
  for (const char *Id : {"other", "w"}) {
    INFO(Id);
    Setup.Session.announce(Fixture::announcement(Id, 9, 1));
    Setup.follow(Millis(1000));
    REQUIRE(Setup.Newest.Worker);
    REQUIRE(Setup.Newest.Worker->Id == TargetId("w"));
    REQUIRE(Setup.Newest.Worker->Life == WorkerLife(1));
    REQUIRE(Setup.Newest.Running.size() == 1);
  }
}

// Guards against a new agent process that takes the first heartbeat for its
// worker's, whoever sent it.
TEST_CASE("an unknown worker is reported only once it has confirmed its life") {
  Fixture Setup;
  Setup.Worker.Id = TargetId("v");
  Setup.follow(Millis(500));
  REQUIRE_FALSE(Setup.Newest.Worker);
  Setup.Session.announce(Fixture::announcement("v", 1, 1));
  Setup.follow(Millis(500));
  REQUIRE(Setup.Newest.Worker);
  REQUIRE(Setup.Newest.Worker->Id == TargetId("v"));
}

// Guards against waiting for the next hold, seconds behind a worker that went
// down, before the runs of its earlier life are reported as ended.
TEST_CASE("an announced new life is reported once the worker confirms it") {
  Fixture Setup;
  Setup.follow(Millis(1000));
  Setup.Worker.Listing.Life = WorkerLife(2);
  Setup.Session.announce(Fixture::announcement("w", 2, 1));
  Setup.follow(Millis(200));
  REQUIRE(Setup.Newest.Worker);
  REQUIRE(Setup.Newest.Worker->Life == WorkerLife(2));
}

// Guards against another program's heartbeats that take all connections to the
// worker, whose lease would lapse.
TEST_CASE("few announcements are confirmed at the same time") {
  Fixture Setup;
  Setup.follow(Millis(1000));
  std::size_t Before = Setup.Worker.Holds;
  for (std::uint64_t Life = 10; Life < 100; ++Life)
    Setup.Session.announce(Fixture::announcement("other", Life, 1));
  REQUIRE(Setup.Worker.Holds <= Before + 2);
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Newest.Worker);
}

// Guards against a heartbeat of another program that names the right worker and
// moves it to a service of which it runs no tasks.
TEST_CASE("a worker keeps its service for its whole life") {
  Fixture Setup;
  Setup.follow(Millis(1000));
  auto Odd = Fixture::announcement("w", 1, 100);
  Odd.Worker.Service = ServiceId("listenroom");
  Setup.Session.announce(Odd);
  Setup.Session.announce(Fixture::announcement("w", 1, 2));
  Setup.follow(Millis(500));
  REQUIRE(Setup.Newest.Worker->Service == ServiceId("service"));
}

// Guards against a delayed notice of an earlier life: all lasting tasks of the
// new life under the same id would be moved.
TEST_CASE("the departure of an earlier life is ignored") {
  Fixture Setup;
  Setup.follow(Millis(1000));
  Setup.Session.leave({TargetId("w"), WorkerLife(7)});
  Setup.Session.leave({TargetId("other"), WorkerLife(1)});
  Setup.follow(Millis(500));
  REQUIRE_FALSE(Setup.Newest.Worker->Draining);
  Setup.Session.leave({TargetId("w"), std::nullopt});
  Setup.follow(Millis(500));
  REQUIRE(Setup.Newest.Worker->Draining);
}

namespace {

/// Lists \p Setup's run as one of the ends, with room for more.
void listAsEnded(Fixture &Setup, EndCause Cause) {
  Setup.Worker.Listing.Running.clear();
  Setup.Worker.Listing.Ended = {{EndNumber(1), Setup.Run, Cause, ""}};
  Setup.Worker.Listing.EndsTruncated = false;
}

} // namespace

// Guards against a second run of a task that is done: its end has no place in
// the worker's listing, and the agent reports the run as one that never ran.
TEST_CASE("an order is not refused while the worker's ends are truncated") {
  enum class Cause { StartIsOld, Stop, Draining };
  for (Cause Why : {Cause::StartIsOld, Cause::Stop, Cause::Draining}) {
    INFO("cause " << static_cast<int>(Why));
    Fixture Setup;
    Setup.follow(Millis(7000));
    Setup.Worker.Listing.EndsTruncated = true;
    Setup.Worker.StartAnswer = StartRefused{RefusalReason::Old};
    Setup.follow(Millis(1000));
    if (Why == Cause::Draining) {
      auto Draining = Fixture::announcement("w", 1, 2);
      Draining.Worker.Draining = true;
      Setup.Session.announce(Draining);
    }
    if (Why == Cause::Stop)
      Setup.sync({}, {Setup.Run});
    else
      Setup.sync({Setup.order()}, {});
    Setup.follow(Millis(3000));
    REQUIRE(Setup.Newest.Refused.empty());
    REQUIRE(Setup.Newest.Starting == std::vector<RunName>{Setup.Run});

    listAsEnded(Setup, EndCause::Done);
    Setup.follow(Millis(1000));
    REQUIRE(Setup.Newest.Refused.empty());
    REQUIRE(Setup.Newest.Starting.empty());
    REQUIRE(Setup.Newest.Ended.size() == 1);
  }
}

// Guards against an order that stays unsettled for good after the worker's ends
// were truncated once.
TEST_CASE("an order is settled by the first listing with all ends") {
  for (bool Stopped : {false, true}) {
    Fixture Setup;
    Setup.follow(Millis(7000));
    Setup.Worker.Listing.EndsTruncated = true;
    Setup.Worker.StartAnswer = StartRefused{RefusalReason::Old};
    if (Stopped)
      Setup.sync({}, {Setup.Run});
    else
      Setup.sync({Setup.order()}, {});
    Setup.follow(Millis(1000));
    REQUIRE(Setup.Newest.Refused.empty());
    Setup.Worker.Listing.EndsTruncated = false;
    Setup.follow(Millis(1000));
    REQUIRE(Setup.Newest.Refused.size() == 1);
    REQUIRE(Setup.Newest.Starting.empty());
  }
}

// Guards against a leader that sends the start order of a run again, as its end
// has no place in the worker's listing.
TEST_CASE("a run that leaves a truncated listing is reported until its end") {
  Fixture Setup;
  Setup.Worker.Listing.Running = {{Setup.Run, "", 50, 0}};
  Setup.follow(Millis(1000));
  Setup.Worker.Listing.Running.clear();
  Setup.Worker.Listing.EndsTruncated = true;
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Newest.Running.empty());
  REQUIRE(Setup.Newest.Starting == std::vector<RunName>{Setup.Run});

  listAsEnded(Setup, EndCause::Done);
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Newest.Starting.empty());
  REQUIRE(Setup.Newest.Ended.size() == 1);
}

// Guards against a second run of a task: its refusal was forgotten before the
// leader had seen it, and the leader's repeated order starts the run after it
// was started elsewhere.
TEST_CASE("no refusal is forgotten before the leader has seen it") {
  constexpr std::uint32_t Count = 3000;
  Fixture Setup;
  Setup.follow(Millis(7000));
  Setup.Worker.StartAnswer = StartRefused{RefusalReason::NoRoom};
  std::vector<StartOrder> Starts(Count, Setup.order());
  for (std::uint32_t I = 0; I < Count; ++I)
    Starts[I].Name.Task.Index = I;
  Setup.sync(Starts, {});
  // No sync acknowledges a refusal.
  Setup.follow(Millis(3000));
  REQUIRE(Setup.Newest.Refused.size() == Count);

  Setup.Worker.StartAnswer = Started{};
  std::size_t Before = Setup.Worker.Starts;
  Setup.sync(Starts, {});
  Setup.Loop.runFor(Millis(100));
  REQUIRE(Setup.Worker.Starts == Before);
}

// Guards against orders that find no connection to the worker: they are taken
// for unanswered, repeated at random and ruled out by stops, and the orders of
// other jobs are late beside them.
TEST_CASE("hundreds of orders are sent as the worker answers") {
  constexpr std::uint32_t Count = 600;
  Fixture Setup;
  Setup.Worker.Connections = 16;
  Setup.follow(Millis(7000));
  std::vector<StartOrder> Starts(Count, Setup.order());
  std::vector<RunName> Stops;
  for (std::uint32_t I = 0; I < Count; ++I) {
    Starts[I].Name.Task.Index = I;
    Stops.push_back(Starts[I].Name);
  }
  Setup.sync(Starts, {});
  Setup.follow(Millis(2000));
  REQUIRE(Setup.Worker.Starts == Count);
  REQUIRE(Setup.Worker.Stops == 0);
  REQUIRE(Setup.Newest.Refused.empty());

  Setup.sync({}, Stops);
  Setup.follow(Millis(300));
  REQUIRE(Setup.Worker.Stops == Count);
}

// Guards against a stop that waits behind all starts of a large job.
TEST_CASE("a stop is sent before the starts that wait") {
  Fixture Setup;
  Setup.follow(Millis(7000));
  std::vector<StartOrder> Starts(100, Setup.order());
  for (std::uint32_t I = 0; I < Starts.size(); ++I)
    Starts[I].Name.Task.Index = I + 1;
  Setup.Worker.Listing.Running = {{Setup.Run, "", 50, 0}};
  Setup.follow(Millis(500));
  Setup.sync(Starts, {});
  Setup.sync({}, {Setup.Run});
  Setup.Loop.runFor(Millis(30));
  REQUIRE(Setup.Worker.Stops == 1);
  REQUIRE(Setup.Worker.Starts < 50);
}

// Guards against starts that an agent keeps for longer than an evacuation may
// take, after its leader has died.
TEST_CASE("an agent without a leader sends no start after 1.5 s") {
  Fixture Setup;
  Setup.follow(Millis(7000));
  Setup.Worker.StartAnswer = NoWorkerAnswer{"lost"};
  std::vector<StartOrder> Orders(40, Setup.order());
  for (std::uint32_t I = 0; I < Orders.size(); ++I)
    Orders[I].Name.Task.Index = I;
  Setup.sync(Orders, {});
  Setup.Loop.runFor(Millis(1500));
  std::size_t Sent = Setup.Worker.Starts;
  REQUIRE(Sent >= Orders.size());
  Setup.Loop.runFor(Millis(6000));
  REQUIRE(Setup.Worker.Starts == Sent);
}

// Guards against a leader that plans with the time that a draining worker had
// left when it announced it.
TEST_CASE("the time that a draining worker has left decreases") {
  Fixture Setup;
  Setup.Loop.runFor(Millis(200));
  auto Announcement = Fixture::announcement("w", 1, 2);
  Announcement.Worker.Draining = true;
  Announcement.Worker.Remaining = Millis(3000);
  Setup.Session.announce(Announcement);
  Setup.follow(Millis(1000));
  REQUIRE(Setup.Newest.Worker);
  REQUIRE(Setup.Newest.Worker->Remaining > Millis(1000));
  REQUIRE(Setup.Newest.Worker->Remaining < Millis(2300));
}
