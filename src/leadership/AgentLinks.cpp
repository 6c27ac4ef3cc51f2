#include "daisyspool/leadership/AgentLinks.h"

#include "daisyspool/telemetry/Log.h"

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

std::string textOf(const std::exception_ptr &Failure) {
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &Problem) {
    return Problem.what();
  }
}

} // namespace

struct AgentLinks::Link {
  Link(boost::asio::io_context &Io, const http::Endpoint &Agent)
      : Agent(Agent), Timer(Io) {
    http::Client::Options Options;
    Options.Server = Agent;
    Options.MaxConnections = MaxOutstanding;
    Client = std::make_unique<http::Client>(Io, Options);
  }

  http::Endpoint Agent;
  std::unique_ptr<http::Client> Client;
  std::size_t Outstanding = 0;
  bool Up = false;
  boost::asio::steady_timer Timer;
};

class AgentLinks::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, Hooks Callbacks)
      : Io(Io), Callbacks(std::move(Callbacks)) {}

  void connect(const VmId &Vm, const http::Endpoint &Agent) {
    auto &Current = Links[Vm];
    if (Current && Current->Agent == Agent)
      return;

    Current = std::make_shared<Link>(Io, Agent);
    send(Vm, Current);
  }

  void send(const VmId &Vm) {
    auto Found = Links.find(Vm);
    if (Found != Links.end())
      send(Vm, Found->second);
  }

  void close() {
    Closed = true;
    for (auto &[Vm, Each] : Links)
      Each->Timer.cancel();
    Links.clear();
  }

private:
  void send(const VmId &Vm, const std::shared_ptr<Link> &Through) {
    if (Closed || Through->Outstanding >= MaxOutstanding)
      return;
    auto What = Callbacks.Next(Vm);
    if (!What)
      return later(Vm, Through, HoldBack);

    ++Through->Outstanding;
    http::Request Request{"POST",
                          SyncPath,
                          {{"Content-Type", SyncContentType}},
                          runner::encode(*What)};
    Through->Client->send(
        std::move(Request), What->Wait + AnswerSlack,
        [Self = shared_from_this(), Vm, Through, Number = What->Number](
            const http::Response &Answer, const std::exception_ptr &Failure) {
          --Through->Outstanding;
          if (!Self->Closed)
            Self->onAnswer(Vm, Through, Number, Answer, Failure);
        });
  }

  void onAnswer(const VmId &Vm, const std::shared_ptr<Link> &Through,
                std::uint64_t Number, const http::Response &Answer,
                const std::exception_ptr &Failure) {
    auto Current = Links.find(Vm);
    if (Current == Links.end() || Current->second != Through)
      return;
    std::string Detail;
    if (Failure)
      Detail = textOf(Failure);
    else if (Answer.Status != 200)
      Detail = "status " + std::to_string(Answer.Status);
    else
      Detail = take(Vm, Number, Answer.Body);
    if (Closed)
      return;

    if (Detail.empty()) {
      if (!std::exchange(Through->Up, true))
        LogEvent(LogLevel::Info, "agent_up").with("vm", Vm);
      if (Through->Outstanding == 0)
        send(Vm, Through);
      return;
    }
    if (std::exchange(Through->Up, false))
      LogEvent(LogLevel::Warning, "agent_down")
          .with("vm", Vm)
          .with("detail", Detail);
    Callbacks.OnFailure(Vm, Number);
    later(Vm, Through, RetryPause);
  }

  /// Passes an answer on; returns what is wrong with it.
  std::string take(const VmId &Vm, std::uint64_t Number,
                   const std::string &Body) {
    try {
      runner::SyncReply Reply = runner::decodeSyncReply(Body);
      Callbacks.OnReply(Vm, Number, Reply);
      return {};
    } catch (const ProtocolError &Problem) {
      return Problem.what();
    }
  }

  void later(const VmId &Vm, const std::shared_ptr<Link> &Through,
             Millis Pause) {
    Through->Timer.expires_after(Pause);
    Through->Timer.async_wait([Self = shared_from_this(), Vm,
                               Through](boost::system::error_code Failure) {
      auto Current = Self->Links.find(Vm);
      bool Same = Current != Self->Links.end() && Current->second == Through;
      if (!Failure && Same && Through->Outstanding == 0)
        Self->send(Vm, Through);
    });
  }

  boost::asio::io_context &Io;
  Hooks Callbacks;
  std::map<VmId, std::shared_ptr<Link>> Links;
  bool Closed = false;
};

AgentLinks::AgentLinks(boost::asio::io_context &Io, Hooks Callbacks)
    : State(std::make_shared<Impl>(Io, std::move(Callbacks))) {}

AgentLinks::~AgentLinks() { State->close(); }

void AgentLinks::connect(const VmId &Vm, const http::Endpoint &Agent) {
  State->connect(Vm, Agent);
}

void AgentLinks::send(const VmId &Vm) { State->send(Vm); }

} // namespace daisyspool::leadership
