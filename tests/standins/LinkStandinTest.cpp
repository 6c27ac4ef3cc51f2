#include "LinkStandin.h"
#include "PlatformStandin.h"
#include "daisyspool/platform/DynamoTable.h"
#include "support/StandinThread.h"

#include <catch2/catch.hpp>

using namespace daisyspool;

namespace {

using Udp = boost::asio::ip::udp;
constexpr Millis ShortTimeout{200};
const RowKey Key{"p", "s"};

struct Fixture {
  StandinThread<PlatformStandin> Platform{
      PlatformStandin::Options{{"127.0.0.1", 0}}};
  StandinThread<LinkStandin> Link{LinkStandin::Options{
      {"127.0.0.1", 0}, {{{"127.0.0.1", 0}, Platform->endpoint()}}}};
  http::Endpoint RelayAddress = Link->endpoints().at(0);
  SystemClock Time;
  DynamoTable ShortTimeoutTable{
      {.Server = RelayAddress, .Timeout = ShortTimeout}, Time};
  DynamoTable LongTimeoutTable{{.Server = RelayAddress, .Timeout = AmpleTime},
                               Time};

  nlohmann::json faults(const nlohmann::json &Change) {
    return switchFaults(Link->control(), Change);
  }
};

/// UDP socket with a time limit for receiving.
class UdpPeer {
public:
  UdpPeer() : Socket(Io, Udp::endpoint(toTcp(Any).address(), 0)) {}

  http::Endpoint endpoint() const {
    return toEndpoint(Socket.local_endpoint());
  }

  void send(const std::string &Bytes, const Udp::endpoint &To) {
    Socket.send_to(boost::asio::buffer(Bytes), To);
  }

  /// Empty if nothing arrives in time.
  std::string receive(Millis Timeout) {
    std::string Bytes(100, '\0');
    std::size_t Length = 0;
    Socket.async_receive_from(
        boost::asio::buffer(Bytes), From,
        [&](boost::system::error_code Failure, std::size_t Received) {
          Length = Failure ? 0 : Received;
        });
    Io.restart();
    Io.run_for(Timeout);
    if (!Io.stopped()) {
      Socket.cancel();
      Io.run();
    }
    Bytes.resize(Length);
    return Bytes;
  }

  Udp::endpoint From;

private:
  const http::Endpoint Any{"127.0.0.1", 0};
  boost::asio::io_context Io{1};
  Udp::socket Socket;
};

} // namespace

// Guards against a client that waits forever on a connection that went silent
// while new ones work, or that reuses it.
TEST_CASE_METHOD(Fixture, "a silent connection is replaced by a new one") {
  ShortTimeoutTable.commit({"t", {PutRow{Key, 1, "v", {}}}});
  auto Silenced = control(Link->control(), "/standin/silence", {});
  REQUIRE(Silenced["connections"] == 1);

  REQUIRE_THROWS_AS(ShortTimeoutTable.read(Key), PlatformUnavailable);
  REQUIRE(LongTimeoutTable.read(Key)->Version == 1);
  REQUIRE(ShortTimeoutTable.read(Key)->Version == 1);
}

// Guards against a delay that is not added, or only in one direction.
TEST_CASE_METHOD(Fixture, "delay is added in both directions") {
  LongTimeoutTable.read(Key);
  faults({{"delay_ms", 60}, {"jitter_ms", 10}});

  auto Start = std::chrono::steady_clock::now();
  REQUIRE_FALSE(LongTimeoutTable.read(Key).has_value());
  REQUIRE(std::chrono::steady_clock::now() - Start >= Millis(120));
}

// Guards against a cut link that still passes data, or stays cut.
TEST_CASE_METHOD(Fixture, "a cut link passes nothing until it is restored") {
  ShortTimeoutTable.read(Key);
  faults({{"route", http::toString(RelayAddress)}, {"cut", true}});
  REQUIRE_THROWS_AS(ShortTimeoutTable.read(Key), PlatformUnavailable);
  REQUIRE_THROWS_AS(ShortTimeoutTable.commit({"t", {PutRow{Key, 1, "v", {}}}}),
                    PlatformUnavailable);

  faults({{"cut", false}});
  REQUIRE_FALSE(LongTimeoutTable.read(Key).has_value());
  REQUIRE_THROWS(faults({{"route", "127.0.0.1:1"}, {"cut", true}}));
  REQUIRE_THROWS(faults({{"delay", 5}}));
}

// Guards against datagrams that are lost without loss, kept despite loss, or
// returned to the wrong sender.
TEST_CASE_METHOD(Fixture, "datagrams are relayed, returned and dropped") {
  UdpPeer Server;
  UdpPeer First;
  UdpPeer Second;
  auto Listed = control(Link->control(), "/standin/routes",
                        {{"add",
                          {{{"listen", "127.0.0.1:0"},
                            {"to", http::toString(Server.endpoint())}}}}});
  std::string Name = Listed["routes"].at(1)["listen"];
  auto Parsed = toTcp(*http::parseEndpoint(Name));
  Udp::endpoint To(Parsed.address(), Parsed.port());

  First.send("one", To);
  REQUIRE(Server.receive(AmpleTime) == "one");
  auto FirstFlow = Server.From;
  Second.send("two", To);
  REQUIRE(Server.receive(AmpleTime) == "two");
  Server.send("back", FirstFlow);
  REQUIRE(First.receive(AmpleTime) == "back");

  faults({{"loss", 1.0}});
  First.send("three", To);
  REQUIRE(Server.receive(ShortTimeout).empty());
  control(Link->control(), "/standin/routes", {{"remove", {Name}}});
}
