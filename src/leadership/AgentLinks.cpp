#include "daisyspool/leadership/AgentLinks.h"

#include "daisyspool/telemetry/Log.h"

#include <map>
#include <utility>

namespace daisyspool::leadership {

namespace {

/// Added to the wait that a sync asks for, as a slow agent answers late.
constexpr Millis ReplyMargin{1000};
/// Delay before the next sync after a failed one.
constexpr Millis RetryPause{200};
/// Delay before the next attempt while no request may be sent.
constexpr Millis BlockedPause{100};
/// Per agent: a sync that waits for changes and one with orders, each twice, as
/// the next one is sent while the reply is in flight.
constexpr std::size_t MaxOutstanding = 4;

} // namespace

struct AgentLinks::Link {
  http::Endpoint Agent;
  std::unique_ptr<AgentChannel> Channel;
  std::unique_ptr<Timer> PauseTimer;
  std::size_t Outstanding = 0;
  bool Up = false;
};

class AgentLinks::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, ChannelFactory OpenChannel, Hooks Callbacks)
      : Loop(Loop), OpenChannel(std::move(OpenChannel)),
        Callbacks(std::move(Callbacks)) {}

  void connect(const VmId &Vm, const http::Endpoint &Agent) {
    auto &Current = Links[Vm];
    if (Current && Current->Agent == Agent)
      return;

    Current = std::make_shared<Link>();
    Current->Agent = Agent;
    Current->Channel = OpenChannel(Agent);
    Current->PauseTimer = Loop.timer();
    send(Vm, Current);
  }

  void send(const VmId &Vm) {
    auto Found = Links.find(Vm);
    if (Found != Links.end())
      send(Vm, Found->second);
  }

  void close() {
    Closed = true;
    Links.clear();
  }

private:
  using LinkPtr = std::shared_ptr<Link>;

  void send(const VmId &Vm, const LinkPtr &AgentLink) {
    if (Closed || AgentLink->Outstanding >= MaxOutstanding)
      return;
    auto Request = Callbacks.NextRequest(Vm);
    if (!Request)
      return sendLater(Vm, AgentLink, BlockedPause);

    ++AgentLink->Outstanding;
    AgentLink->Channel->exchange(
        *Request, Request->Wait + ReplyMargin,
        [Self = shared_from_this(), Vm, AgentLink,
         Number = Request->Number](const SyncOutcome &Outcome) {
          --AgentLink->Outstanding;
          auto Current = Self->Links.find(Vm);
          if (Current != Self->Links.end() && Current->second == AgentLink)
            Self->onOutcome(Vm, AgentLink, Number, Outcome);
        });
  }

  void onOutcome(const VmId &Vm, const LinkPtr &AgentLink, std::uint64_t Number,
                 const SyncOutcome &Outcome) {
    if (const auto *Reply = std::get_if<runner::SyncReply>(&Outcome)) {
      if (!std::exchange(AgentLink->Up, true))
        LogEvent(LogLevel::Info, "agent_up").with("vm", Vm);
      Callbacks.OnReply(Vm, Number, *Reply);
      if (!Closed && AgentLink->Outstanding == 0)
        send(Vm, AgentLink);
      return;
    }
    if (std::exchange(AgentLink->Up, false))
      LogEvent(LogLevel::Warning, "agent_down")
          .with("vm", Vm)
          .with("detail", std::get<SyncFailed>(Outcome).Detail);
    Callbacks.OnFailure(Vm, Number);
    sendLater(Vm, AgentLink, RetryPause);
  }

  void sendLater(const VmId &Vm, const LinkPtr &AgentLink, Millis Pause) {
    if (Closed)
      return;
    AgentLink->PauseTimer->start(
        Pause,
        [Self = shared_from_this(), Vm, Weak = std::weak_ptr<Link>(AgentLink)] {
          auto Locked = Weak.lock();
          if (Locked && Locked->Outstanding == 0)
            Self->send(Vm, Locked);
        });
  }

  EventLoop &Loop;
  ChannelFactory OpenChannel;
  Hooks Callbacks;
  std::map<VmId, LinkPtr> Links;
  bool Closed = false;
};

AgentLinks::AgentLinks(EventLoop &Loop, ChannelFactory OpenChannel,
                       Hooks Callbacks)
    : State(std::make_shared<Impl>(Loop, std::move(OpenChannel),
                                   std::move(Callbacks))) {}

AgentLinks::~AgentLinks() { State->close(); }

void AgentLinks::connect(const VmId &Vm, const http::Endpoint &Agent) {
  State->connect(Vm, Agent);
}

void AgentLinks::send(const VmId &Vm) { State->send(Vm); }

} // namespace daisyspool::leadership
