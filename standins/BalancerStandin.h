#ifndef DAISYSPOOL_STANDINS_BALANCERSTANDIN_H
#define DAISYSPOOL_STANDINS_BALANCERSTANDIN_H

#include "Standin.h"
#include "TcpPipe.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>

namespace daisyspool {

/// The platform's load balancer: distributes TCP connections round-robin.
///
/// A backend that refuses a connection, or does not accept it in time, is
/// skipped for a second. Removing a backend does not close its open
/// connections. `POST /standin/backends` changes the backends; see
/// docs/standins.md. Thread safety: the I/O thread only.
class BalancerStandin {
public:
  struct Options {
    http::Endpoint Listen;
    http::Endpoint Control;
    std::vector<http::Endpoint> Backends = {};
  };

  BalancerStandin(boost::asio::io_context &Io, const Options &Config)
      : Io(Io), Acceptor(Io, toTcp(Config.Listen)), AcceptRetry(Io),
        HttpServer(Io, controlOptions(Config.Control),
                   [this](const http::Request &Received,
                          const std::shared_ptr<http::Exchange> &Answer) {
                     answerControl(*Answer,
                                   [&] { return controlCall(Received); });
                   }) {
    for (const http::Endpoint &Each : Config.Backends)
      addBackend(Each);
    accept();
  }
  BalancerStandin(const BalancerStandin &) = delete;
  BalancerStandin &operator=(const BalancerStandin &) = delete;

  http::Endpoint endpoint() const {
    return toEndpoint(Acceptor.local_endpoint());
  }
  http::Endpoint control() const { return HttpServer.endpoint(); }

private:
  using Tcp = boost::asio::ip::tcp;
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// Time limit for a backend to accept a connection.
  static constexpr Millis ConnectTimeout{1000};
  /// Time for which a backend is not tried again after a failure.
  static constexpr Millis RetryDelay{1000};

  struct Backend {
    http::Endpoint Address;
    SteadyTime DeadUntil{};
    std::uint64_t Connections = 0;
  };

  /// A caller's connection that has no backend yet.
  struct Pending {
    Pending(boost::asio::io_context &Io, Tcp::socket Accepted)
        : Caller(std::move(Accepted)), Server(Io), Deadline(Io) {}

    Tcp::socket Caller;
    Tcp::socket Server;
    boost::asio::steady_timer Deadline;
    std::size_t Tries = 0;
  };

  nlohmann::json controlCall(const http::Request &Received) {
    if (Received.Target != "/standin/backends")
      throw StandinError("unknown control call " + Received.Target);
    if (Received.Method == "POST")
      changeBackends(nlohmann::json::parse(Received.Body));

    nlohmann::json List = nlohmann::json::array();
    for (const Backend &Each : Backends)
      List.push_back({{"address", http::toString(Each.Address)},
                      {"dead", Each.DeadUntil > SteadyTime::clock::now()},
                      {"connections", Each.Connections}});
    return {{"backends", List}};
  }

  void changeBackends(const nlohmann::json &Change) {
    using Names = std::vector<std::string>;
    for (const std::string &Each : Change.value("remove", Names()))
      std::erase_if(Backends, [&](const Backend &Candidate) {
        return http::toString(Candidate.Address) == Each;
      });
    for (const std::string &Each : Change.value("add", Names()))
      addBackend(parseListen(Each));
  }

  void addBackend(const http::Endpoint &Address) {
    bool Known =
        std::any_of(Backends.begin(), Backends.end(), [&](const Backend &Each) {
          return Each.Address == Address;
        });
    if (!Known)
      Backends.push_back({Address});
  }

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Failure, Tcp::socket Socket) {
          if (Failure == boost::asio::error::operation_aborted)
            return;
          if (Failure)
            return retryAccept();
          connect(std::make_shared<Pending>(Io, std::move(Socket)));
          accept();
        });
  }

  /// The process may be out of file descriptors; a loop without a pause would
  /// use a whole core until one is free.
  void retryAccept() {
    AcceptRetry.expires_after(Millis(20));
    AcceptRetry.async_wait([this](boost::system::error_code Failure) {
      if (!Failure)
        accept();
    });
  }

  /// Returns the next backend in round-robin order that has not failed
  /// recently, or null.
  Backend *nextBackend() {
    auto Now = SteadyTime::clock::now();
    for (std::size_t Step = 0; Step < Backends.size(); ++Step) {
      LastIndex = (LastIndex + 1) % Backends.size();
      if (Backends[LastIndex].DeadUntil <= Now)
        return &Backends[LastIndex];
    }

    return nullptr;
  }

  /// Tries backends one after the other. The caller's connection is closed
  /// when none is left.
  void connect(const std::shared_ptr<Pending> &Connection) {
    Backend *Chosen =
        Connection->Tries < Backends.size() ? nextBackend() : nullptr;
    if (Chosen == nullptr)
      return;

    ++Connection->Tries;
    http::Endpoint Address = Chosen->Address;
    Connection->Server = Tcp::socket(Io);
    Connection->Deadline.expires_after(ConnectTimeout);
    Connection->Deadline.async_wait(
        [Connection](boost::system::error_code Failure) {
          if (!Failure)
            Connection->Server.close(Failure);
        });
    Connection->Server.async_connect(
        toTcp(Address),
        [this, Connection, Address](boost::system::error_code Failure) {
          Connection->Deadline.cancel();
          onConnect(Connection, Address, !Failure);
        });
  }

  void onConnect(const std::shared_ptr<Pending> &Connection,
                 const http::Endpoint &Address, bool Connected) {
    auto Found = std::find_if(
        Backends.begin(), Backends.end(),
        [&](const Backend &Each) { return Each.Address == Address; });
    if (!Connected) {
      if (Found != Backends.end())
        Found->DeadUntil = SteadyTime::clock::now() + RetryDelay;
      return connect(Connection);
    }

    if (Found != Backends.end())
      ++Found->Connections;
    TcpPipe::start(std::move(Connection->Caller),
                   std::move(Connection->Server));
  }

  boost::asio::io_context &Io;
  Tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetry;
  std::vector<Backend> Backends;
  std::size_t LastIndex = 0;
  http::Server HttpServer;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_BALANCERSTANDIN_H
