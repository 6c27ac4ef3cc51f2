#ifndef DAISYSPOOL_HTTP_SERVER_H
#define DAISYSPOOL_HTTP_SERVER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace daisyspool::http {

/// One request in progress and the way to answer it.
///
/// Answer either with respond(), or with beginStream(), any number of
/// writeChunk() calls and endStream(). An exchange that is dropped unanswered
/// closes its connection, so that the caller never waits for nothing.
///
/// Thread safety: call from the server's I/O thread only.
class Exchange {
public:
  Exchange() = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  virtual ~Exchange() = default;

  /// Sends the whole answer. Precondition: nothing was sent before.
  virtual void respond(Response Answer) = 0;

  /// Sends status and headers of a chunked answer; its body is ignored.
  /// Precondition: nothing was sent before.
  virtual void beginStream(Response Head) = 0;

  /// Queues one chunk. Returns false, sending nothing, when the caller is more
  /// than the server's stream buffer behind or has left.
  virtual bool writeChunk(std::string Bytes) = 0;

  /// Ends a chunked answer after the queued chunks.
  virtual void endStream() = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// answer is complete.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
};

/// HTTP/1.1 server for one listening address.
///
/// Use one per port. Malformed, oversized and slow requests are answered or
/// closed by the server and never reach the handler. See Exchange next.
///
/// Thread safety: all methods from the I/O thread, except the constructor.
class Server {
public:
  struct Options {
    Endpoint Listen;
    std::size_t MaxHeaderBytes = 16 * 1024;
    std::size_t MaxBodyBytes = 4 * 1024 * 1024;
    std::size_t MaxConnections = 4096;
    std::size_t StreamBufferBytes = 1024 * 1024;
    /// Time for a started request to arrive whole, and for an answer or chunk
    /// to be taken by the caller.
    Millis TransferTimeout{10000};
    /// Time that an idle keep-alive connection stays open.
    Millis IdleTimeout{60000};
  };

  /// Why a connection's request was refused before the handler saw it.
  enum class BadInput { Malformed, TooLarge, TooSlow, TooManyConnections };

  using Handler = std::function<void(Request, std::shared_ptr<Exchange>)>;
  using BadInputHandler = std::function<void(BadInput)>;

  /// Binds and listens at once. Throws boost::system::system_error if the
  /// address is in use.
  Server(boost::asio::io_context &Io, Options Config, Handler OnRequest,
         BadInputHandler OnBadInput = {});
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// The bound address, with the real port when port 0 was asked for.
  Endpoint endpoint() const;

  /// Stops accepting, lets exchanges in progress finish, closes idle
  /// connections, then calls \p Done.
  void drain(std::function<void()> Done);

  /// Exchanges that have not been answered completely.
  std::size_t inFlight() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_HTTP_SERVER_H
