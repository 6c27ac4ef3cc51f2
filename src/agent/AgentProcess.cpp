#include "daisyspool/agent/AgentProcess.h"

#include "daisyspool/agent/Announcer.h"
#include "daisyspool/agent/TargetFront.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/process/DutySet.h"
#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Metrics.h"
#include "daisyspool/transport/Listener.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>

namespace daisyspool {

namespace {

namespace asio = boost::asio;

/// The duty that fronts the target: links from entries, the target's
/// connections, and the announcements.
class FrontDuty {
public:
  FrontDuty(asio::io_context &Io, const AgentSettings &Settings,
            const Clock &Time)
      : Settings(Settings), Self{Settings.Process,
                                 Incarnation(static_cast<std::uint64_t>(
                                     Time.wallNow().count()))},
        Front(Io, Time,
              {Settings.Service, Settings.Target, Settings.Slots,
               Settings.Connections, 2 * Settings.Slots}),
        Links(Io, {Settings.Links}, Self, callbacks()), LeaveTimer(Io),
        Announce(Io, Settings.Balancer, announcement(),
                 Settings.AnnounceInterval),
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
    Announce.leave();
    Front.drain(Settings.DrainBound,
                [this, Done = std::move(Done)] { finishLeaving(Done); });
  }

private:
  // Entries that have not yet heard of the departure still send requests,
  // which must be refused as not run rather than lost. It also lets the last
  // answers leave nng's buffers.
  static constexpr Millis LeaveGrace{3000};

  void finishLeaving(const std::function<void()> &Done) {
    LeaveTimer.expires_at(LeavingSince + LeaveGrace);
    LeaveTimer.async_wait([Done](boost::system::error_code Failure) {
      if (!Failure)
        Done();
    });
  }

  Listener::Callbacks callbacks() {
    Listener::Callbacks Hooks;
    Hooks.OnMessage = [this](wire::Envelope What, ReplyPath From) {
      dispatch(std::move(What), std::move(From));
    };
    Hooks.OnOverflow = [this](const wire::Envelope &What) {
      return refuseOverflow(What);
    };
    Hooks.OnProtocolError = [](const std::string &Detail) {
      LogEvent(LogLevel::Warning, "protocol_error").with("detail", Detail);
    };
    return Hooks;
  }

  void dispatch(wire::Envelope What, ReplyPath From) {
    AttemptKey Key{What.From, What.Sender, {}};
    if (auto *Request = std::get_if<wire::ServeRequest>(&What.Content)) {
      if (!meantForMe(Request->Receiver))
        return refuseIncarnation(Request->Attempt, wire::ServeOutcome::Refused,
                                 From);
      Key.Attempt = Request->Attempt;
      RequestsTotal.Increment();
      return Front.serve(std::move(Key), std::move(*Request),
                         replyTo(std::move(From)));
    }
    if (const auto *Cancel = std::get_if<wire::CancelAttempt>(&What.Content)) {
      Key.Attempt = Cancel->Attempt;
      return Front.cancel(Key);
    }
    if (const auto *Query = std::get_if<wire::AttemptQuery>(&What.Content)) {
      // An earlier incarnation may have run the attempt.
      if (!meantForMe(Query->Receiver))
        return refuseIncarnation(Query->Attempt, wire::ServeOutcome::Failed,
                                 From);
      return Front.query(
          {Query->Origin, Query->OriginIncarnation, Query->Attempt},
          replyTo(std::move(From)));
    }

    LogEvent(LogLevel::Warning, "unexpected_message")
        .with("from", What.From)
        .with("type", static_cast<std::int64_t>(What.Content.index()));
  }

  bool meantForMe(Incarnation Receiver) const {
    return Receiver == Incarnation{} || Receiver == Self.Number;
  }

  void refuseIncarnation(wire::AttemptId Attempt, wire::ServeOutcome Outcome,
                         const ReplyPath &To) {
    wire::ServeReply Refusal;
    Refusal.Attempt = Attempt;
    Refusal.Outcome = Outcome;
    Refusal.Reason = wire::RefusalReason::WrongIncarnation;
    Refusal.Load = Front.load();
    Links.reply(To, {Self.Process, Self.Number, {}, Refusal});
  }

  TargetFront::Reply replyTo(ReplyPath From) {
    return [this, From = std::move(From)](const wire::ServeReply &Answer) {
      if (!Links.reply(From, {Self.Process, Self.Number, {}, Answer}))
        LogEvent(LogLevel::Warning, "reply_dropped")
            .with("attempt", Answer.Attempt);
    };
  }

  std::optional<wire::Envelope> refuseOverflow(const wire::Envelope &What) {
    const auto *Request = std::get_if<wire::ServeRequest>(&What.Content);
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

    wire::TargetLoad Load = Front.load();
    BusySlots.Set(Load.BusySlots);
    OpenConnections.Set(Load.Connections);
    Answer.respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, Values.text()});
  }

  const AgentSettings &Settings;
  Listener::Identity Self;
  Metrics Values;
  prometheus::Counter &RequestsTotal = Values.counter(
      "daisyspool_agent_requests_total", "Requests received from entries");
  prometheus::Gauge &BusySlots = Values.gauge("daisyspool_target_busy_slots",
                                              "Slots of the target in use");
  prometheus::Gauge &OpenConnections = Values.gauge(
      "daisyspool_target_connections", "Connections to the target in use");
  TargetFront Front;
  Listener Links;
  asio::steady_timer LeaveTimer;
  std::chrono::steady_clock::time_point LeavingSince;
  Announcer Announce;
  http::Server MetricsPort;
};

} // namespace

int runAgent(const AgentSettings &Settings) {
  startLog(Settings.Process.str(), parseLogLevel(Settings.LogLevel));
  SystemClock Time;
  asio::io_context Io(1);
  FrontDuty Front(Io, Settings, Time);
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  DutySet Duties;
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure)
      Front.drain([&] { Duties.requestStop(); });
  });
  Duties.add(
      "front", [&] { Io.run(); }, [&] { Io.stop(); });
  LogEvent(LogLevel::Info, "agent_started")
      .with("links", http::toString(Settings.Links))
      .with("service", Settings.Service);

  return Duties.wait() ? 0 : 1;
}

} // namespace daisyspool
