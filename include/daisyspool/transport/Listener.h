#ifndef DAISYSPOOL_TRANSPORT_LISTENER_H
#define DAISYSPOOL_TRANSPORT_LISTENER_H

#include "daisyspool/http/Types.h"
#include "daisyspool/wire/Messages.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisyspool {

/// Routing header of a received message, which directs the reply to the
/// connection that the message came from.
struct ReplyPath {
  std::string Header;
};

/// The server end of links from many peers.
///
/// Use one per process. Heartbeats are answered by the listener and not passed
/// to OnMessage. When the queue to the I/O thread is full, a message is passed
/// to OnOverflow on the receiving thread, which can refuse it at once.
///
/// Thread safety: reply() from any thread; callbacks as noted.
class Listener {
public:
  struct Options {
    http::Endpoint Listen;
    /// Received messages that may wait for the I/O thread.
    std::size_t RingCapacity = 4096;
  };

  struct Callbacks {
    /// Runs on the I/O thread.
    std::function<void(wire::Envelope, ReplyPath)> OnMessage;
    /// Runs on the receiving thread; returns the reply to send, if any.
    std::function<std::optional<wire::Envelope>(const wire::Envelope &)>
        OnOverflow;
    /// Runs on the I/O thread, when a message could not be decoded.
    std::function<void(const std::string &Detail)> OnProtocolError;
  };

  /// Sender fields of the envelopes that answer heartbeats.
  struct Identity {
    ProcessId Process;
    Incarnation Number;
  };

  /// Binds and starts receiving. Throws TransportError if the address is in
  /// use.
  Listener(boost::asio::io_context &Io, Options Config, Identity Self,
           Callbacks Hooks);
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  ~Listener();

  /// Sends a reply without blocking. Returns false if it could not be queued
  /// because the send buffer is full.
  bool reply(const ReplyPath &To, const wire::Envelope &Message);

  /// The bound port, also when port 0 was requested.
  std::uint16_t port() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

/// An nng operation failed, for example opening, binding or dialling a socket.
class TransportError : public Error {
  using Error::Error;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TRANSPORT_LISTENER_H
