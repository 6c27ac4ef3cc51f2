#include "http/Connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

#include <cassert>

namespace daisyspool::http {

namespace asio = boost::asio;

namespace {

/// Exchange of the request in progress on a connection. Closes the connection
/// if it is destroyed unanswered.
class ConnectionExchange final : public Exchange {
public:
  explicit ConnectionExchange(std::shared_ptr<Connection> Underlying)
      : Underlying(std::move(Underlying)) {}

  ~ConnectionExchange() override {
    if (!Answered)
      Underlying->closeUnanswered();
  }

  void respond(Response Answer) override {
    assert(!Answered);
    Answered = true;
    Underlying->respond(std::move(Answer));
  }

  void beginStream(Response Head) override {
    assert(!Answered);
    Underlying->beginStream(std::move(Head));
  }

  bool writeChunk(std::string Bytes) override {
    return Underlying->writeChunk(std::move(Bytes));
  }

  void endStream() override {
    Answered = true;
    Underlying->endStream();
  }

  void onCallerDisconnected(std::function<void()> Callback) override {
    Underlying->onCallerDisconnected(std::move(Callback));
  }

private:
  std::shared_ptr<Connection> Underlying;
  bool Answered = false;
};

} // namespace

Connection::Connection(asio::ip::tcp::socket Socket,
                       std::shared_ptr<ConnectionOwner> Owner)
    : Stream(std::move(Socket)), Owner(std::move(Owner)) {
  Buffer.reserve(ReadBufferBytes);
}

void Connection::readNext() {
  Parser.emplace();
  Parser->header_limit(
      static_cast<std::uint32_t>(Owner->options().MaxHeaderBytes));
  Parser->body_limit(Owner->options().MaxBodyBytes);
  Stream.expires_after(Owner->options().IdleTimeout);

  // The idle timeout applies until the first byte. The rest of the request must
  // arrive within the transfer timeout, so that a slow sender cannot occupy the
  // connection.
  beast::http::async_read_some(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](boost::system::error_code Failure,
                                  std::size_t) {
        if (Failure || Self->Parser->is_done()) {
          Self->onRead(Failure);
          return;
        }
        Self->Stream.expires_after(Self->Owner->options().TransferTimeout);
        beast::http::async_read(
            Self->Stream, Self->Buffer, *Self->Parser,
            [Self](boost::system::error_code ReadFailure, std::size_t) {
              Self->onRead(ReadFailure);
            });
      });
}

void Connection::onRead(boost::system::error_code Failure) {
  namespace http_error = beast::http;
  if (Failure == http_error::error::end_of_stream ||
      Failure == asio::error::operation_aborted ||
      Failure == asio::error::connection_reset)
    return close();
  if (Failure == beast::error::timeout) {
    if (Parser->got_some())
      Owner->onBadInput(Server::BadInput::TooSlow);
    return close();
  }
  if (Failure == http_error::error::body_limit ||
      Failure == http_error::error::header_limit)
    return refuse(Server::BadInput::TooLarge, 413);
  if (Failure)
    return refuse(Server::BadInput::Malformed, 400);

  Busy = true;
  ++ExchangeNumber;
  Stream.expires_never();
  const auto &Message = Parser->get();
  RequestKeepAlive = Message.keep_alive();
  HttpVersion = Message.version();
  Request Received{toText(Message.method_string()),
                   toText(Message.target()),
                   toHeaders(Message),
                   {}};
  Received.Body = std::move(Parser->get().body());
  watchForDisconnect();
  Owner->onRequest(std::move(Received),
                   std::make_shared<ConnectionExchange>(shared_from_this()));
}

void Connection::refuse(Server::BadInput Kind, int Status) {
  Owner->onBadInput(Kind);
  Busy = true;
  RequestKeepAlive = false;
  const char *Type = Status == 413 ? "too-large" : "malformed-request";
  respond(toResponse(
      {Status, Type, "The request could not be read", Execution::NotRun}));
}

/// The socket becomes readable when the caller closes its end while it waits
/// for the answer.
void Connection::watchForDisconnect() {
  Stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this(),
       Number = ExchangeNumber](boost::system::error_code Failure) {
        Self->onSocketReadable(Failure, Number);
      });
}

