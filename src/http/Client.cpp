#include "daisyspool/http/Client.h"

#include "http/Convert.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <deque>
#include <optional>

namespace daisyspool::http {

namespace asio = boost::asio;

namespace {

/// Bounds a header, a chunk extension or trailers of an answer.
constexpr std::size_t MaxBufferBytes = 64 * 1024;

using SteadyTime = std::chrono::steady_clock::time_point;

std::exception_ptr makeError(ClientError::Kind Reason,
                             const std::string &Detail) {
  return std::make_exception_ptr(ClientError(Reason, Detail));
}

/// One connection and the request in progress on it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(asio::io_context &Io, const Client::Options &Config)
      : Stream(Io), Config(Config) {
    Buffer.max_size(MaxBufferBytes);
    Buffer.reserve(ReadBufferBytes);
  }

  void start(Request Message, Millis Timeout, Client::ChunkCallback OnChunk,
             std::function<void(Response, std::exception_ptr, bool)> Done) {
    this->Timeout = Timeout;
    this->OnChunk = std::move(OnChunk);
    this->Done = std::move(Done);
    prepare(std::move(Message));
    Stream.expires_after(Timeout);
    if (Connected)
      return write();

    asio::ip::tcp::endpoint ServerAddress(
        asio::ip::make_address(Config.Server.Address), Config.Server.Port);
    Stream.async_connect(ServerAddress, [Self = shared_from_this()](
                                            boost::system::error_code Failure) {
      if (Failure)
        return Self->finish({}, makeError(ClientError::Kind::NotSent,
                                          "connect: " + Failure.message()));
      boost::system::error_code Ignored;
      Self->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
      Self->Connected = true;
      Self->write();
    });
  }

  /// Returns false if the server has closed the connection or sent data without
  /// a request.
  bool reusable() {
    char Byte = 0;
    boost::system::error_code ReadFailure;
    Stream.socket().non_blocking(true, ReadFailure);
    Stream.socket().receive(asio::buffer(&Byte, 1),
                            asio::socket_base::message_peek, ReadFailure);
    return ReadFailure == asio::error::would_block;
  }

  SteadyTime IdleSince;

private:
  void prepare(Request Message) {
    Outgoing = {};
    Outgoing.version(11);
    Outgoing.method_string(Message.Method);
    Outgoing.target(Message.Target);
    Outgoing.set(beast::http::field::host, toString(Config.Server));
    setHeaders(Outgoing, Message.Headers);
    Outgoing.body() = std::move(Message.Body);
    Outgoing.prepare_payload();
  }

  void write() {
    beast::http::async_write(
        Stream, Outgoing,
        [Self = shared_from_this()](boost::system::error_code Failure,
                                    std::size_t Sent) {
          if (Failure)
            return Self->finish({}, makeError(Sent == 0
                                                  ? ClientError::Kind::NotSent
                                                  : ClientError::Kind::NoAnswer,
                                              "write: " + Failure.message()));
          Self->readHead();
        });
  }

  void readHead() {
    Parser.emplace();
    Parser->body_limit(Config.MaxBodyBytes);
    auto OnRead = [Self = shared_from_this()](boost::system::error_code Failure,
                                              std::size_t) {
      if (Failure)
        return Self->failRead(Failure);
      if (!Self->OnChunk)
        return Self->finishWholeAnswer();
      Self->Head = Self->head();
      Self->readPiece();
    };
    if (OnChunk)
      beast::http::async_read_header(Stream, Buffer, *Parser, OnRead);
    else
      beast::http::async_read(Stream, Buffer, *Parser, OnRead);
  }

  void readPiece() {
    std::string Piece = std::move(Parser->get().body());
    Parser->get().body().clear();
    if (!Piece.empty() && !OnChunk(std::move(Piece)))
      return finish({}, makeError(ClientError::Kind::NoAnswer, "abandoned"));
    if (Parser->is_done())
      return finish(std::move(Head), nullptr);

    Stream.expires_after(Timeout);
    beast::http::async_read_some(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](boost::system::error_code Failure,
                                    std::size_t) {
          if (Failure)
            return Self->failRead(Failure);
          Self->readPiece();
        });
  }

  Response head() const {
    const auto &Message = Parser->get();
    return {static_cast<int>(Message.result_int()), toHeaders(Message), {}};
  }

  void finishWholeAnswer() {
    Response Answer = head();
    Answer.Body = std::move(Parser->get().body());
    finish(std::move(Answer), nullptr);
  }

