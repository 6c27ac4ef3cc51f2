#ifndef DAISYSPOOL_LEADERSHIP_AGENTLINKS_H
#define DAISYSPOOL_LEADERSHIP_AGENTLINKS_H

#include "daisyspool/http/Client.h"
#include "daisyspool/runner/Sync.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace daisyspool::leadership {

/// The leader's conversations with all agents: one sync is always under way to
/// each, and a further one when there are orders.
///
/// Thread safety: call from the I/O thread only. Destroying it ends all
/// conversations without further callbacks.
class AgentLinks {
public:
  struct Hooks {
    /// The next message to an agent; nothing while no message may be sent.
    std::function<std::optional<runner::SyncRequest>(const VmId &)> Next;
    std::function<void(const VmId &, std::uint64_t Number,
                       const runner::SyncReply &)>
        OnReply;
    std::function<void(const VmId &, std::uint64_t Number)> OnFailure;
  };

  AgentLinks(boost::asio::io_context &Io, Hooks Callbacks);
  AgentLinks(const AgentLinks &) = delete;
  AgentLinks &operator=(const AgentLinks &) = delete;
  ~AgentLinks();

  /// Begins or moves the conversation with the agent of \p Vm.
  void connect(const VmId &Vm, const http::Endpoint &Agent);

  /// Sends a sync now, beside one that waits for news.
  void send(const VmId &Vm);

private:
  struct Link;
  class Impl;
  std::shared_ptr<Impl> State;
};

/// The path and content type of a sync between our processes.
inline constexpr const char *SyncPath = "/sync";
inline constexpr const char *SyncContentType = "application/msgpack";

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_AGENTLINKS_H
