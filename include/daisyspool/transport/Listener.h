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

/// Where an answer goes: the connection on which the question came.
struct ReplyPath {
  std::string Header;
};

/// The accepting end of links from many peers.
///
/// Use one per process. Heartbeats are answered here and never reach the
/// handler. When the ring to the handler is full, a message is passed to
/// \p OnOverflow on the receiving thread, which can refuse it at once.
///
/// Thread safety: reply() from any thread; callbacks as noted.
class Listener {
public:
  struct Options {
    http::Endpoint Listen;
    std::size_t RingCapacity = 4096;
  };

  struct Callbacks {
    /// Runs on the I/O thread.
    std::function<void(wire::Envelope, ReplyPath)> OnMessage;
    /// Runs on the receiving thread; returns the answer to send, if any.
    std::function<std::optional<wire::Envelope>(const wire::Envelope &)>
        OnOverflow;
    /// Runs on the I/O thread.
    std::function<void(const std::string &Detail)> OnProtocolError;
  };

  /// The envelope's identity fields used for heartbeat answers.
  struct Identity {
    ProcessId Process;
    Incarnation Number;
  };

  /// Binds at once. Throws TransportError if the address is in use.
  Listener(boost::asio::io_context &Io, Options Config, Identity Self,
           Callbacks Hooks);
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  ~Listener();

  /// Sends an answer. Returns false if the connection's buffer is full.
  bool reply(const ReplyPath &To, const wire::Envelope &What);

  /// The bound port.
  std::uint16_t port() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

/// nng could not create, bind or dial a socket.
class TransportError : public Error {
  using Error::Error;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TRANSPORT_LISTENER_H
