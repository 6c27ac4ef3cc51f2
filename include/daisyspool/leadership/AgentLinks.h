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

/// No usable answer; the message may or may not have arrived.
struct SyncFailed {
  std::string Detail;
};
using SyncOutcome = std::variant<runner::SyncReply, SyncFailed>;

/// The port that carries syncs to one agent.
///
/// Thread safety: call from the loop's thread; callbacks run there, each
/// exactly once.
class AgentChannel {
public:
  AgentChannel() = default;
  AgentChannel(const AgentChannel &) = delete;
  AgentChannel &operator=(const AgentChannel &) = delete;
  virtual ~AgentChannel() = default;

  virtual void exchange(const runner::SyncRequest &What, Millis Timeout,
                        std::function<void(SyncOutcome)> Done) = 0;
};

/// Opens a channel to the agent at an address.
using ChannelFactory =
    std::function<std::unique_ptr<AgentChannel>(const http::Endpoint &Agent)>;

/// The leader's conversations with all agents: one sync is always under way to
/// each, and a further one when there are orders.
///
/// Thread safety: call from the loop's thread only. Destroying it ends all
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

  AgentLinks(EventLoop &Loop, ChannelFactory Open, Hooks Callbacks);
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

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_AGENTLINKS_H
