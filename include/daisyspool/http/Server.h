#ifndef DAISYSPOOL_HTTP_SERVER_H
#define DAISYSPOOL_HTTP_SERVER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/InboundBudget.h"
#include "daisyspool/http/Types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace daisyspool::http {

/// One request in progress. The handler answers it through this object.
///
/// Answer either with respond(), or with beginStream(), any number of
/// writeChunk() calls and endStream(). An exchange that is destroyed before it
/// is answered closes its connection, so that the caller does not wait for an
/// answer that never comes.
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

  /// Queues one chunk. Returns false and drops it if the queued chunks would
  /// exceed StreamBufferBytes, or if the stream has ended or the
  /// connection is closed.
  virtual bool writeChunk(std::string Bytes) = 0;

  /// Ends a chunked answer once the queued chunks are sent.
  virtual void endStream() = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// answer is complete.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
};

/// HTTP/1.1 server for one listening address.
///
/// Use one per port. Malformed, oversized and slow requests never reach the
/// handler: the server answers them with an error or closes the connection. See
/// Exchange next.
///
/// Thread safety: call all methods except the constructor from the I/O thread.
class Server {
public:
  struct Options {
    Endpoint Listen;
    std::size_t MaxHeaderBytes = 16 * 1024;
    std::size_t MaxBodyBytes = 4 * 1024 * 1024;
    std::size_t MaxConnections = 4096;
    std::size_t StreamBufferBytes = 1024 * 1024;
    /// Bytes that the kernel may hold for a connection before they are read; 0
    /// leaves this to the kernel.
    int ReceiveBufferBytes = 0;
    /// The memory and descriptors of the process's connections. Without one the
    /// server has the default limits for itself.
    std::shared_ptr<InboundBudget> Budget = nullptr;
    /// Time limit to receive a whole request after its first byte, and to send
    /// an answer or a chunk.
    Millis TransferTimeout{10000};
    /// Time after which an idle keep-alive connection is closed.
    Millis IdleTimeout{60000};
  };

  /// Why a request or connection was refused without calling the handler.
  enum class BadInput {
    Malformed,
    TooLarge,
    TooSlow,
    TooManyConnections,
    NoMemory
  };

  using Handler = std::function<void(Request, std::shared_ptr<Exchange>)>;
  using BadInputHandler = std::function<void(BadInput)>;

  /// Binds and listens at once. Throws boost::system::system_error if the
  /// address is in use.
  Server(boost::asio::io_context &Io, Options Config, Handler OnRequest,
         BadInputHandler OnBadInput = {});
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  /// The bound address, with the assigned port if Listen has port 0.
  Endpoint endpoint() const;

  /// Stops accepting connections, waits for exchanges in progress to finish,
  /// closes idle connections, then calls \p Done.
  void drain(std::function<void()> Done);

  /// Refuses bodies above \p Bytes from the next request of each connection on.
  /// The memory of one connection may set a lower limit.
  void limitBody(std::size_t Bytes);

  /// Number of exchanges that are not completely answered.
  std::size_t inFlight() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_HTTP_SERVER_H
