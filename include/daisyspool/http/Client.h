#ifndef DAISYSPOOL_HTTP_CLIENT_H
#define DAISYSPOOL_HTTP_CLIENT_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>

namespace daisyspool::http {

/// HTTP/1.1 client that keeps connections to one endpoint alive.
///
/// Use one per endpoint and I/O thread. A connection whose answer is late is
/// closed and never reused, as no answer may ever arrive on it. The client
/// never repeats a request. For a single call from a thread without an I/O
/// context, use exchangeBlocking().
///
/// Thread safety: call from the I/O thread only.
class Client {
public:
  struct Options {
    Endpoint Server;
    /// Requests beyond this number of concurrent ones fail at once with
    /// ClientError::Kind::NotSent.
    std::size_t MaxConnections = 64;
    std::size_t MaxBodyBytes = 64 * 1024 * 1024;
    /// A connection that was idle for longer than this is not reused.
    Millis MaxIdle{5000};
  };

  /// \p Failure is null on success; otherwise the response is meaningless.
  using Callback = std::function<void(Response, std::exception_ptr Failure)>;
  /// Receives each piece of a streamed body. Returning false closes the
  /// connection, and the request fails with ClientError::Kind::NoAnswer.
  using ChunkCallback = std::function<bool(std::string Bytes)>;

  Client(boost::asio::io_context &Io, Options Config);
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  ~Client();

  /// Sends \p Message and calls \p Done once, with a ClientError on failure.
  /// \p Timeout bounds connecting, sending and receiving together. After a
  /// failure no connection that was idle before is reused.
  void send(Request Message, Millis Timeout, Callback Done);

  /// As send(), but passes each piece of the body to \p OnChunk as it arrives
  /// and leaves the body of the response empty. \p Timeout bounds the wait for
  /// the response head and then for each piece.
  void stream(Request Message, Millis Timeout, ChunkCallback OnChunk,
              Callback Done);

  /// Number of connections with a request in progress.
  std::size_t busyConnections() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

/// Sends one request on a new connection and waits for the answer.
///
/// Thread safety: safe from any thread. Throws ClientError.
Response exchangeBlocking(const Endpoint &Server, Request Message,
                          Millis Timeout);

} // namespace daisyspool::http

#endif // DAISYSPOOL_HTTP_CLIENT_H
