#include "daisyspool/agent/TargetFront.h"
#include "daisyspool/http/Server.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace daisyspool;

namespace {

/// A target that answers a request only when the test says so.
class HeldTarget {
public:
  explicit HeldTarget(boost::asio::io_context &Io)
      : Port(Io, options(),
             [this](const http::Request &Received,
                    std::shared_ptr<http::Exchange> Answer) {
               Paths.push_back(Received.Target);
               Open.push_back(std::move(Answer));
             }) {}

  http::Endpoint endpoint() const { return Port.endpoint(); }

  void answerOldest() {
    Open.front()->respond({200, {}, {}});
    Open.pop_front();
  }

  std::vector<std::string> Paths;

private:
  static http::Server::Options options() {
    http::Server::Options Result;
    Result.Listen = {"127.0.0.1", 0};
    return Result;
  }

  std::deque<std::shared_ptr<http::Exchange>> Open;
  http::Server Port;
};

/// A front with one slot before a held target.
class Fixture {
public:
  explicit Fixture(std::size_t QueueLimit)
      : Target(Io),
        Front(Io, Time,
              {ServiceId("castmatch"), Target.endpoint(), 1, 64, QueueLimit}) {}

  void serve(const std::string &Path, WorkClass Class) {
    wire::ServeRequest What;
    What.Attempt = wire::AttemptId(++Number);
    What.Service = ServiceId("castmatch");
    What.Class = Class;
    What.Remaining = std::chrono::minutes(1);
    What.Method = "POST";
    What.Path = Path;
    Front.serve({ProcessId("entry"), Incarnation(1), What.Attempt}, What,
                Repeatable::Yes, [this, Path](const wire::ServeReply &Answer) {
                  if (Answer.Outcome == wire::ServeOutcome::Refused)
                    Refused.push_back(Path);
                });
  }

  /// Runs events until the target has seen \p Count requests.
  void runUntilSeen(std::size_t Count) {
    auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (Target.Paths.size() < Count &&
           std::chrono::steady_clock::now() < Limit)
      Io.run_one_for(Millis(100));
    REQUIRE(Target.Paths.size() >= Count);
  }

  boost::asio::io_context Io{1};
  SystemClock Time;
  HeldTarget Target;
  TargetFront Front;
  std::vector<std::string> Refused;

private:
  std::uint64_t Number = 0;
};

} // namespace

// Guards against urgent work that waits behind batch work of another entry,
// which gave urgent requests four times their usual p99 under a batch flood.
TEST_CASE("a free slot goes to the most urgent queued request") {
  Fixture Agent(4);
  Agent.serve("/running", WorkClass::Batch);
  Agent.runUntilSeen(1);
  Agent.serve("/batch", WorkClass::Batch);
  Agent.serve("/urgent-1", WorkClass::Urgent);
  Agent.serve("/urgent-2", WorkClass::Urgent);

  for (std::size_t Seen = 1; Seen < 4; ++Seen) {
    Agent.Target.answerOldest();
    Agent.runUntilSeen(Seen + 1);
  }

  REQUIRE(
      Agent.Target.Paths ==
      std::vector<std::string>{"/running", "/urgent-1", "/urgent-2", "/batch"});
}

// Guards against a queue full of batch work that refuses urgent requests.
TEST_CASE("a full queue gives up its least urgent request, unrun") {
  Fixture Agent(1);
  Agent.serve("/running", WorkClass::Batch);
  Agent.runUntilSeen(1);
  Agent.serve("/batch-1", WorkClass::Batch);
  Agent.serve("/batch-2", WorkClass::Batch);
  REQUIRE(Agent.Refused == std::vector<std::string>{"/batch-2"});

  Agent.serve("/urgent", WorkClass::Urgent);
  REQUIRE(Agent.Refused == std::vector<std::string>{"/batch-2", "/batch-1"});

  Agent.Target.answerOldest();
  Agent.runUntilSeen(2);
  REQUIRE(Agent.Target.Paths ==
          std::vector<std::string>{"/running", "/urgent"});
}
