#include "daisyspool/http/Client.h"
#include "daisyspool/http/Server.h"

#include "LinkRoute.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace daisyspool;

namespace {

/// A client that reaches a server through a route whose connections can go
/// silent.
struct RoutedServer {
  boost::asio::io_context Io{1};
  /// Requests are answered once this many have arrived.
  std::size_t AnswerAfter = 1;
  std::vector<std::shared_ptr<http::Exchange>> Waiting;
  http::Server Port{Io,
                    {{"127.0.0.1", 0}},
                    [this](const http::Request &,
                           const std::shared_ptr<http::Exchange> &Exchange) {
                      Waiting.push_back(Exchange);
                      if (Waiting.size() < AnswerAfter)
                        return;
                      for (const auto &Each : Waiting)
                        Each->respond({200, {}, "ok"});
                      Waiting.clear();
                    }};
  LinkFaults NoFaults;
  std::shared_ptr<LinkRoute> Route = std::make_shared<LinkRoute>(
      Io, http::Endpoint{"127.0.0.1", 0}, Port.endpoint(), NoFaults, 1);
  http::Client Client{Io, {Route->endpoint()}};

  RoutedServer() { Route->start(); }
  ~RoutedServer() { Route->close(); }

  /// Sends \p Count concurrent requests and returns how many were answered.
  std::size_t exchange(std::size_t Count, Millis Timeout) {
    std::size_t Answered = 0;
    std::size_t Finished = 0;
    AnswerAfter = Count;
    for (std::size_t I = 0; I < Count; ++I)
      Client.send({"GET", "/", {}, {}}, Timeout,
                  [&](const http::Response &, const std::exception_ptr &Fail) {
                    Answered += Fail ? 0 : 1;
                    if (++Finished == Count)
                      Io.stop();
                  });
    Io.restart();
    Io.run();
    return Answered;
  }
};

} // namespace

// Guards against trying one silent connection after the other: all connections
// to a peer go silent together, and each one costs a whole timeout.
TEST_CASE("after a timeout no older connection is reused") {
  RoutedServer Server;
  REQUIRE(Server.exchange(4, Millis(5000)) == 4);
  REQUIRE(Server.Route->silence() == 4);
  REQUIRE(Server.exchange(1, Millis(200)) == 0);
  REQUIRE(Server.exchange(1, Millis(5000)) == 1);
  // The new connection is kept.
  REQUIRE(Server.exchange(1, Millis(5000)) == 1);
  REQUIRE(Server.Route->silence() == 1);
}

// Load pattern: hundreds of connections share a busy process, and a large
// change feed waits on one of them. Guards against reading a body in pieces of
// 512 bytes, each of which waits for a turn among all the others: 300 KB took
// up to 11 s.
TEST_CASE("a large body is read in few turns of the loop") {
  constexpr std::size_t BodyBytes = 512 * 1024;
  constexpr std::size_t MaxTurns = 200;
  boost::asio::io_context ServerIo{1};
  boost::asio::io_context ClientIo{1};
  std::size_t Received = 0;
  http::Server::Options Options{{"127.0.0.1", 0}};
  Options.MaxBodyBytes = 2 * BodyBytes;
  http::Server Port{ServerIo, Options,
                    [&](const http::Request &Request,
                        const std::shared_ptr<http::Exchange> &Exchange) {
                      Received = Request.Body.size();
                      Exchange->respond({200, {}, Request.Body});
                    }};
  http::Client Client{ClientIo, {Port.endpoint()}};
  bool Answered = false;
  std::size_t Answer = 0;
  Client.send({"POST", "/", {}, std::string(BodyBytes, 'x')}, Millis(10000),
              [&](const http::Response &Response, const std::exception_ptr &) {
                Answered = true;
                Answer = Response.Body.size();
              });
  std::size_t ClientTurns = 0;
  std::size_t ServerTurns = 0;
  // Alternates between the two, so that each finds all that has arrived.
  while (!Answered) {
    ClientTurns += ClientIo.poll();
    ServerTurns += ServerIo.poll();
  }
  REQUIRE(Received == BodyBytes);
  REQUIRE(Answer == BodyBytes);
  INFO("turns: client " << ClientTurns << ", server " << ServerTurns);
  REQUIRE(ClientTurns < MaxTurns);
  REQUIRE(ServerTurns < MaxTurns);
}
