#include "daisyspool/agent/AgentProcess.h"

#include "daisyspool/agent/Announcer.h"
#include "daisyspool/agent/TargetProxy.h"
#include "daisyspool/agent/TaskDuty.h"
#include "daisyspool/commitments/RequestLedger.h"
#include "daisyspool/gossip/GossipDuty.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/process/DutySet.h"
#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Metrics.h"
#include "daisyspool/transport/Listener.h"
#include "daisyspool/wire/ForwardedCall.h"
#include "daisyspool/worker/HttpWorker.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <optional>

namespace daisyspool {

namespace {

namespace asio = boost::asio;

/// The duty that serves the target: links from entries, the target's
/// connections, and the announcements.
class TargetDuty {
public:
  TargetDuty(asio::io_context &Io, asio::io_context &TaskIo,
             asio::io_context &GossipIo, const AgentSettings &Settings,
             const Clock &Time)
      : Settings(Settings),
        Time(Time), Self{Settings.Process,
                         Incarnation(static_cast<std::uint64_t>(
                             Time.wallNow().count()))},
        Proxy(Io, Time,
              {Settings.Service, Settings.Target, Settings.Slots,
               Settings.Connections, 2 * Settings.Slots}),
        Ledger(Settings.Vm, Self.Number, ledgerSettings()),
        Links(Io, {Settings.Links}, Self, linkCallbacks()),
        Outputs(std::make_shared<Inbox<TaskOutput>>(
            Io, OutputRingCapacity,
            [this](TaskOutput Output) { sendToOwner(Output); })),
        Tasks(TaskIo, Time,
              {Settings.Vm, Self.Number, Settings.Capacity, Settings.Shards,
               Settings.TaskLease},
              std::make_unique<HttpWorker>(
                  HttpWorker::Options{Settings.Worker, Settings.TaskLease / 10},
                  Time),
              [this](TaskOutput Output) { Outputs->tryPush(Output); }),
        LeaveTimer(Io), Gossip(GossipIo, Time, gossipOptions(), {}),
        TargetAnnouncer(Io, Settings.Balancer, announcement(),
                        Settings.AnnounceInterval,
                        [this](std::vector<http::Endpoint> Seeds) {
                          Gossip.join(std::move(Seeds));
                        }),
        MetricsPort(Io, metricsOptions(),
                    [this](http::Request Received,
                           std::shared_ptr<http::Exchange> Answer) {
                      serveMetrics(Received, *Answer);
                    }) {}

  /// Stops new work, tells the entries, and calls \p Done when all requests in
  /// progress have ended.
  void drain(std::function<void()> Done) {
    LogEvent(LogLevel::Info, "agent_draining")
        .with("bound_ms", Settings.DrainBound.count());
    LeavingSince = std::chrono::steady_clock::now();
    Gossip.drain();
    TargetAnnouncer.leave();
    Proxy.drain(Settings.DrainBound,
                [this, Done = std::move(Done)] { finishLeaving(Done); });
  }

private:
  // Entries that do not know yet that the agent is leaving still send requests,
  // which must be refused as not run rather than lost. The grace period also
  // lets nng send the last buffered answers.
  static constexpr Millis LeaveGrace{3000};
  // A claimed request is not cancelled at its caller's deadline, because its
  // outcome must be known if the caller retries.
  static constexpr std::chrono::minutes ClaimedRequestTimeout{30};
  static constexpr std::size_t OutputRingCapacity = 4096;

  void finishLeaving(const std::function<void()> &Done) {
    LeaveTimer.expires_at(LeavingSince + LeaveGrace);
    LeaveTimer.async_wait([Done](boost::system::error_code Failure) {
      if (!Failure)
        Done();
    });
  }

  Listener::Callbacks linkCallbacks() {
    Listener::Callbacks Hooks;
    Hooks.OnMessage = [this](wire::Envelope Message, ReplyPath From) {
      dispatch(std::move(Message), std::move(From));
    };
    Hooks.OnOverflow = [this](const wire::Envelope &Message) {
      return refuseOverflow(Message);
    };
    Hooks.OnProtocolError = [](const std::string &Detail) {
      LogEvent(LogLevel::Warning, "protocol_error").with("detail", Detail);
    };
    return Hooks;
  }

