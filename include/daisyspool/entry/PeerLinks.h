#ifndef DAISYSPOOL_ENTRY_PEERLINKS_H
#define DAISYSPOOL_ENTRY_PEERLINKS_H

#include "daisyspool/core/Random.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/transport/Link.h"
#include "daisyspool/transport/Listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace daisyspool {

/// Forwards callers' requests to the entry that owns the shard of the request's
/// id, and receives the requests that other entries forward.
///
/// Thread safety: call from the request thread only.
class PeerLinks {
public:
  struct Options {
    http::Endpoint Listen;
    ProcessId Process;
    Incarnation Number;
  };

  /// Handles a request that another entry forwarded.
  using Handler =
      std::function<void(http::Request, std::shared_ptr<http::Exchange>)>;
  using Callback = std::function<void(http::Response)>;

  PeerLinks(boost::asio::io_context &Io, Options Config, Handler OnForwarded);
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// Opens a link to the entry at \p Address ahead of the first request.
  /// Ignores an address that is not an endpoint.
  void openLink(const std::string &Address);

  /// Forwards \p Request to the entry at \p Address and calls \p Done once. The
  /// response says not-run if the link is down, and unknown if no answer comes
  /// within \p Timeout.
  void forward(const std::string &Address, const http::Request &Request,
               Duration Timeout, Callback Done);

private:
  struct PendingForward;

  void onReply(const wire::Envelope &Message);
  void onDown(const std::string &Address);
  void onForwardRequest(wire::Envelope Message, ReplyPath From);

  boost::asio::io_context &Io;
  Options Config;
  Handler OnForwarded;
  Random Source;
  Listener Incoming;
  std::map<std::string, std::unique_ptr<Link>> Links;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingForward>>
      PendingForwards;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_PEERLINKS_H
