#include "daisyspool/agent/TargetProxy.h"
#include "daisyspool/http/Server.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace daisyspool;

namespace {

/// A target that answers requests only when answerOldest() is called.
class ManualTarget {
public:
  explicit ManualTarget(boost::asio::io_context &Io)
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

/// A proxy with one slot for a ManualTarget.
class Fixture {
public:
  explicit Fixture(std::size_t QueueLimit)
      : Target(Io),
        Proxy(Io, Time,
              {ServiceId("castmatch"), Target.endpoint(), 1, 64, QueueLimit}) {}

  void serve(const std::string &Path, WorkClass Class) {
    wire::ServeRequest Request;
    Request.Attempt = wire::AttemptId(++Number);
    Request.Service = ServiceId("castmatch");
    Request.Class = Class;
    Request.Remaining = std::chrono::minutes(1);
    Request.Method = "POST";
    Request.Path = Path;
    Proxy.serve({ProcessId("entry"), Incarnation(1), Request.Attempt}, Request,
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
  ManualTarget Target;
  TargetProxy Proxy;
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
TEST_CASE(
    "a full queue refuses its least urgent request for a more urgent one") {
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
