#ifndef DAISYSPOOL_STANDINS_LINKROUTE_H
#define DAISYSPOOL_STANDINS_LINKROUTE_H

#include "Standin.h"
#include "TcpPipe.h"
#include "daisyspool/core/Random.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>

namespace daisyspool {

/// Faults of one route; all are off initially.
struct LinkFaults {
  /// One way, in each direction.
  double DelayMs = 0;
  /// Upper bound of a random addition to the delay.
  double JitterMs = 0;
  /// Share of datagrams that are dropped. TCP data is delayed by a
  /// retransmission time instead, as TCP repairs the loss.
  double Loss = 0;
  /// Nothing passes: datagrams are dropped, open connections go silent, and
  /// new ones get no answer.
  bool Cut = false;

  template <typename Function> void fields(Function Visit) {
    Visit("delay_ms", DelayMs);
    Visit("jitter_ms", JitterMs);
    Visit("loss", Loss);
    Visit("cut", Cut);
  }
};

/// Relays TCP connections and UDP datagrams from one address to another, on
/// the same port number.
///
/// Operations in progress keep a route alive until close(). Thread safety: the
/// I/O thread only.
class LinkRoute : public std::enable_shared_from_this<LinkRoute> {
public:
  /// Binds at once; throws boost::system::system_error if that fails.
  LinkRoute(boost::asio::io_context &Io, const http::Endpoint &Listen,
            http::Endpoint To, const LinkFaults &Faults, std::uint64_t Seed)
      : Io(Io), Target(std::move(To)), Faults(Faults), Chance(Seed),
        Acceptor(Io), AcceptRetry(Io), Datagrams(Io) {
    bindTcpAndUdp(Listen);
  }
  LinkRoute(const LinkRoute &) = delete;
  LinkRoute &operator=(const LinkRoute &) = delete;

  void start() {
    accept();
    receive();
  }

  /// Stops relaying and closes the open connections.
  void close() {
    Closed = true;
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    AcceptRetry.cancel();
    Datagrams.close(Ignored);
    Unanswered.clear();
    for (const auto &[From, Each] : Flows)
      Each->Upstream.close(Ignored);
    for (const auto &Each : Pipes)
      if (auto Open = Each.lock())
        Open->close();
  }

  http::Endpoint endpoint() const {
    return toEndpoint(Acceptor.local_endpoint());
  }
  const http::Endpoint &target() const { return Target; }
  LinkFaults &faults() { return Faults; }

  /// Makes the changed faults effective for open connections.
  void faultsChanged() {
    if (Faults.Cut)
      silence();
    else
      Unanswered.clear();
  }

  /// Makes all open connections go silent permanently; new ones work.
  /// Returns their number.
  std::size_t silence() {
    std::size_t Count = 0;
    for (const auto &Each : Pipes)
      if (auto Open = Each.lock()) {
        Open->goSilent();
        ++Count;
      }

    Pipes.clear();
    return Count;
  }

  /// Discards the answers on all open connections permanently.
  void dropAnswers() {
    for (const auto &Each : Pipes)
      if (auto Open = Each.lock())
        Open->dropAnswers();
  }

  /// Closes all open connections.
  void reset() {
    for (const auto &Each : Pipes)
      if (auto Open = Each.lock())
        Open->close();
  }

private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  /// Delay of TCP data that is drawn as "lost": the shortest retransmission
  /// timeout of Linux.
  static constexpr Millis RetransmitTime{200};
  static constexpr std::size_t MaxFlows = 1024;
  static constexpr std::size_t MaxDatagramBytes = 65536;
  static constexpr int BindTries = 20;

  /// Upstream socket for the datagrams of one sender and the replies to it.
  struct Flow : std::enable_shared_from_this<Flow> {
    Flow(boost::asio::io_context &Io, Udp::endpoint Sender)
        : Sender(std::move(Sender)), Upstream(Io) {}

    Udp::endpoint Sender;
    Udp::socket Upstream;
    std::array<char, MaxDatagramBytes> Buffer{};
    std::chrono::steady_clock::time_point LastUsed;
  };

  /// A free TCP port may be in use for UDP, so port 0 is tried several times.
  void bindTcpAndUdp(const http::Endpoint &Listen) {
    for (int Try = 1;; ++Try) {
      auto TcpAddress = toTcp(Listen);
      Acceptor.open(TcpAddress.protocol());
      Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
      Acceptor.bind(TcpAddress);
      Udp::endpoint UdpAddress(TcpAddress.address(),
                               Acceptor.local_endpoint().port());
      Datagrams.open(UdpAddress.protocol());
      boost::system::error_code Failure;
      Datagrams.bind(UdpAddress, Failure);
      if (!Failure)
        break;
      if (Listen.Port != 0 || Try == BindTries)
        throw boost::system::system_error(Failure);
      Datagrams.close();
      Acceptor.close();
    }

    Acceptor.listen();
  }

