#ifndef DAISYSPOOL_STANDINS_BALANCERSTANDIN_H
#define DAISYSPOOL_STANDINS_BALANCERSTANDIN_H

#include "Standin.h"
#include "TcpPipe.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>

namespace daisyspool {

/// The platform's load balancer: passes TCP connections to backends in turn.
///
/// A backend that refuses a connection, or does not accept it in time, is
/// skipped for a second. Removing a backend leaves its open connections alone.
/// `POST /standin/backends` changes the backends; see docs/standins.md. Thread
/// safety: the I/O thread only.
class BalancerStandin {
public:
  struct Options {
    http::Endpoint Listen;
    http::Endpoint Control;
    std::vector<http::Endpoint> Backends = {};
  };

  BalancerStandin(boost::asio::io_context &Io, const Options &Config)
      : Io(Io), Acceptor(Io, toTcp(Config.Listen)), AcceptRetry(Io),
        Port(Io, controlOptions(Config.Control),
             [this](const http::Request &What,
                    const std::shared_ptr<http::Exchange> &Answer) {
               answerControl(*Answer, [&] { return controlCall(What); });
             }) {
    for (const http::Endpoint &Each : Config.Backends)
      add(Each);
    accept();
  }
  BalancerStandin(const BalancerStandin &) = delete;
  BalancerStandin &operator=(const BalancerStandin &) = delete;

  http::Endpoint endpoint() const {
    return toEndpoint(Acceptor.local_endpoint());
  }
  http::Endpoint control() const { return Port.endpoint(); }

private:
  using Tcp = boost::asio::ip::tcp;
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// Time for a backend to accept a connection.
  static constexpr Millis ConnectTimeout{1000};
  /// Time for which a backend is not tried again after a failure.
  static constexpr Millis DeadTime{1000};

  struct Backend {
    http::Endpoint Where;
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

  nlohmann::json controlCall(const http::Request &What) {
    if (What.Target != "/standin/backends")
      throw StandinError("unknown control call " + What.Target);
    if (What.Method == "POST")
      change(nlohmann::json::parse(What.Body));

    nlohmann::json List = nlohmann::json::array();
    for (const Backend &Each : Backends)
      List.push_back({{"address", http::toString(Each.Where)},
                      {"dead", Each.DeadUntil > SteadyTime::clock::now()},
                      {"connections", Each.Connections}});
    return {{"backends", List}};
  }

  void change(const nlohmann::json &What) {
    using Names = std::vector<std::string>;
    for (const std::string &Each : What.value("remove", Names()))
      std::erase_if(Backends, [&](const Backend &Candidate) {
        return http::toString(Candidate.Where) == Each;
      });
    for (const std::string &Each : What.value("add", Names()))
      add(parseListen(Each));
  }

  void add(const http::Endpoint &Where) {
    bool Known =
        std::any_of(Backends.begin(), Backends.end(),
                    [&](const Backend &Each) { return Each.Where == Where; });
    if (!Known)
      Backends.push_back({Where});
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

  /// The next backend in turn that is not known to be dead.
  Backend *next() {
    auto Now = SteadyTime::clock::now();
    for (std::size_t Step = 0; Step < Backends.size(); ++Step) {
      Turn = (Turn + 1) % Backends.size();
      if (Backends[Turn].DeadUntil <= Now)
        return &Backends[Turn];
    }

    return nullptr;
  }

  /// Tries backends one after the other. The caller's connection is closed
  /// when none is left.
  void connect(const std::shared_ptr<Pending> &Which) {
    Backend *Chosen = Which->Tries < Backends.size() ? next() : nullptr;
    if (Chosen == nullptr)
      return;

    ++Which->Tries;
    http::Endpoint Where = Chosen->Where;
    Which->Server = Tcp::socket(Io);
    Which->Deadline.expires_after(ConnectTimeout);
    Which->Deadline.async_wait([Which](boost::system::error_code Failure) {
      if (!Failure)
        Which->Server.close(Failure);
    });
    Which->Server.async_connect(
        toTcp(Where), [this, Which, Where](boost::system::error_code Failure) {
          Which->Deadline.cancel();
          onConnect(Which, Where, !Failure);
        });
  }

  void onConnect(const std::shared_ptr<Pending> &Which,
                 const http::Endpoint &Where, bool Connected) {
    auto Found =
        std::find_if(Backends.begin(), Backends.end(),
                     [&](const Backend &Each) { return Each.Where == Where; });
    if (!Connected) {
      if (Found != Backends.end())
        Found->DeadUntil = SteadyTime::clock::now() + DeadTime;
      return connect(Which);
    }

    if (Found != Backends.end())
      ++Found->Connections;
    TcpPipe::start(std::move(Which->Caller), std::move(Which->Server));
  }

  boost::asio::io_context &Io;
  Tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetry;
  std::vector<Backend> Backends;
  std::size_t Turn = 0;
  http::Server Port;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_BALANCERSTANDIN_H
