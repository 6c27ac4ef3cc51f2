#include "daisyspool/leadership/AgentLinks.h"

#include "daisyspool/telemetry/Log.h"

#include <map>
#include <utility>

namespace daisyspool::leadership {

namespace {

/// Beyond the wait that a sync asks for; a slow agent answers late.
constexpr Millis AnswerSlack{1000};
/// Pause before the next sync after one that failed.
constexpr Millis RetryPause{200};
/// Pause while no message may be sent.
constexpr Millis HoldBack{100};
/// A sync that waits and one with orders, each followed by another while the
/// answer is on its way.
constexpr std::size_t MaxOutstanding = 4;

} // namespace

struct AgentLinks::Link {
  http::Endpoint Agent;
  std::unique_ptr<AgentChannel> Channel;
  std::unique_ptr<Timer> Pause;
  std::size_t Outstanding = 0;
  bool Up = false;
};

class AgentLinks::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, ChannelFactory Open, Hooks Callbacks)
      : Loop(Loop), Open(std::move(Open)), Callbacks(std::move(Callbacks)) {}

  void connect(const VmId &Vm, const http::Endpoint &Agent) {
    auto &Current = Links[Vm];
    if (Current && Current->Agent == Agent)
      return;

    Current = std::make_shared<Link>();
    Current->Agent = Agent;
    Current->Channel = Open(Agent);
    Current->Pause = Loop.timer();
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

  void send(const VmId &Vm, const LinkPtr &Through) {
    if (Closed || Through->Outstanding >= MaxOutstanding)
      return;
    auto What = Callbacks.Next(Vm);
    if (!What)
      return later(Vm, Through, HoldBack);

    ++Through->Outstanding;
    Through->Channel->exchange(
        *What, What->Wait + AnswerSlack,
        [Self = shared_from_this(), Vm, Through,
         Number = What->Number](const SyncOutcome &Outcome) {
          --Through->Outstanding;
          auto Current = Self->Links.find(Vm);
          if (Current != Self->Links.end() && Current->second == Through)
            Self->onOutcome(Vm, Through, Number, Outcome);
        });
  }

  void onOutcome(const VmId &Vm, const LinkPtr &Through, std::uint64_t Number,
                 const SyncOutcome &Outcome) {
    if (const auto *Reply = std::get_if<runner::SyncReply>(&Outcome)) {
      if (!std::exchange(Through->Up, true))
        LogEvent(LogLevel::Info, "agent_up").with("vm", Vm);
      Callbacks.OnReply(Vm, Number, *Reply);
      if (!Closed && Through->Outstanding == 0)
        send(Vm, Through);
      return;
    }
    if (std::exchange(Through->Up, false))
      LogEvent(LogLevel::Warning, "agent_down")
          .with("vm", Vm)
          .with("detail", std::get<SyncFailed>(Outcome).Detail);
    Callbacks.OnFailure(Vm, Number);
    later(Vm, Through, RetryPause);
  }

  void later(const VmId &Vm, const LinkPtr &Through, Millis Pause) {
    if (Closed)
      return;
    Through->Pause->start(Pause, [Self = shared_from_this(), Vm,
                                  Weak = std::weak_ptr<Link>(Through)] {
      auto Again = Weak.lock();
      if (Again && Again->Outstanding == 0)
        Self->send(Vm, Again);
    });
  }

  EventLoop &Loop;
  ChannelFactory Open;
  Hooks Callbacks;
  std::map<VmId, LinkPtr> Links;
  bool Closed = false;
};

AgentLinks::AgentLinks(EventLoop &Loop, ChannelFactory Open, Hooks Callbacks)
    : State(std::make_shared<Impl>(Loop, std::move(Open),
                                   std::move(Callbacks))) {}

AgentLinks::~AgentLinks() { State->close(); }

void AgentLinks::connect(const VmId &Vm, const http::Endpoint &Agent) {
  State->connect(Vm, Agent);
}

void AgentLinks::send(const VmId &Vm) { State->send(Vm); }

} // namespace daisyspool::leadership
