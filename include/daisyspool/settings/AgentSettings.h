#ifndef DAISYSPOOL_SETTINGS_AGENTSETTINGS_H
#define DAISYSPOOL_SETTINGS_AGENTSETTINGS_H

#include "daisyspool/settings/IniFile.h"

#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisyspool {

/// Settings that an agent process reads at start. They list no entries, as an
/// agent reaches any entry through the address of the load balancer.
///
/// Filled by parseAgentSettings(); docs/settings.md describes each key.
struct AgentSettings {
  ProcessId Process;
  VmId Vm;
  RackId Rack;
  FailureDomainId FailureDomain;
  http::Endpoint Balancer;
  /// Address at which entries reach this agent.
  http::Endpoint Links;
  http::Endpoint Gossip;
  http::Endpoint Metrics;
  ServiceId Service;
  http::Endpoint Target;
  http::Endpoint Worker;
  Resources Capacity;
  std::size_t Slots = 8;
  std::size_t Connections = 64;
  Millis AnnounceInterval{1000};
  Millis DrainBound{30000};
  /// Must equal the value in the settings of the entries.
  std::uint64_t Shards = 8;
  Millis TaskLease{10000};
  std::string TraceFile;
  std::string LogLevel = "info";
};

/// Parses and validates the settings of an agent.
///
/// Thread safety: safe from any thread. Errors: throws SettingsError.
AgentSettings parseAgentSettings(IniFile File);

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_AGENTSETTINGS_H
