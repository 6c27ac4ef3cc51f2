#include "BalancerStandin.h"
#include "support/StandinThread.h"

#include <catch2/catch.hpp>

#include <set>

using namespace daisyspool;

namespace {

/// Server that answers every request with its own name.
class NamedServer {
public:
  NamedServer(boost::asio::io_context &Io, const std::string &Name)
      : HttpServer(Io, controlOptions({"127.0.0.1", 0}),
                   [Name](const http::Request &,
                          const std::shared_ptr<http::Exchange> &Answer) {
                     Answer->respond({200, {}, Name});
                   }) {}

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

private:
  http::Server HttpServer;
};

std::string ask(const http::Endpoint &Server) {
  return http::exchangeBlocking(Server, {"GET", "/", {}, ""}, AmpleTime).Body;
}

struct Fixture {
  StandinThread<NamedServer> First{"first"};
  StandinThread<NamedServer> Second{"second"};
  StandinThread<BalancerStandin> Balancer{BalancerStandin::Options{
      {"127.0.0.1", 0}, {"127.0.0.1", 0}, {First->endpoint()}}};

  nlohmann::json change(const nlohmann::json &Change) {
    return control(Balancer->control(), "/standin/backends", Change);
  }
};

} // namespace

// Guards against a balancer that uses only one backend, or sends new
// connections to a removed one.
TEST_CASE_METHOD(Fixture, "connections go to the backends in turn") {
  REQUIRE(ask(Balancer->endpoint()) == "first");
  change({{"add", {http::toString(Second->endpoint())}}});

  std::string One = ask(Balancer->endpoint());
  std::string Other = ask(Balancer->endpoint());
  REQUIRE(std::set<std::string>{One, Other} ==
          std::set<std::string>{"first", "second"});
  REQUIRE(ask(Balancer->endpoint()) == One);

  change({{"remove", {http::toString(First->endpoint())}}});
  REQUIRE(ask(Balancer->endpoint()) == "second");
  REQUIRE(ask(Balancer->endpoint()) == "second");
}

// Guards against callers that fail because one of several backends is dead.
TEST_CASE_METHOD(Fixture, "dead backends are skipped") {
  auto List = change({{"add", {"127.0.0.1:1"}}});
  REQUIRE(List["backends"].size() == 2);

  for (int Call = 0; Call < 4; ++Call)
    REQUIRE(ask(Balancer->endpoint()) == "first");

  change({{"remove", {http::toString(First->endpoint())}}});
  REQUIRE_THROWS_AS(ask(Balancer->endpoint()), http::ClientError);
  REQUIRE_THROWS(change({{"add", {"nowhere"}}}));
}
