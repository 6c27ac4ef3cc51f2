#include "http/Connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

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

/// How long a refused caller may take to read the refusal.
constexpr Millis DiscardTime{1000};

constexpr std::size_t MaxDiscardedBytes = 1024 * 1024;

TimePoint now() {
  return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

Connection::Connection(asio::ip::tcp::socket Socket,
                       std::shared_ptr<ConnectionOwner> Owner)
    : Stream(std::move(Socket)), Owner(std::move(Owner)),
      Reader({this->Owner->options().MaxHeaderBytes,
              this->Owner->options().MaxBodyBytes}) {}

bool Connection::start() {
  Share = Owner->budget().open(
      [Self = weak_from_this()](InboundEvent) {
        if (auto Open = Self.lock())
          Open->close();
      },
      now());
  if (!Share)
    return false;
  readNext();
  return true;
}

void Connection::readNext() {
  Reader.limitBody(Owner->options().MaxBodyBytes);
  Reader.startNext();
  Share->idle(now());
  Stream.expires_after(Owner->options().IdleTimeout);
  // A request may have arrived behind the previous one.
  if (Reader.hasBytes()) {
    RequestDeadline = now() + Owner->options().TransferTimeout;
    return parse(0);
  }
  readMore();
}

void Connection::readMore() {
  Stream.async_read_some(
      Reader.prepare(),
      [Self = shared_from_this()](boost::system::error_code Failure,
                                  std::size_t Count) {
        Self->onRead(Failure, Count);
      });
}

void Connection::onRead(boost::system::error_code Failure, std::size_t Count) {
  if (Closed)
    return;
  if (Failure)
    return onReadFailed(Failure);
  if (!Reader.started())
    RequestDeadline = now() + Owner->options().TransferTimeout;
  Reader.commit(Count);
  parse(Count);
}

void Connection::onReadFailed(boost::system::error_code Failure) {
  if (Reader.started() && Failure == beast::error::timeout) {
    Owner->budget().report(InboundEvent::TooSlow);
    Owner->onBadInput(Server::BadInput::TooSlow);
  }
  close();
}

void Connection::parse(std::size_t Received) {
  RequestReader::State State = Reader.parse();
  if (State == RequestReader::State::TooLarge) {
    Owner->budget().report(InboundEvent::TooLarge);
    return refuse(
        Server::BadInput::TooLarge,
        toResponse({413, "too-large",
                    "The request exceeds a limit: " + Reader.exceededLimit(),
                    Execution::NotRun}));
  }
  if (State == RequestReader::State::Malformed) {
    Owner->budget().report(InboundEvent::Malformed);
    return refuse(
        Server::BadInput::Malformed,
        toResponse({400, "malformed-request", "The request could not be read",
                    Execution::NotRun}));
  }

  TimePoint Now = now();
  if (!Share->receive(Reader.heldBytes(), Received,
                      Reader.parser().remainingBytes(), Now)) {
    Response Refusal =
        toResponse({503, "no-memory", "Too many requests are incomplete",
                    Execution::NotRun});
    Refusal.Headers.push_back({"Retry-After", "1"});
    return refuse(Server::BadInput::NoMemory, std::move(Refusal));
  }
  if (State == RequestReader::State::Complete)
    return handleRequest(Now);
  // The idle timeout applies until the first byte. The rest must arrive at a
  // minimum rate and in time, so that a slow sender does not keep its memory.
  Stream.expires_after(std::min(RequestDeadline, Share->tooSlowAt()) - Now);
  readMore();
}

void Connection::handleRequest(TimePoint Now) {
  Busy = true;
  ++ExchangeNumber;
  Stream.expires_never();
  // The body stays accounted for while the request is processed.
  Share->process(Now);
  RequestKeepAlive = Reader.parser().keep_alive();
  watchForDisconnect();
  Owner->onRequest(std::move(Reader.parser().Message),
                   std::make_shared<ConnectionExchange>(shared_from_this()));
}

void Connection::refuse(Server::BadInput Kind, Response Answer) {
  Owner->onBadInput(Kind);
  Busy = true;
  Refused = true;
  RequestKeepAlive = false;
  // A refused request holds no memory while its refusal is sent.
  Reader.drop();
  respond(std::move(Answer));
}

/// Reads and drops what is still arriving, for a limited time. Closing a
/// connection with unread bytes resets it, and the caller would lose the
/// refusal.
void Connection::discardInput() {
  Stream.async_read_some(
      Reader.prepareDiscard(),
      [Self = shared_from_this()](boost::system::error_code Failure,
                                  std::size_t Count) {
        if (Self->Closed)
          return;
        Self->DiscardedBytes += Count;
        if (Failure || Self->DiscardedBytes > MaxDiscardedBytes)
          return Self->close();
        Self->discardInput();
      });
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

  // Bytes behind the request are read, as a closed connection would not be
  // seen behind them and the kernel would hold any number of them.
  auto Space = Reader.prepareNext();
  if (Space.size() == 0) {
    Owner->budget().report(InboundEvent::TooManyPipelined);
    return close();
  }
  boost::system::error_code ReadFailure;
  Stream.socket().non_blocking(true, ReadFailure);
  std::size_t Read = Stream.socket().receive(Space, 0, ReadFailure);
  if (Read > 0 || ReadFailure == asio::error::would_block) {
    Reader.commit(Read);
    return watchForDisconnect();
  }

  auto Callback = std::move(DisconnectCallback);
  DisconnectCallback = nullptr;
  if (Callback)
    Callback();
}

void Connection::respond(Response Reply) {
  if (Closed)
    return;

  Answer.emplace();
  Answer->version(Reader.parser().Version);
  Answer->result(static_cast<unsigned>(Reply.Status));
  setHeaders(*Answer, Reply.Headers);
  Answer->body() = std::move(Reply.Body);
  // The handler may ask for the end of the connection by "Connection: close".
  Answer->keep_alive(RequestKeepAlive && !Owner->draining() &&
                     Answer->keep_alive());
  Answer->prepare_payload();
  Share->send(Answer->body().size() + Reader.heldBytes(), now());
  write(Answer->keep_alive());
}

void Connection::write(bool KeepAlive) {
  Stream.expires_after(Owner->options().TransferTimeout);
  beast::http::async_write(
      Stream, *Answer,
      [Self = shared_from_this(), KeepAlive](boost::system::error_code Failure,
                                             std::size_t) {
        if (Failure == beast::error::timeout)
          Self->Owner->budget().report(InboundEvent::TooSlow);
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
  Share->send(QueuedBytes, now());
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
  if (Closed)
    return;
  Busy = false;
  DisconnectCallback = nullptr;
  Answer.reset();
  boost::system::error_code Ignored;
  Stream.socket().cancel(Ignored);
  if (KeepAlive)
    return readNext();
  if (!Refused)
    return close();
  Share->idle(now());
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Stream.expires_after(DiscardTime);
  discardInput();
}

void Connection::closeIfIdle() {
  if (!Busy && (Refused || !Reader.started()))
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
  Share.reset();
  Owner->onClosed(shared_from_this());
}

} // namespace daisyspool::http