  void dispatch(wire::Envelope Message, ReplyPath From) {
    AttemptKey Key{Message.From, Message.SenderIncarnation, {}};
    if (auto *Request = std::get_if<wire::ServeRequest>(&Message.Content)) {
      if (!isAddressedToSelf(Request->ReceiverIncarnation))
        return refuseWrongIncarnation(Request->Attempt, From);
      Key.Attempt = Request->Attempt;
      RequestsTotal.Increment();
      return Proxy.serve(std::move(Key), std::move(*Request), Repeatable::Yes,
                         replyTo(std::move(From)));
    }
    if (const auto *Cancel =
            std::get_if<wire::CancelAttempt>(&Message.Content)) {
      Key.Attempt = Cancel->Attempt;
      return Proxy.cancel(Key);
    }
    if (routeToTasks(Message))
      return;
    if (const auto *Notice = std::get_if<wire::ShardNotice>(&Message.Content))
      return updateOwners(*Notice, From);
    if (const auto *Order = std::get_if<RunOrder>(&Message.Content))
      return runClaimed(*Order, std::move(From));
    if (const auto *Query = std::get_if<QueryOrder>(&Message.Content)) {
      send(From, Ledger.query(*Query, Time.now()));
      return;
    }

    LogEvent(LogLevel::Warning, "unexpected_message")
        .with("from", Message.From)
        .with("type", static_cast<std::int64_t>(Message.Content.index()));
  }

  bool isAddressedToSelf(Incarnation Receiver) const {
    return Receiver == Incarnation{} || Receiver == Self.Number;
  }

  void refuseWrongIncarnation(wire::AttemptId Attempt, const ReplyPath &To) {
    wire::ServeReply Refusal;
    Refusal.Attempt = Attempt;
    Refusal.Outcome = wire::ServeOutcome::Refused;
    Refusal.Reason = wire::RefusalReason::WrongIncarnation;
    Refusal.Load = Proxy.load();
    send(To, Refusal);
  }

  template <typename Content> void send(const ReplyPath &To, Content Payload) {
    if (!Links.reply(To, {Self.Process, Self.Number, {}, std::move(Payload)}))
      LogEvent(LogLevel::Warning, "reply_dropped")
          .with("type",
                static_cast<std::int64_t>(wire::Message(Content{}).index()));
  }

  /// Passes an order for tasks to the duty that runs them. A full ring drops
  /// it; owners repeat their orders.
  bool routeToTasks(const wire::Envelope &Message) {
    std::optional<TaskInput> Order;
    if (const auto *Start = std::get_if<StartOrder>(&Message.Content))
      Order = *Start;
    if (const auto *Stop = std::get_if<StopOrder>(&Message.Content))
      Order = *Stop;
    if (const auto *Reply = std::get_if<RenewalReply>(&Message.Content))
      Order = *Reply;
    if (!Order)
      return false;

    Tasks.input()->tryPush(*Order);
    return true;
  }

  void updateOwners(const wire::ShardNotice &Notice, const ReplyPath &From) {
    for (ShardId Shard : Notice.Owned)
      Owners[Shard] = From;
  }

  /// Sends a message of the task duty to the owner of its shard.
  void sendToOwner(const TaskOutput &Output) {
    std::visit(
        [this](const auto &Message) {
          auto Owner = Owners.find(Message.Shard);
          if (Owner != Owners.end())
            send(Owner->second, Message);
        },
        Output);
  }

  /// Runs a claimed request unless the ledger already knows it.
  void runClaimed(const RunOrder &Order, ReplyPath From) {
    if (auto Known = Ledger.admit(Order, Time.now()))
      return send(From, *Known);

    wire::ServeRequest Outgoing;
    try {
      wire::ForwardedCall Call = wire::decodeCall(Order.Body);
      Outgoing.Method = std::move(Call.Method);
      Outgoing.Path = std::move(Call.Path);
      Outgoing.Body = std::move(Call.Body);
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Warning, "protocol_error")
          .with("detail", Problem.what());
      return send(From, Ledger.finish(Order.Request, RunState::NotRun, 0, {},
                                      Time.now()));
    }
    Outgoing.Attempt = wire::AttemptId(++RunNumber);
    Outgoing.Request = Order.Request;
    Outgoing.Service = Order.Service;
    Outgoing.Remaining = ClaimedRequestTimeout;
    AttemptKey Key{Self.Process, Self.Number, Outgoing.Attempt};
    Proxy.serve(Key, std::move(Outgoing), Repeatable::No,
                [this, Request = Order.Request,
                 From = std::move(From)](const wire::ServeReply &Answer) {
                  finishClaimed(Request, Answer, From);
                });
  }

  void finishClaimed(const RequestId &Request, const wire::ServeReply &Answer,
                     const ReplyPath &From) {
    RunState State = RunState::Unknown;
    if (Answer.Outcome == wire::ServeOutcome::Served)
      State = RunState::Answered;
    if (Answer.Outcome == wire::ServeOutcome::Refused)
      State = RunState::NotRun;
    send(From,
         Ledger.finish(Request, State, Answer.Status, Answer.Body, Time.now()));
  }

