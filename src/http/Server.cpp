#include "daisyspool/http/Server.h"

#include "http/Connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace daisyspool::http {

namespace asio = boost::asio;

class Server::Impl : public ConnectionOwner,
                     public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Options Config, Handler OnRequest,
       BadInputHandler OnBadInput)
      : Acceptor(Io), AcceptRetry(Io), Config(std::move(Config)),
        OnRequest(std::move(OnRequest)), OnBadInput(std::move(OnBadInput)) {
    if (!this->Config.Budget)
      this->Config.Budget =
          std::make_shared<InboundBudget>(InboundBudget::Limits{});
    limitBody(this->Config.MaxBodyBytes);
    asio::ip::tcp::endpoint ListenAddress(
        asio::ip::make_address(this->Config.Listen.Address),
        this->Config.Listen.Port);
    Acceptor.open(ListenAddress.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    // Accepted connections inherit the size, which must be set before the
    // window is agreed.
    boost::system::error_code Ignored;
    if (this->Config.ReceiveBufferBytes > 0)
      Acceptor.set_option(asio::socket_base::receive_buffer_size(
                              this->Config.ReceiveBufferBytes),
                          Ignored);
    Acceptor.bind(ListenAddress);
    Acceptor.listen();
  }

  void accept() {
    Acceptor.async_accept(
        [Self = shared_from_this()](boost::system::error_code Failure,
                                    asio::ip::tcp::socket Socket) {
          if (Self->Draining)
            return;
          if (Failure) {
            Self->retryAccept();
            return;
          }
          Self->startConnection(std::move(Socket));
          Self->accept();
        });
  }

  void drain(std::function<void()> Done) {
    Draining = true;
    OnDrained = std::move(Done);
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);

    // A request may already be in transit on a connection that looks idle.
    AcceptRetry.expires_after(IdleCloseDelay);
    AcceptRetry.async_wait(
        [Self = shared_from_this()](boost::system::error_code Failure) {
          if (!Failure)
            Self->closeIdle();
        });
  }

  void limitBody(std::size_t Bytes) {
    // The rest of a connection's memory is for its header and buffers.
    Config.MaxBodyBytes =
        std::min(Bytes, Config.Budget->limits().ConnectionBytes / 4 * 3);
  }

  const Options &options() const override { return Config; }
  InboundBudget &budget() override { return *Config.Budget; }
  bool draining() const override { return Draining; }

  void onRequest(Request Received, std::shared_ptr<Exchange> Answer) override {
    OnRequest(std::move(Received), std::move(Answer));
  }

  void onBadInput(BadInput Kind) override {
    if (OnBadInput)
      OnBadInput(Kind);
  }

  void onClosed(const std::shared_ptr<Connection> &Closed) override {
    Connections.erase(Closed);
    finishDrain();
  }

  asio::ip::tcp::endpoint bound() const { return Acceptor.local_endpoint(); }

  std::size_t inFlight() const {
    return static_cast<std::size_t>(
        std::count_if(Connections.begin(), Connections.end(),
                      [](const auto &Each) { return Each->busy(); }));
  }

private:
  static constexpr Millis IdleCloseDelay{250};

  void closeIdle() {
    auto Open = Connections;
    for (const auto &Each : Open)
      Each->closeIfIdle();

    finishDrain();
  }

  /// Accepts again after a pause. The process may be out of file descriptors,
  /// and a loop without a pause would use a whole core until one is free.
  void retryAccept() {
    AcceptRetry.expires_after(Millis(20));
    AcceptRetry.async_wait(
        [Self = shared_from_this()](boost::system::error_code Failure) {
          if (!Failure && !Self->Draining)
            Self->accept();
        });
  }

  void startConnection(asio::ip::tcp::socket Socket) {
    if (Connections.size() >= Config.MaxConnections) {
      onBadInput(BadInput::TooManyConnections);
      return;
    }

    boost::system::error_code Ignored;
    Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    auto Created =
        std::make_shared<Connection>(std::move(Socket), shared_from_this());
    Connections.insert(Created);
    if (Created->start())
      return;
    Connections.erase(Created);
    onBadInput(BadInput::TooManyConnections);
  }

  void finishDrain() {
    if (!Draining || !Connections.empty() || !OnDrained)
      return;

    auto Done = std::move(OnDrained);
    OnDrained = nullptr;
    Done();
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetry;
  Options Config;
  Handler OnRequest;
  BadInputHandler OnBadInput;
  std::set<std::shared_ptr<Connection>> Connections;
  std::function<void()> OnDrained;
  bool Draining = false;
};

Server::Server(asio::io_context &Io, Options Config, Handler OnRequest,
               BadInputHandler OnBadInput)
    : State(std::make_shared<Impl>(Io, std::move(Config), std::move(OnRequest),
                                   std::move(OnBadInput))) {
  State->accept();
}

Server::~Server() = default;

Endpoint Server::endpoint() const {
  auto Bound = State->bound();
  return {Bound.address().to_string(), Bound.port()};
}

void Server::drain(std::function<void()> Done) {
  State->drain(std::move(Done));
}

void Server::limitBody(std::size_t Bytes) { State->limitBody(Bytes); }

std::size_t Server::inFlight() const { return State->inFlight(); }

} // namespace daisyspool::http
