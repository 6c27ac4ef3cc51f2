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

/// Passes callers' requests between entries, to the one that owns the shard of
/// the request's id.
///
/// Thread safety: call from the request thread only.
class PeerLinks {
public:
  struct Options {
    http::Endpoint Listen;
    ProcessId Process;
    Incarnation Number;
  };

  /// Handles a request that another entry passed on.
  using Handler =
      std::function<void(http::Request, std::shared_ptr<http::Exchange>)>;
  using Callback = std::function<void(http::Response)>;

  PeerLinks(boost::asio::io_context &Io, Options Config, Handler OnForwarded);
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// Opens a link to an owner, so that it is up when the first request comes.
  /// An address that is not an endpoint is ignored.
  void prepare(const std::string &Address);

  /// Passes \p What to the entry at \p Address and calls \p Done once. Without
  /// a link the answer says not-run; without an answer in \p Limit it says
  /// unknown.
  void forward(const std::string &Address, const http::Request &What,
               Duration Limit, Callback Done);

private:
  struct Pending;

  void onReply(const wire::Envelope &What);
  void onDown(const std::string &Address);
  void serve(wire::Envelope What, ReplyPath From);

  boost::asio::io_context &Io;
  Options Config;
  Handler OnForwarded;
  Random Source;
  Listener Port;
  std::map<std::string, std::unique_ptr<Link>> Links;
  std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> Waiting;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_PEERLINKS_H
