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

/// The dialling end of one connection to one peer process.
///
/// Use one for each peer. The link sends a heartbeat on its own connection;
/// when three stay unanswered the connection counts as silent, is closed and
/// dialled again. A message is sent on one connection only and is never
/// carried over to the next, so after onDown() nothing sent before can still
/// arrive. See Listener for the other end.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class Link {
public:
  struct Options {
    http::Endpoint Peer;
    Millis HeartbeatInterval{500};
    int MissedHeartbeats = 3;
    std::size_t RingCapacity = 4096;
  };

  struct Callbacks {
    std::function<void(wire::Envelope)> OnMessage;
    std::function<void()> OnUp;
    /// Everything sent before may or may not have arrived.
    std::function<void()> OnDown;
    /// A message that could not be decoded, or from another version.
    std::function<void(const std::string &Detail)> OnProtocolError;
  };

  enum class SendResult { Sent, NotConnected, Full };

  Link(boost::asio::io_context &Io, Options Config, Callbacks Hooks);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// Hands \p What to the connection. Anything but Sent means that not one
  /// byte was sent and nothing will be.
  SendResult send(const wire::Envelope &What);

  /// Whether the connection is established and not known to be silent.
  bool up() const;

  const http::Endpoint &peer() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TRANSPORT_LINK_H
