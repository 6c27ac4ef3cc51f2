#ifndef DAISYSPOOL_PLATFORM_BLOCKINGCLIENT_H
#define DAISYSPOOL_PLATFORM_BLOCKINGCLIENT_H

#include "daisyspool/http/Client.h"

#include <boost/asio/io_context.hpp>

namespace daisyspool {

/// HTTP client for one endpoint and a thread that may block. It keeps
/// connections alive.
///
/// A connection whose answer is late or malformed is closed and never reused.
/// The client never repeats a request. For a thread with an I/O context use
/// http::Client.
///
/// Thread safety: one thread per instance.
class BlockingClient {
public:
  explicit BlockingClient(http::Endpoint Server);
  BlockingClient(const BlockingClient &) = delete;
  BlockingClient &operator=(const BlockingClient &) = delete;

  /// Sends \p Outgoing and waits for the answer. \p Timeout bounds connecting,
  /// sending and receiving together. Throws http::ClientError.
  http::Response exchange(http::Request Outgoing, Millis Timeout);

  /// The value of the Host header of every request.
  const std::string &host() const { return Host; }

private:
  std::string Host;
  boost::asio::io_context Io{1};
  http::Client Connections;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_BLOCKINGCLIENT_H
