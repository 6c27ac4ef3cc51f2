#include "daisyspool/entry/EntryProcess.h"

#include "daisyspool/admin/AdminPort.h"
#include "daisyspool/admin/ConfigDuty.h"
#include "daisyspool/entry/PeerLinks.h"
#include "daisyspool/entry/RequestFlow.h"
#include "daisyspool/entry/RequestMetrics.h"
#include "daisyspool/entry/ServedLogDuty.h"
#include "daisyspool/entry/ShardGateway.h"
#include "daisyspool/entry/TargetPool.h"
#include "daisyspool/gossip/GossipDuty.h"
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

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <memory>

namespace daisyspool {

namespace {

namespace asio = boost::asio;

constexpr Millis TargetExpiry{10000};
constexpr Millis ExpiryInterval{1000};

/// Identifies one run of the process, for logs that are kept beyond it.
ProcessId processRunId(const EntrySettings &Settings, Incarnation Number) {
  return ProcessId(Settings.Process.str() + "@" +
                   std::to_string(Number.value()));
}

GossipDuty::Options gossipOptions(const EntrySettings &Settings,
                                  Incarnation Number) {
  MemberInfo Info;
  Info.Role = MemberRole::Entry;
  Info.Address = {Settings.Gossip.Address, Settings.Gossip.Port};
  Info.FailureDomain = Settings.FailureDomain;
  Info.LinkPort = Settings.Peers.Port;
  return {Settings.Process, Number, Settings.Gossip, Info};
}

/// Runs \p Io until it is stopped, even while it has no work.
void runForever(asio::io_context &Io) {
  auto Guard = asio::make_work_guard(Io);
  Io.run();
}

/// The duty that serves callers: their connections, the links to agents, and
/// the routing between them.
class RequestDuty {
public:
  RequestDuty(asio::io_context &Io, const EntrySettings &Settings,
              Incarnation Number, const Clock &Time, Metrics &Registry)
      : Io(Io), Counters(Registry),
        Spans(Settings.TraceFile, Settings.Process.str()),
        Pool(Io, Time, TargetExpiry, poolCallbacks()),
        Shards(Io, Time, shardOptions(Settings, Number), Pool,
               tableFactory(Settings, Time), objectFactory(Settings, Time)),
        Peers(Io, {Settings.Peers, Settings.Process, Number},
              [this](http::Request Received,
                     std::shared_ptr<http::Exchange> Answer) {
                Callers.handle(std::move(Received), std::move(Answer));
              }),
        Flow(Io, Time, {Settings.Process, Number, Settings.FailureDomain},
             claimSender(), Pool, Counters, Spans),
        Jobs(Shards, Peers, Number.value()),
        Callers(Io, Settings, Number, Pool, Flow, Jobs, Counters),
        ExpiryTimer(Io) {
    scheduleExpiry();
  }

  void drain(std::function<void()> Done) {
    LogEvent(LogLevel::Info, "entry_draining")
        .with("in_progress", static_cast<std::int64_t>(Flow.inProgress()));
    Callers.drain(std::move(Done));
  }

  /// Handles a membership change of an agent. Thread safety: any thread.
  void onMember(const Member &Changed) {
    if (Changed.Info.Role != MemberRole::Agent)
      return;

    bool Leaving = Changed.Info.Draining || Changed.State == MemberState::Left;
    if (Leaving)
      asio::post(Io,
                 [this, Id = TargetId(Changed.Id.str()),
                  Number = Changed.Number] { Pool.markLeaving(Id, Number); });
  }

  /// Passes the state of requests, shards and targets to \p Done as a JSON
  /// object. Thread safety: any thread; \p Done runs on the request thread.
  void status(std::function<void(std::string)> Done) {
    asio::post(Io, [this, Done = std::move(Done)] { Done(describeStatus()); });
  }

  /// Sends the record of each answered request to \p Log from now on.
  void recordTo(std::shared_ptr<Inbox<ServedRequest>> Log) {
    Flow.recordTo(std::move(Log));
  }

