// Stand-in for a target service such as Castmatch or Lotsen-plan. It answers
// after the time that a request asks for, streams numbered events, and counts
// how often it ran each request, so that tests can check at-most-once
// execution.
//
//   /work?ms=5            answers after 5 ms; &status=500 fails; &bytes=N pads
//   /stream?interval=100&count=20   sends 20 events, resumes at Last-Event-ID
//   /executions           how often each request id ran, as JSON
//   /fault?fail=yes|no&slow=FACTOR  fails or slows all later requests
#include "daisyspool/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace daisyspool;
namespace asio = boost::asio;

long parameter(const std::string &Target, const std::string &Name,
               long Default) {
  for (const char *Separator : {"?", "&"}) {
    std::size_t Position = Target.find(Separator + Name + "=");
    if (Position != std::string::npos)
      return std::strtol(Target.c_str() + Position + Name.size() + 2, nullptr,
                         10);
  }
  return Default;
}

class TargetStandin {
public:
  TargetStandin(asio::io_context &Io, http::Endpoint Listen, long Slots)
      : Io(Io), Slots(Slots),
        HttpServer(Io, options(std::move(Listen)),
                   [this](http::Request Received,
                          std::shared_ptr<http::Exchange> Answer) {
                     handle(std::move(Received), std::move(Answer));
                   }) {}

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  struct PendingRequest {
    http::Request Received;
    ExchangePtr Answer;
  };

  static http::Server::Options options(http::Endpoint Listen) {
    http::Server::Options Result;
    Result.Listen = std::move(Listen);
    return Result;
  }

  void handle(http::Request Received, ExchangePtr Answer) {
    if (Received.Target == "/executions")
      return Answer->respond({200,
                              {{"Content-Type", "application/json"}},
                              nlohmann::json(Executions).dump()});
    if (Received.Target.rfind("/fault", 0) == 0)
      return switchFault(Received.Target, *Answer);
    if (Received.Target.rfind("/stream", 0) == 0)
      return startStream(Received, Answer);

    Waiting.push_back({std::move(Received), std::move(Answer)});
    startWaiting();
  }

  void switchFault(const std::string &Target, http::Exchange &Answer) {
    Failing = Target.find("fail=yes") != std::string::npos;
    SlowFactor = parameter(Target, "slow", 1);
    Answer.respond({204, {}, {}});
  }

  void startWaiting() {
    while (Busy < Slots && !Waiting.empty()) {
      PendingRequest Next = std::move(Waiting.front());
      Waiting.pop_front();
      run(std::move(Next));
    }
  }

  void run(PendingRequest Started) {
    ++Busy;
    if (auto Id =
            http::findHeader(Started.Received.Headers, "Daisyspool-Request-Id"))
      ++Executions[*Id];
    long DelayMs = parameter(Started.Received.Target, "ms", 1) * SlowFactor;
    if (DelayMs == 0 || Failing)
      return finish(Started);

    auto Timer = std::make_shared<asio::steady_timer>(
        Io, std::chrono::milliseconds(DelayMs));
    Timer->async_wait(
        [this, Timer, Started](boost::system::error_code Failure) {
          if (!Failure)
            finish(Started);
        });
  }

  void finish(const PendingRequest &Started) {
    --Busy;
    long Status =
        Failing ? 500 : parameter(Started.Received.Target, "status", 200);
    std::string Id =
        http::findHeader(Started.Received.Headers, "Daisyspool-Request-Id")
            .value_or("");
    std::string Body = "{\"request\":\"" + Id + "\",\"echo\":" +
                       nlohmann::json(Started.Received.Body).dump() + "}";
    long Bytes = parameter(Started.Received.Target, "bytes", 0);
    Body.append(static_cast<std::size_t>(Bytes), ' ');
    Started.Answer->respond({static_cast<int>(Status),
                             {{"Content-Type", "application/json"}},
                             std::move(Body)});
    startWaiting();
  }

  void startStream(const http::Request &Received, const ExchangePtr &Answer) {
    auto Last = http::findHeader(Received.Headers, "Last-Event-ID");
    long First = Last ? std::strtol(Last->c_str(), nullptr, 10) + 1 : 0;
    Answer->beginStream({200, {{"Content-Type", "text/event-stream"}}, {}});
    auto Timer = std::make_shared<asio::steady_timer>(Io);
    sendEvent(Answer, Timer, First, parameter(Received.Target, "count", 10),
              parameter(Received.Target, "interval", 100));
  }

  void sendEvent(const ExchangePtr &Answer,
                 const std::shared_ptr<asio::steady_timer> &Timer, long Number,
                 long Count, long IntervalMs) {
    if (Number >= Count)
      return Answer->endStream();
    if (!Answer->writeChunk("id: " + std::to_string(Number) + "\ndata: event " +
                            std::to_string(Number) + "\n\n"))
      return;

    Timer->expires_after(std::chrono::milliseconds(IntervalMs));
    Timer->async_wait([this, Answer, Timer, Number, Count,
                       IntervalMs](boost::system::error_code Failure) {
      if (!Failure)
        sendEvent(Answer, Timer, Number + 1, Count, IntervalMs);
    });
  }

  asio::io_context &Io;
  long Slots;
  long Busy = 0;
  long SlowFactor = 1;
  bool Failing = false;
  std::deque<PendingRequest> Waiting;
  std::map<std::string, long> Executions;
  http::Server HttpServer;
};

} // namespace

int main(int Count, char **Arguments) {
  auto Listen = Count > 1 ? http::parseEndpoint(Arguments[1]) : std::nullopt;
  long Slots = Count > 2 ? std::strtol(Arguments[2], nullptr, 10) : 8;
  if (!Listen || Slots < 1) {
    std::cerr << "usage: target_standin ADDRESS:PORT [SLOTS]\n";
    return 2;
  }

  asio::io_context Io(1);
  TargetStandin Service(Io, *Listen, Slots);
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  std::cout << "listening=" << http::toString(Service.endpoint()) << std::endl;
  Io.run();
  return 0;
}
