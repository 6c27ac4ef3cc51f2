#ifndef DAISYSPOOL_TRANSPORT_LINK_H
#define DAISYSPOOL_TRANSPORT_LINK_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/wire/Messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisyspool {

/// The client end of a connection to one peer process.
///
/// Use one for each peer. The link sends heartbeats on its connection. After
/// Options::MissedHeartbeats unanswered heartbeats it closes the connection and
/// dials again. A message is sent on one connection only and never carried over
/// to the next one, so no message sent before OnDown can arrive after it. See
/// Listener for the server end.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class Link {
public:
  struct Options {
    http::Endpoint Peer;
    Millis HeartbeatInterval{500};
    /// Unanswered heartbeats after which the connection is closed.
    int MissedHeartbeats = 3;
    /// Received messages that may wait for the I/O thread.
    std::size_t RingCapacity = 4096;
  };

  struct Callbacks {
    std::function<void(wire::Envelope)> OnMessage;
    std::function<void()> OnUp;
    /// The connection was lost. Messages sent on it may or may not have
    /// arrived.
    std::function<void()> OnDown;
    /// A received message could not be decoded or has an unsupported protocol
    /// version, or the socket could not be opened or dialled.
    std::function<void(const std::string &Detail)> OnProtocolError;
  };

  enum class SendResult { Sent, NotConnected, Full };

  Link(boost::asio::io_context &Io, Options Config, Callbacks Hooks);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// Queues \p Message for sending on the connection. Any result except Sent
  /// means that no byte of it was sent or will be sent.
  SendResult send(const wire::Envelope &Message);

  /// Whether the connection is established and not yet found to be lost.
  bool up() const;

  const http::Endpoint &peer() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TRANSPORT_LINK_H