  std::vector<asio::io_context *> shardContexts() {
    return Shards.shardContexts();
  }

private:
  static ShardGateway::Options shardOptions(const EntrySettings &Settings,
                                            Incarnation Number) {
    return {processRunId(Settings, Number),
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
    return [this](const CallerRequest &Request, const VmId &Vm,
                  std::function<void(const CallerAnswer &)> OnAnswer) {
      ShardId Shard = Shards.shardOf(Request.Id.str());
      if (!Shards.owns(Shard))
        return false;

      ClaimForward Claim;
      Claim.Request = Request.Id;
      Claim.Caller = Request.Caller;
      Claim.Service = Request.Service;
      Claim.Body =
          wire::encodeCall({Request.Method, Request.Path, Request.Body});
      return Shards.claim(std::move(Claim), Vm, std::move(OnAnswer)) != 0;
    };
  }

  std::string describeStatus() const {
    nlohmann::json ShardList = nlohmann::json::array();
    for (const auto &[Id, View] : Shards.views())
      ShardList.push_back({{"shard", Id.value()},
                           {"owned", View.Owned},
                           {"owner", View.OwnerAddress},
                           {"waiting", View.Waiting},
                           {"live", View.Live}});
    nlohmann::json TargetList = nlohmann::json::array();
    for (const auto &[Id, Each] : Pool.targets())
      TargetList.push_back({{"target", Id.str()},
                            {"service", Each->Announced.Service.str()},
                            {"up", Each->Connection->up()},
                            {"leaving", Each->Announced.Leaving}});
    return nlohmann::json{{"inProgress", Flow.inProgress()},
                          {"shards", ShardList},
                          {"targets", TargetList}}
        .dump();
  }

  TargetPool::Callbacks poolCallbacks() {
    TargetPool::Callbacks Hooks;
    Hooks.OnUp = [this](const PooledTarget &Target) {
      Flow.onTargetUp(Target);
      Shards.onTargetUp(Target);
    };
    Hooks.OnFleetChanged = [this] { Shards.onFleetChanged(); };
    Hooks.OnDown = [this](const PooledTarget &Target) {
      Flow.onTargetDown(Target);
    };
    Hooks.OnLeaving = [this](const PooledTarget &Target) {
      Flow.onTargetLeaving(Target);
    };
    Hooks.OnMessage = [this](const PooledTarget &Target,
                             wire::Envelope Message) {
      Shards.onAgentMessage(Message);
      Flow.onMessage(Target, std::move(Message));
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
          Peers.openLink(Owner);
      scheduleExpiry();
    });
  }

  asio::io_context &Io;
  RequestMetrics Counters;
  SpanExporter Spans;
  TargetPool Pool;
  ShardGateway Shards;
  PeerLinks Peers;
  RequestFlow Flow;
  JobPort Jobs;
  CallerPort Callers;
  asio::steady_timer ExpiryTimer;
};

} // namespace

int runEntry(const EntrySettings &Settings) {
  startLog(Settings.Process.str(), parseLogLevel(Settings.LogLevel));
  SystemClock Time;
  Incarnation Number(static_cast<std::uint64_t>(Time.wallNow().count()));
  Metrics Registry;
  asio::io_context RequestIo(1);
  asio::io_context OperatorIo(1);
  RequestDuty Requests(RequestIo, Settings, Number, Time, Registry);
  asio::io_context GossipIo(1);
  asio::io_context ConfigIo(1);
  GossipDuty Gossip(
      GossipIo, Time, gossipOptions(Settings, Number),
      {[&](const Member &Changed) { Requests.onMember(Changed); }, {}});
  ConfigDuty Config(
      ConfigIo, {processRunId(Settings, Number), Settings.Gossip},
      std::make_unique<DynamoTable>(DynamoTable::Options{Settings.Table}, Time),
      Gossip);
  asio::io_context RecordIo(1);
  ServedLogDuty Record(
      RecordIo, Time, {processRunId(Settings, Number), Settings.Shards},
      std::make_unique<DynamoTable>(DynamoTable::Options{Settings.Table}, Time),
      std::make_unique<S3Objects>(S3Objects::Options{Settings.Objects}, Time));
  Requests.recordTo(Record.input());
  AdminPort Operators(OperatorIo, Settings.Operators,
                      OperatorKeys(Settings.OperatorKeys), Registry, Gossip,
                      Config, Record,
                      [&](std::function<void(std::string)> Done) {
                        Requests.status(std::move(Done));
                      });

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
      "gossip", [&] { GossipIo.run(); }, [&] { GossipIo.stop(); });
  Duties.add(
      "config", [&] { runForever(ConfigIo); }, [&] { ConfigIo.stop(); });
  Duties.add(
      "record",
      [&] {
        RecordIo.run();
        Record.flush();
      },
      [&] { RecordIo.stop(); });
  Duties.add(
      "operators", [&] { OperatorIo.run(); }, [&] { OperatorIo.stop(); });
  LogEvent(LogLevel::Info, "entry_started")
      .with("callers", http::toString(Settings.Callers))
      .with("operators", http::toString(Settings.Operators));

  return Duties.wait() ? 0 : 1;
}

} // namespace daisyspool
