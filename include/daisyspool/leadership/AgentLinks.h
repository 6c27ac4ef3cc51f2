#ifndef DAISYSPOOL_LEADERSHIP_AGENTLINKS_H
#define DAISYSPOOL_LEADERSHIP_AGENTLINKS_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/runner/Sync.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace daisyspool::leadership {

/// The exchange failed; the agent may or may not have received the request.
struct SyncFailed {
  std::string Detail;
};
using SyncOutcome = std::variant<runner::SyncReply, SyncFailed>;

/// Interface for sending sync requests to one agent.
///
/// Thread safety: call from the loop's thread; callbacks run there, each
/// exactly once.
class AgentChannel {
public:
  AgentChannel() = default;
  AgentChannel(const AgentChannel &) = delete;
  AgentChannel &operator=(const AgentChannel &) = delete;
  virtual ~AgentChannel() = default;

  virtual void exchange(const runner::SyncRequest &Request, Millis Timeout,
                        std::function<void(SyncOutcome)> Done) = 0;
};

/// Opens a channel to the agent at an address.
using ChannelFactory =
    std::function<std::unique_ptr<AgentChannel>(const http::Endpoint &Agent)>;

/// Keeps one sync request outstanding to every agent and sends further ones
/// when there are orders.
///
/// Thread safety: call from the loop's thread only. Destroying it abandons all
/// outstanding requests without further callbacks.
class AgentLinks {
public:
  struct Hooks {
    /// Returns the next request to an agent; nothing while none may be sent.
    std::function<std::optional<runner::SyncRequest>(const VmId &)> NextRequest;
    std::function<void(const VmId &, std::uint64_t Number,
                       const runner::SyncReply &)>
        OnReply;
    std::function<void(const VmId &, std::uint64_t Number)> OnFailure;
  };

  AgentLinks(EventLoop &Loop, ChannelFactory OpenChannel, Hooks Callbacks);
  AgentLinks(const AgentLinks &) = delete;
  AgentLinks &operator=(const AgentLinks &) = delete;
  ~AgentLinks();

  /// Starts sending requests to the agent of \p Vm, or switches to its new
  /// address.
  void connect(const VmId &Vm, const http::Endpoint &Agent);

  /// Sends a sync now, even if an earlier one still waits at the agent.
  void send(const VmId &Vm);

private:
  struct Link;
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_AGENTLINKS_H