  TargetProxy::ReplySender replyTo(ReplyPath From) {
    return [this, From = std::move(From)](const wire::ServeReply &Answer) {
      if (!Links.reply(From, {Self.Process, Self.Number, {}, Answer}))
        LogEvent(LogLevel::Warning, "reply_dropped")
            .with("attempt", Answer.Attempt);
    };
  }

  std::optional<wire::Envelope> refuseOverflow(const wire::Envelope &Message) {
    const auto *Request = std::get_if<wire::ServeRequest>(&Message.Content);
    if (Request == nullptr)
      return std::nullopt;

    wire::ServeReply Refusal;
    Refusal.Attempt = Request->Attempt;
    Refusal.Outcome = wire::ServeOutcome::Refused;
    Refusal.Reason = wire::RefusalReason::Overloaded;
    return wire::Envelope{Self.Process, Self.Number, {}, Refusal};
  }

  wire::Announcement announcement() const {
    wire::Announcement Result;
    Result.Agent = Settings.Process;
    Result.Number = Self.Number;
    Result.Vm = Settings.Vm;
    Result.Rack = Settings.Rack;
    Result.FailureDomain = Settings.FailureDomain;
    Result.Service = Settings.Service;
    Result.Links = Settings.Links;
    Result.Gossip = Settings.Gossip;
    Result.Capacity = Settings.Capacity;
    Result.Slots = static_cast<std::uint32_t>(Settings.Slots);
    Result.Connections = static_cast<std::uint32_t>(Settings.Connections);
    return Result;
  }

  http::Server::Options metricsOptions() const {
    http::Server::Options Result;
    Result.Listen = Settings.Metrics;
    Result.MaxConnections = 16;
    return Result;
  }

  void serveMetrics(const http::Request &Received, http::Exchange &Answer) {
    if (Received.Target != "/metrics")
      return Answer.respond(http::toResponse(
          {404, "not-found", "Only /metrics is served here", {}}));

    wire::TargetLoad Load = Proxy.load();
    BusySlots.Set(Load.BusySlots);
    OpenConnections.Set(Load.Connections);
    Answer.respond({200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    Registry.text()});
  }

  GossipDuty::Options gossipOptions() const {
    MemberInfo Info;
    Info.Role = MemberRole::Agent;
    Info.Address = {Settings.Gossip.Address, Settings.Gossip.Port};
    Info.FailureDomain = Settings.FailureDomain;
    Info.LinkPort = Settings.Links.Port;
    Info.Service = Settings.Service;
    Info.Vm = Settings.Vm;
    return {Settings.Process, Self.Number, Settings.Gossip, Info};
  }

  RequestLedgerSettings ledgerSettings() const {
    RequestLedgerSettings Result;
    // Requests beyond the slots may wait in the queue of the proxy.
    Result.Slots = 3 * Settings.Slots;
    Result.TaskLease = Settings.TaskLease;
    return Result;
  }

  const AgentSettings &Settings;
  const Clock &Time;
  Listener::Identity Self;
  Metrics Registry;
  prometheus::Counter &RequestsTotal = Registry.counter(
      "daisyspool_agent_requests_total", "Requests received from entries");
  prometheus::Gauge &BusySlots = Registry.gauge("daisyspool_target_busy_slots",
                                                "Slots of the target in use");
  prometheus::Gauge &OpenConnections = Registry.gauge(
      "daisyspool_target_connections", "Connections to the target in use");
  TargetProxy Proxy;
  RequestLedger Ledger;
  std::map<ShardId, ReplyPath> Owners;
  std::uint64_t RunNumber = 0;
  Listener Links;
  std::shared_ptr<Inbox<TaskOutput>> Outputs;
  TaskDuty Tasks;
  asio::steady_timer LeaveTimer;
  std::chrono::steady_clock::time_point LeavingSince;
  GossipDuty Gossip;
  Announcer TargetAnnouncer;
  http::Server MetricsPort;
};

} // namespace

int runAgent(const AgentSettings &Settings) {
  startLog(Settings.Process.str(), parseLogLevel(Settings.LogLevel));
  SystemClock Time;
  asio::io_context Io(1);
  asio::io_context TaskIo(1);
  asio::io_context GossipIo(1);
  TargetDuty Target(Io, TaskIo, GossipIo, Settings, Time);
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  DutySet Duties;
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure)
      Target.drain([&] { Duties.requestStop(); });
  });
  Duties.add(
      "gossip", [&] { GossipIo.run(); }, [&] { GossipIo.stop(); });
  Duties.add(
      "tasks", [&] { TaskIo.run(); }, [&] { TaskIo.stop(); });
  Duties.add(
      "front", [&] { Io.run(); }, [&] { Io.stop(); });
  LogEvent(LogLevel::Info, "agent_started")
      .with("links", http::toString(Settings.Links))
      .with("service", Settings.Service);

  return Duties.wait() ? 0 : 1;
}

} // namespace daisyspool
