#include "daisyspool/runner/AgentSession.h"
#include "fleet/VirtualLoop.h"

#include <catch2/catch.hpp>

using namespace daisyspool;
using namespace daisyspool::runner;
using daisyspool::testing::VirtualLoop;

namespace {

/// A worker that answers starts and stops as the test sets it, and holds with
/// the listing of the test.
class ScriptedWorker final : public WorkerPort {
public:
  explicit ScriptedWorker(VirtualLoop &Loop) : Loop(Loop) {}

  StartOutcome StartAnswer = Started{};
  WorkerListing Listing;
  std::size_t Stops = 0;

  void start(FencingToken, const TargetId &, const WorkerStart &,
             std::function<void(StartOutcome)> Done) override {
    Loop.after(Millis(20), [this, Done] { Done(StartAnswer); });
  }
  void stop(FencingToken, const TargetId &, const RunName &,
            std::function<void(OrderOutcome)> Done) override {
    ++Stops;
    Loop.after(Millis(1), [Done] { Done(runner::Done{}); });
  }
  void hold(FencingToken, const TargetId &, const HoldRequest &,
            std::function<void(HoldOutcome)> Done) override {
    Loop.after(Millis(50), [this, Done] { Done(Listing); });
  }
  void pace(FencingToken, const TargetId &, const RunName &, std::uint32_t,
            std::function<void(OrderOutcome)> Done) override {
    Loop.after(Millis(1), [Done] { Done(runner::Done{}); });
  }

private:
  VirtualLoop &Loop;
};

struct Fixture {
  VirtualLoop Loop;
  ScriptedWorker Worker{Loop};
  AgentSession Session{Loop, Loop, Worker, {5, Millis(6000), Millis(200)}};
  RunName Run{{JobId("job"), 0, 0, 0}, RunNumber(1)};
  std::uint64_t LastSync = 0;
  SyncReply Newest;

  Fixture() {
    Worker.Listing.Life = WorkerLife(1);
    WorkerAnnouncement Announcement;
    Announcement.Worker.Life = WorkerLife(1);
    Announcement.Worker.Id = TargetId("w");
    Announcement.Sequence = SequenceNumber(1);
    Session.announce(Announcement);
  }

  void sync(std::vector<StartOrder> Starts, std::vector<RunName> Stops) {
    SyncRequest Request;
    Request.Leader = Epoch(1);
    Request.Number = ++LastSync;
    Request.StampedBy = 5;
    Request.EchoedStamp = Newest.Stamp;
    Request.Grant = Millis(4000);
    Request.Starts = std::move(Starts);
    Request.Stops = std::move(Stops);
    Session.sync(Request, [this](const SyncReply &Reply) { Newest = Reply; });
  }

  /// Syncs without orders for \p Span, as a leader does.
  void follow(Millis Span) {
    for (TimePoint End = Loop.now() + Span; Loop.now() < End;) {
      sync({}, {});
      Loop.runFor(Millis(100));
    }
  }

  StartOrder order() const {
    StartOrder Result;
    Result.Name = Run;
    Result.Life = WorkerLife(1);
    return Result;
  }
};

} // namespace

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