void Connection::onSocketReadable(boost::system::error_code Failure,
                                  std::uint64_t Exchange) {
  if (Failure || !Busy || Exchange != ExchangeNumber)
    return;

  char Byte = 0;
  boost::system::error_code ReadFailure;
  Stream.socket().non_blocking(true, ReadFailure);
  std::size_t Read = Stream.socket().receive(
      asio::buffer(&Byte, 1), asio::socket_base::message_peek, ReadFailure);
  if (Read > 0 || ReadFailure == asio::error::would_block)
    return;

  auto Callback = std::move(DisconnectCallback);
  DisconnectCallback = nullptr;
  if (Callback)
    Callback();
}

void Connection::respond(Response Reply) {
  if (Closed)
    return;

  Answer.emplace();
  Answer->version(HttpVersion);
  Answer->result(static_cast<unsigned>(Reply.Status));
  setHeaders(*Answer, Reply.Headers);
  Answer->body() = std::move(Reply.Body);
  // The handler may ask for the end of the connection by "Connection: close".
  Answer->keep_alive(RequestKeepAlive && !Owner->draining() &&
                     Answer->keep_alive());
  Answer->prepare_payload();
  write(Answer->keep_alive());
}

void Connection::write(bool KeepAlive) {
  Stream.expires_after(Owner->options().TransferTimeout);
  beast::http::async_write(Stream, *Answer,
                           [Self = shared_from_this(), KeepAlive](
                               boost::system::error_code Failure, std::size_t) {
                             Self->finishAnswer(KeepAlive && !Failure);
                           });
}

void Connection::beginStream(Response Head) {
  if (Closed)
    return;

  Streaming = true;
  Writing = true;
  StreamHead.emplace();
  StreamHead->version(11);
  StreamHead->result(static_cast<unsigned>(Head.Status));
  setHeaders(*StreamHead, Head.Headers);
  StreamHead->chunked(true);
  StreamHead->keep_alive(false);
  HeadSerializer.emplace(*StreamHead);
  beast::http::async_write_header(
      Stream, *HeadSerializer,
      [Self = shared_from_this()](boost::system::error_code Failure,
                                  std::size_t) {
        Self->Writing = false;
        if (Failure)
          return Self->close();
        Self->writeNextChunk();
      });
}

bool Connection::writeChunk(std::string Bytes) {
  assert(Streaming);
  if (Closed || StreamEnded ||
      QueuedBytes + Bytes.size() > Owner->options().StreamBufferBytes)
    return false;
  if (Bytes.empty())
    return true;

  QueuedBytes += Bytes.size();
  Chunks.push_back(std::move(Bytes));
  writeNextChunk();
  return true;
}

void Connection::writeNextChunk() {
  if (Writing || Closed)
    return;
  if (Chunks.empty() && !StreamEnded)
    return;

  Writing = true;
  Stream.expires_after(Owner->options().TransferTimeout);
  auto Self = shared_from_this();
  if (Chunks.empty()) {
    asio::async_write(Stream, beast::http::make_chunk_last(),
                      [Self](boost::system::error_code, std::size_t) {
                        Self->finishAnswer(false);
                      });
    return;
  }

  asio::async_write(Stream,
                    beast::http::make_chunk(asio::buffer(Chunks.front())),
                    [Self](boost::system::error_code Failure, std::size_t) {
                      Self->Writing = false;
                      if (Failure)
                        return Self->close();
                      Self->QueuedBytes -= Self->Chunks.front().size();
                      Self->Chunks.pop_front();
                      Self->Stream.expires_never();
                      Self->writeNextChunk();
                    });
}

void Connection::endStream() {
  StreamEnded = true;
  writeNextChunk();
}

void Connection::onCallerDisconnected(std::function<void()> Callback) {
  DisconnectCallback = std::move(Callback);
}

void Connection::closeUnanswered() {
  if (Busy)
    close();
}

void Connection::finishAnswer(bool KeepAlive) {
  Busy = false;
  DisconnectCallback = nullptr;
  if (!KeepAlive)
    return close();

  boost::system::error_code Ignored;
  Stream.socket().cancel(Ignored);
  readNext();
}

void Connection::closeIfIdle() {
  if (!Busy && !(Parser && Parser->got_some()))
    close();
}

void Connection::close() {
  if (Closed)
    return;

  Closed = true;
  Busy = false;
  auto Callback = std::move(DisconnectCallback);
  DisconnectCallback = nullptr;
  if (Callback)
    Callback();

  boost::system::error_code Ignored;
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Stream.close();
  Owner->onClosed(shared_from_this());
}

} // namespace daisyspool::http