  void failRead(boost::system::error_code Failure) {
    bool Malformed =
        Failure.category() ==
            make_error_code(beast::http::error::bad_version).category() &&
        Failure != beast::http::error::end_of_stream &&
        Failure != beast::http::error::partial_message;
    finish({}, makeError(Malformed ? ClientError::Kind::Malformed
                                   : ClientError::Kind::NoAnswer,
                         "read: " + Failure.message()));
  }

  void finish(Response Answer, std::exception_ptr Failure) {
    bool KeepAlive = !Failure && Parser && Parser->get().keep_alive();
    if (KeepAlive)
      Stream.expires_never();
    else
      Stream.close();

    auto Callback = std::move(Done);
    Done = nullptr;
    OnChunk = nullptr;
    Callback(std::move(Answer), std::move(Failure), KeepAlive);
  }

  beast::tcp_stream Stream;
  const Client::Options &Config;
  beast::flat_buffer Buffer;
  BeastRequest Outgoing;
  std::optional<beast::http::response_parser<beast::http::string_body>> Parser;
  Response Head;
  Client::ChunkCallback OnChunk;
  std::function<void(Response, std::exception_ptr, bool)> Done;
  Millis Timeout{};
  bool Connected = false;
};

} // namespace

class Client::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Options Config)
      : Io(Io), Config(std::move(Config)) {}

  void start(Request Message, Millis Timeout, ChunkCallback OnChunk,
             Callback Done) {
    if (Busy >= Config.MaxConnections) {
      Done({}, makeError(ClientError::Kind::NotSent, "all connections in use"));
      return;
    }

    auto Connection = takeIdle();
    auto StartedAt = std::chrono::steady_clock::now();
    ++Busy;
    Connection->start(std::move(Message), Timeout, std::move(OnChunk),
                      [Self = shared_from_this(), Connection, StartedAt,
                       Done = std::move(Done)](Response Answer,
                                               std::exception_ptr Failure,
                                               bool KeepAlive) {
                        --Self->Busy;
                        if (KeepAlive)
                          Self->putIdle(Connection);
                        if (Failure)
                          Self->closeIdleSince(StartedAt);
                        Done(std::move(Answer), std::move(Failure));
                      });
  }

  std::size_t busy() const { return Busy; }

private:
  std::shared_ptr<ClientConnection> takeIdle() {
    auto OldestUsable = std::chrono::steady_clock::now() - Config.MaxIdle;
    while (!Idle.empty()) {
      auto Connection = std::move(Idle.back());
      Idle.pop_back();
      if (Connection->IdleSince >= OldestUsable && Connection->reusable())
        return Connection;
    }

    return std::make_shared<ClientConnection>(Io, Config);
  }

  /// Closes the connections that have been idle since \p Time or longer.
  /// Connections to a server go silent together; only a timeout shows it, and
  /// each further one would cost another request.
  void closeIdleSince(SteadyTime Time) {
    std::erase_if(Idle, [Time](const auto &Connection) {
      return Connection->IdleSince <= Time;
    });
  }

  void putIdle(std::shared_ptr<ClientConnection> Connection) {
    Connection->IdleSince = std::chrono::steady_clock::now();
    Idle.push_back(std::move(Connection));
  }

  asio::io_context &Io;
  Options Config;
  std::deque<std::shared_ptr<ClientConnection>> Idle;
  std::size_t Busy = 0;
};

Client::Client(asio::io_context &Io, Options Config)
    : State(std::make_shared<Impl>(Io, std::move(Config))) {}

Client::~Client() = default;

void Client::send(Request Message, Millis Timeout, Callback Done) {
  State->start(std::move(Message), Timeout, {}, std::move(Done));
}

void Client::stream(Request Message, Millis Timeout, ChunkCallback OnChunk,
                    Callback Done) {
  State->start(std::move(Message), Timeout, std::move(OnChunk),
               std::move(Done));
}

std::size_t Client::busyConnections() const { return State->busy(); }

Response exchangeBlocking(const Endpoint &Server, Request Message,
                          Millis Timeout) {
  asio::io_context Io(1);
  Client SingleUse(Io, {Server});
  Response Result;
  std::exception_ptr Exception;
  SingleUse.send(std::move(Message), Timeout,
                 [&](Response Answer, std::exception_ptr Failure) {
                   Result = std::move(Answer);
                   Exception = std::move(Failure);
                 });
  Io.run();

  if (Exception)
    std::rethrow_exception(Exception);
  return Result;
}

} // namespace daisyspool::http
