#include "daisyspool/settings/AgentSettings.h"
#include "daisyspool/settings/EntrySettings.h"

namespace daisyspool {

namespace {

constexpr Millis MaxLeaseOrDrain{600000};

std::string parseLogLevel(IniFile &File) {
  std::string Level = File.textOr("telemetry", "log_level", "info");
  if (Level != "debug" && Level != "info" && Level != "warning" &&
      Level != "error")
    File.fail("telemetry", "log_level", "debug, info, warning or error");

  return Level;
}

} // namespace

EntrySettings parseEntrySettings(IniFile File) {
  EntrySettings Result;
  Result.Process = ProcessId(File.text("entry", "name"));
  Result.FailureDomain = FailureDomainId(File.text("entry", "failure_domain"));
  Result.Callers = File.endpoint("entry", "callers");
  Result.Operators = File.endpoint("entry", "operators");
  Result.Peers = File.endpoint("entry", "peers");
  Result.Gossip = File.endpoint("entry", "gossip");
  Result.Table = File.endpoint("platform", "table");
  Result.Objects = File.endpoint("platform", "objects");
  Result.Shards =
      static_cast<std::uint64_t>(File.integerOr("jobs", "shards", 8, 1, 64));
  Result.ShardLease = File.durationOr("jobs", "shard_lease", Millis(6000),
                                      Millis(500), MaxLeaseOrDrain);
  Result.TaskLease = File.durationOr("jobs", "task_lease", Millis(10000),
                                     Millis(500), MaxLeaseOrDrain);
  Result.DefaultDeadline = File.durationOr(
      "requests", "default_deadline", Millis(5000), Millis(1), Millis(3600000));
  Result.DrainBound = File.durationOr("requests", "drain_bound", Millis(30000),
                                      Millis(100), MaxLeaseOrDrain);
  Result.QueueLimit = static_cast<std::size_t>(
      File.integerOr("requests", "queue_limit", 4096, 1, 1000000));
  Result.OperatorKeys = File.textOr("operators", "keys", "");
  Result.TraceFile = File.textOr("telemetry", "trace_file", "");
  Result.LogLevel = parseLogLevel(File);
  File.rejectUnread();
  return Result;
}

AgentSettings parseAgentSettings(IniFile File) {
  AgentSettings Result;
  Result.Process = ProcessId(File.text("agent", "name"));
  Result.Vm = VmId(File.text("agent", "vm"));
  Result.Rack = RackId(File.text("agent", "rack"));
  Result.FailureDomain = FailureDomainId(File.text("agent", "failure_domain"));
  Result.Balancer = File.endpoint("agent", "balancer");
  Result.Links = File.endpoint("agent", "links");
  Result.Gossip = File.endpoint("agent", "gossip");
  Result.Metrics = File.endpoint("agent", "metrics");
  Result.Service = ServiceId(File.text("target", "service"));
  Result.Target = File.endpoint("target", "address");
  Result.Slots =
      static_cast<std::size_t>(File.integerOr("target", "slots", 8, 1, 4096));
  Result.Connections = static_cast<std::size_t>(
      File.integerOr("target", "connections", 64, 1, 65536));
  Result.Worker = File.endpoint("worker", "address");
  Result.Capacity = {
      MilliCores(File.integerOr("worker", "millicores", 16000, 1, 1000000)),
      MebiBytes(File.integerOr("worker", "memory_mib", 64000, 1, 100000000)),
      Accelerators(File.integerOr("worker", "accelerators", 0, 0, 1024))};
  Result.Shards =
      static_cast<std::uint64_t>(File.integerOr("jobs", "shards", 8, 1, 64));
  Result.TaskLease = File.durationOr("jobs", "task_lease", Millis(10000),
                                     Millis(500), MaxLeaseOrDrain);
  Result.AnnounceInterval = File.durationOr(
      "agent", "announce_interval", Millis(1000), Millis(50), Millis(60000));
  Result.DrainBound = File.durationOr("agent", "drain_bound", Millis(30000),
                                      Millis(100), MaxLeaseOrDrain);
  Result.TraceFile = File.textOr("telemetry", "trace_file", "");
  Result.LogLevel = parseLogLevel(File);
  File.rejectUnread();
  return Result;
}

} // namespace daisyspool