  Duration delay() {
    double Delay = Faults.DelayMs + Faults.JitterMs * Chance.unit();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Delay));
  }

  bool drawLoss() { return Faults.Loss > 0 && Chance.unit() < Faults.Loss; }

  void accept() {
    Acceptor.async_accept(
        [this, Self = shared_from_this()](boost::system::error_code Failure,
                                          Tcp::socket Caller) {
          if (Closed)
            return;
          if (Failure)
            return retryAccept();
          connect(std::move(Caller));
          accept();
        });
  }

  /// The process may be out of file descriptors; a loop without a pause would
  /// use a whole core until one is free.
  void retryAccept() {
    AcceptRetry.expires_after(Millis(20));
    AcceptRetry.async_wait(
        [this, Self = shared_from_this()](boost::system::error_code) {
          if (!Closed)
            accept();
        });
  }

  void connect(Tcp::socket Caller) {
    if (Faults.Cut) {
      Unanswered.push_back(std::move(Caller));
      return;
    }

    auto Held = std::make_shared<Tcp::socket>(std::move(Caller));
    auto Server = std::make_shared<Tcp::socket>(Io);
    Server->async_connect(
        toTcp(Target), [this, Self = shared_from_this(), Held,
                        Server](boost::system::error_code Failure) {
          if (Failure || Closed)
            return;
          std::erase_if(Pipes, [](const auto &Each) { return Each.expired(); });
          Pipes.push_back(TcpPipe::start(std::move(*Held), std::move(*Server),
                                         [Self] { return Self->tcpDelay(); }));
        });
  }

  Duration tcpDelay() {
    return delay() + (drawLoss() ? Duration(RetransmitTime) : Duration::zero());
  }

  void receive() {
    Datagrams.async_receive_from(
        boost::asio::buffer(Buffer), Sender,
        [this, Self = shared_from_this()](boost::system::error_code Failure,
                                          std::size_t Length) {
          if (Closed)
            return;
          if (!Failure)
            relayDatagram(findOrCreateFlow(Sender),
                          std::string(Buffer.data(), Length), true);
          receive();
        });
  }

  std::shared_ptr<Flow> findOrCreateFlow(const Udp::endpoint &From) {
    auto &Found = Flows[From];
    if (!Found) {
      Found = std::make_shared<Flow>(Io, From);
      auto To = toTcp(Target);
      Found->Upstream.connect({To.address(), To.port()});
      receiveReplies(Found);
    }
    Found->LastUsed = std::chrono::steady_clock::now();
    auto Result = Found;
    evictOldestFlow();
    return Result;
  }

  void evictOldestFlow() {
    if (Flows.size() <= MaxFlows)
      return;

    auto Oldest = std::min_element(
        Flows.begin(), Flows.end(), [](const auto &Left, const auto &Right) {
          return Left.second->LastUsed < Right.second->LastUsed;
        });
    Oldest->second->Upstream.close();
    Flows.erase(Oldest);
  }

  void receiveReplies(const std::shared_ptr<Flow> &Via) {
    Via->Upstream.async_receive(
        boost::asio::buffer(Via->Buffer),
        [this, Self = shared_from_this(),
         Via](boost::system::error_code Failure, std::size_t Length) {
          if (Closed || Failure == boost::asio::error::operation_aborted)
            return;
          if (!Failure)
            relayDatagram(Via, std::string(Via->Buffer.data(), Length), false);
          receiveReplies(Via);
        });
  }

  void relayDatagram(const std::shared_ptr<Flow> &Via, std::string Bytes,
                     bool Forward) {
    if (Faults.Cut || drawLoss())
      return;

    auto Timer = std::make_shared<boost::asio::steady_timer>(Io, delay());
    Timer->async_wait([this, Self = shared_from_this(), Timer, Via,
                       Bytes = std::move(Bytes),
                       Forward](boost::system::error_code) {
      if (Closed)
        return;
      // A datagram that cannot be sent is lost, as on a network.
      boost::system::error_code Ignored;
      if (Forward)
        Via->Upstream.send(boost::asio::buffer(Bytes), 0, Ignored);
      else
        Datagrams.send_to(boost::asio::buffer(Bytes), Via->Sender, 0, Ignored);
    });
  }

  boost::asio::io_context &Io;
  http::Endpoint Target;
  LinkFaults Faults;
  Random Chance;
  Tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetry;
  Udp::socket Datagrams;
  std::vector<std::weak_ptr<TcpPipe>> Pipes;
  std::vector<Tcp::socket> Unanswered;
  std::map<Udp::endpoint, std::shared_ptr<Flow>> Flows;
  std::array<char, MaxDatagramBytes> Buffer{};
  Udp::endpoint Sender;
  bool Closed = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_LINKROUTE_H
