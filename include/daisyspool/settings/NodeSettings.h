#ifndef DAISYSPOOL_SETTINGS_NODESETTINGS_H
#define DAISYSPOOL_SETTINGS_NODESETTINGS_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/settings/IniFile.h"

#include <cstddef>
#include <optional>
#include <string>

namespace daisyspool {

/// Settings that a process on the operators' platform reads at start.
///
/// Filled by parseNodeSettings(); docs/settings.md describes each key.
struct NodeSettings {
  ProcessId Process;
  FailureDomainId FailureDomain;
  /// Address at which callers reach an entry.
  std::optional<http::Endpoint> Callers;
  /// Address at which the load balancer polls the readiness of an entry.
  std::optional<http::Endpoint> Readiness;
  /// Address at which the worker announces itself to the agent on its VM.
  std::optional<http::Endpoint> Announcements;
  /// Address of the worker on an agent's VM.
  std::optional<http::Endpoint> Worker;
  /// Address at which entries reach an agent.
  http::Endpoint Links;
  http::Endpoint Metrics;
  http::Endpoint Store;
  /// The largest value of a row that the store accepts.
  std::size_t StoreRowBytes = 65536;
  Millis MaxLease{6000};
  Millis StopTimeout{400};
  /// How long after an evacuation was ordered tasks may still be started there;
  /// 0 if the deployment states no such bound.
  Millis EvacuationBound{0};
  /// The share of processors that this process may use.
  MilliCores Processors{1000};
  /// What costs callers least waits when there is too little room, and what
  /// can no longer be served in time is refused.
  bool OrderByCost = false;
  /// The memory above which the platform ends this process.
  MebiBytes Memory{128};
  /// The descriptors that this process may have open.
  std::size_t FileDescriptors = 4096;
  std::string LogLevel = "info";
};

/// Parses and validates the settings of a process.
///
/// Thread safety: safe from any thread. Errors: throws SettingsError.
NodeSettings parseNodeSettings(IniFile File);

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_NODESETTINGS_H
