#include "daisyspool/entry/EntryProcess.h"

#include "daisyspool/entry/PeerLinks.h"
#include "daisyspool/entry/RequestFlow.h"
#include "daisyspool/entry/RequestMetrics.h"
#include "daisyspool/entry/ShardGateway.h"
#include "daisyspool/entry/TargetPool.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/platform/DynamoTable.h"
#include "daisyspool/platform/S3Objects.h"
#include "daisyspool/process/DutySet.h"
#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Metrics.h"
#include "daisyspool/telemetry/Spans.h"
#include "daisyspool/wire/ForwardedCall.h"
#include "entry/CallerPort.h"
#include "entry/JobPort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace daisyspool {

namespace {

namespace asio = boost::asio;

constexpr Millis TargetExpiry{10000};
constexpr Millis ExpiryInterval{1000};

/// The duty that serves callers: their connections, the links to agents, and
/// the decisions between the two.
class RequestDuty {
public:
  RequestDuty(asio::io_context &Io, const EntrySettings &Settings,
              Incarnation Number, const Clock &Time, Metrics &Values)
      : Requests(Values), Spans(Settings.TraceFile, Settings.Process.str()),
        Pool(Io, Time, TargetExpiry, poolCallbacks()),
        Shards(Io, Time, shardOptions(Settings, Number), Pool,
               tableFactory(Settings, Time), objectFactory(Settings, Time)),
        Peers(Io, {Settings.Peers, Settings.Process, Number},
              [this](http::Request Received,
                     std::shared_ptr<http::Exchange> Answer) {
                Port.handle(std::move(Received), std::move(Answer));
              }),
        Flow(Io, Time, {Settings.Process, Number, Settings.FailureDomain},
             claimSender(), Pool, Requests, Spans),
        Jobs(Shards, Peers, Number.value()),
        Port(Io, Settings, Number, Pool, Flow, Jobs, Requests),
        ExpiryTimer(Io) {
    scheduleExpiry();
  }

  void drain(std::function<void()> Done) {
    LogEvent(LogLevel::Info, "entry_draining")
        .with("in_progress", static_cast<std::int64_t>(Flow.inProgress()));
    Port.drain(std::move(Done));
  }

  std::vector<asio::io_context *> shardContexts() {
    return Shards.shardContexts();
  }

private:
  static ShardGateway::Options shardOptions(const EntrySettings &Settings,
                                            Incarnation Number) {
    ProcessId Life(Settings.Process.str() + "@" +
                   std::to_string(Number.value()));
    return {Life,
            Number,
            http::toString(Settings.Peers),
            Settings.Shards,
            Settings.ShardLease,
            Settings.TaskLease};
  }

  static ShardGateway::TableFactory tableFactory(const EntrySettings &Settings,
                                                 const Clock &Time) {
    return [&Settings, &Time] {
      DynamoTable::Options Config{Settings.Table};
      return std::make_unique<DynamoTable>(Config, Time);
    };
  }

  static ShardGateway::ObjectFactory
  objectFactory(const EntrySettings &Settings, const Clock &Time) {
    return [&Settings, &Time] {
      S3Objects::Options Config{Settings.Objects};
      return std::make_unique<S3Objects>(Config, Time);
    };
  }

  RequestFlow::ClaimSender claimSender() {
    return [this](const CallerRequest &What, const VmId &Vm,
                  std::function<void(const CallerAnswer &)> OnAnswer) {
      ShardId Shard = Shards.shardOf(What.Id.str());
      if (!Shards.owns(Shard))
        return false;

      ClaimForward Claim;
      Claim.Request = What.Id;
      Claim.Caller = What.Caller;
      Claim.Service = What.Service;
      Claim.Body = wire::encodeCall({What.Method, What.Path, What.Body});
      return Shards.claim(std::move(Claim), Vm, std::move(OnAnswer)) != 0;
    };
  }

  TargetPool::Callbacks poolCallbacks() {
    TargetPool::Callbacks Hooks;
    Hooks.OnUp = [this](const PooledTarget &Which) {
      Flow.onTargetUp(Which);
      Shards.onTargetUp(Which);
    };
    Hooks.OnFleetChanged = [this] { Shards.onFleetChanged(); };
    Hooks.OnDown = [this](const PooledTarget &Which) {
      Flow.onTargetDown(Which);
    };
    Hooks.OnLeaving = [this](const PooledTarget &Which) {
      Flow.onTargetLeaving(Which);
    };
    Hooks.OnMessage = [this](const PooledTarget &Which, wire::Envelope What) {
      Shards.onAgentMessage(What);
      Flow.onMessage(Which, std::move(What));
    };
    return Hooks;
  }

  void scheduleExpiry() {
    ExpiryTimer.expires_after(ExpiryInterval);
    ExpiryTimer.async_wait([this](boost::system::error_code Failure) {
      if (Failure)
        return;
      Pool.expire();
      for (const auto &[Id, View] : Shards.views())
        if (std::string Owner = Shards.otherOwner(Id); !Owner.empty())
          Peers.prepare(Owner);
      scheduleExpiry();
    });
  }

  RequestMetrics Requests;
  SpanExporter Spans;
  TargetPool Pool;
  ShardGateway Shards;
  PeerLinks Peers;
  RequestFlow Flow;
  JobPort Jobs;
  CallerPort Port;
  asio::steady_timer ExpiryTimer;
};

/// The operators' port. It has a thread of its own, so that it answers while
/// callers flood the entry.
class OperatorDuty {
public:
  OperatorDuty(asio::io_context &Io, const EntrySettings &Settings,
               Metrics &Values)
      : Values(Values), Port(Io, portOptions(Settings),
                             [this](http::Request Received,
                                    std::shared_ptr<http::Exchange> Answer) {
                               handle(Received, *Answer);
                             }) {}

private:
  static http::Server::Options portOptions(const EntrySettings &Settings) {
    http::Server::Options Result;
    Result.Listen = Settings.Operators;
    Result.MaxConnections = 64;
    return Result;
  }

  void handle(const http::Request &Received, http::Exchange &Answer) {
    if (Received.Target == "/metrics")
      return Answer.respond({200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             Values.text()});

    Answer.respond(http::toResponse({404, "not-found",
                                     "No such path on the operators' port",
                                     std::nullopt}));
  }

  Metrics &Values;
  http::Server Port;
};

} // namespace

int runEntry(const EntrySettings &Settings) {
  startLog(Settings.Process.str(), parseLogLevel(Settings.LogLevel));
  SystemClock Time;
  Incarnation Number(static_cast<std::uint64_t>(Time.wallNow().count()));
  Metrics Values;
  asio::io_context RequestIo(1);
  asio::io_context OperatorIo(1);
  RequestDuty Requests(RequestIo, Settings, Number, Time, Values);
  OperatorDuty Operators(OperatorIo, Settings, Values);

  DutySet Duties;
  asio::signal_set Signals(RequestIo, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure)
      Requests.drain([&] { Duties.requestStop(); });
  });
  Duties.add(
      "requests", [&] { RequestIo.run(); }, [&] { RequestIo.stop(); });
  for (asio::io_context *Shard : Requests.shardContexts())
    Duties.add(
        "shard", [Shard] { Shard->run(); }, [Shard] { Shard->stop(); });
  Duties.add(
      "operators", [&] { OperatorIo.run(); }, [&] { OperatorIo.stop(); });
  LogEvent(LogLevel::Info, "entry_started")
      .with("callers", http::toString(Settings.Callers))
      .with("operators", http::toString(Settings.Operators));

  return Duties.wait() ? 0 : 1;
}

} // namespace daisyspool
