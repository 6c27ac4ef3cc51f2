// An agent session and a worker whose answers the test sets.
#ifndef DAISYSPOOL_TESTS_RUNNER_AGENTFIXTURE_H
#define DAISYSPOOL_TESTS_RUNNER_AGENTFIXTURE_H

#include "daisyspool/runner/AgentSession.h"
#include "fleet/VirtualLoop.h"

#include <map>
#include <vector>

namespace daisyspool::testing {

using namespace daisyspool::runner;

/// A worker that answers starts and stops as the test sets it, and holds with
/// the listing of the test.
class ScriptedWorker final : public WorkerPort {
public:
  explicit ScriptedWorker(VirtualLoop &Loop) : Loop(Loop) {}

  /// Holds for another worker are declined.
  TargetId Id{"w"};
  StartOutcome StartAnswer = Started{};
  WorkerListing Listing;
  /// Orders beyond this number at once are not sent.
  std::size_t Connections = 100'000;
  std::size_t Starts = 0;
  std::size_t Stops = 0;
  std::size_t Holds = 0;
  /// The newest pace of each run that was ordered, in percent.
  std::map<RunName, std::uint32_t> Paces;

  void start(FencingToken, const TargetId &, const WorkerStart &,
             std::function<void(StartOutcome)> Done) override {
    if (OrdersInFlight >= Connections)
      return Loop.post([Done] { Done(NoWorkerAnswer{"not sent"}); });
    ++Starts;
    ++OrdersInFlight;
    Loop.after(Millis(20), [this, Done] {
      --OrdersInFlight;
      Done(StartAnswer);
    });
  }
  void stop(FencingToken, const TargetId &, const RunName &,
            std::function<void(OrderOutcome)> Done) override {
    if (OrdersInFlight >= Connections)
      return Loop.post([Done] { Done(NoWorkerAnswer{"not sent"}); });
    ++Stops;
    ++OrdersInFlight;
    Loop.after(Millis(1), [this, Done] {
      --OrdersInFlight;
      Done(runner::Done{});
    });
  }
  void hold(FencingToken, const TargetId &Expected, const HoldRequest &,
            std::function<void(HoldOutcome)> Done) override {
    ++Holds;
    Loop.after(Millis(50), [this, Expected, Done] {
      if (Expected.empty() || Expected == Id)
        Done(Listing);
      else
        Done(OtherLife{});
    });
  }
  void pace(FencingToken, const TargetId &, const RunName &Name,
            std::uint32_t Percent,
            std::function<void(OrderOutcome)> Done) override {
    Paces[Name] = Percent;
    Loop.after(Millis(1), [Done] { Done(runner::Done{}); });
  }

private:
  VirtualLoop &Loop;
  std::size_t OrdersInFlight = 0;
};

/// One agent session beside a ScriptedWorker.
struct AgentFixture {
  VirtualLoop Loop;
  ScriptedWorker Worker{Loop};
  AgentSession Session{Loop, Loop, Worker, {5, Millis(6000), Millis(200)}};
  RunName Run{{JobId("job"), 0, 0, 0}, RunNumber(1)};
  std::uint64_t LastSync = 0;
  SyncReply Newest;

  AgentFixture() {
    Worker.Listing.Life = WorkerLife(1);
    Session.announce(announcement("w", 1, 1));
  }

  static WorkerAnnouncement announcement(const std::string &Id,
                                         std::uint64_t Life,
                                         std::uint64_t Sequence) {
    WorkerAnnouncement Result;
    Result.Worker.Id = TargetId(Id);
    Result.Worker.Life = WorkerLife(Life);
    Result.Worker.Service = ServiceId("service");
    Result.Sequence = SequenceNumber(Sequence);
    return Result;
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

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_RUNNER_AGENTFIXTURE_H
