#ifndef DAISYSPOOL_SRC_HTTP_CONNECTION_H
#define DAISYSPOOL_SRC_HTTP_CONNECTION_H

#include "daisyspool/http/Server.h"
#include "http/Convert.h"
#include "http/RequestReader.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace daisyspool::http {

class Connection;

/// Interface of the server that a connection calls.
class ConnectionOwner {
public:
  ConnectionOwner() = default;
  ConnectionOwner(const ConnectionOwner &) = delete;
  ConnectionOwner &operator=(const ConnectionOwner &) = delete;
  virtual ~ConnectionOwner() = default;

  virtual const Server::Options &options() const = 0;
  virtual InboundBudget &budget() = 0;
  virtual bool draining() const = 0;
  virtual void onRequest(Request Received,
                         std::shared_ptr<Exchange> Answer) = 0;
  virtual void onBadInput(Server::BadInput Kind) = 0;
  virtual void onClosed(const std::shared_ptr<Connection> &Closed) = 0;
};

/// One accepted connection. Reads a request, passes it to its owner, writes the
/// answer, and repeats this while the connection is kept alive.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(boost::asio::ip::tcp::socket Socket,
             std::shared_ptr<ConnectionOwner> Owner);

  /// Admits the connection and reads its first request. Returns false if the
  /// connection must be refused.
  bool start();
  void closeIfIdle();
  bool busy() const { return Busy; }

  void respond(Response Answer);
  void beginStream(Response Head);
  bool writeChunk(std::string Bytes);
  void endStream();
  void onCallerDisconnected(std::function<void()> Callback);
  void closeUnanswered();

private:
  void readNext();
  void readMore();
  void onRead(boost::system::error_code Failure, std::size_t Count);
  void onReadFailed(boost::system::error_code Failure);
  void parse(std::size_t Received);
  void handleRequest(TimePoint Now);
  void refuse(Server::BadInput Kind, Response Answer);
  void discardInput();
  void watchForDisconnect();
  void onSocketReadable(boost::system::error_code Failure,
                        std::uint64_t Exchange);
  void write(bool KeepAlive);
  void writeNextChunk();
  void finishAnswer(bool KeepAlive);
  void close();

  beast::tcp_stream Stream;
  std::shared_ptr<ConnectionOwner> Owner;
  /// Null once the connection is closed.
  std::unique_ptr<InboundShare> Share;
  RequestReader Reader;
  /// Until when the whole request in progress must have arrived.
  TimePoint RequestDeadline;
  std::optional<BeastResponse> Answer;
  std::optional<beast::http::response<beast::http::empty_body>> StreamHead;
  std::optional<beast::http::response_serializer<beast::http::empty_body>>
      HeadSerializer;
  std::deque<std::string> Chunks;
  std::size_t QueuedBytes = 0;
  std::function<void()> DisconnectCallback;
  /// Identifies the current exchange, so that a late socket notification for an
  /// earlier exchange on the same connection is ignored.
  std::uint64_t ExchangeNumber = 0;
  bool Busy = false;
  /// The request was refused before it was read whole.
  bool Refused = false;
  /// Bytes that arrived behind the refusal.
  std::size_t DiscardedBytes = 0;
  bool RequestKeepAlive = false;
  bool Streaming = false;
  bool Writing = false;
  bool StreamEnded = false;
  bool Closed = false;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_SRC_HTTP_CONNECTION_H
