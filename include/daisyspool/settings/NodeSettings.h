#ifndef DAISYSPOOL_SETTINGS_NODESETTINGS_H
#define DAISYSPOOL_SETTINGS_NODESETTINGS_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/settings/IniFile.h"

#include <optional>
#include <string>

namespace daisyspool {

/// What a process on the operators' platform is told at its start.
///
/// Filled by parseNodeSettings(); see docs/settings.md for each key.
struct NodeSettings {
  ProcessId Process;
  FailureDomainId FailureDomain;
  /// Where callers reach an entry.
  std::optional<http::Endpoint> Callers;
  /// Where the balancer asks an entry whether it takes callers.
  std::optional<http::Endpoint> Readiness;
  /// Where the worker announces itself to the agent on its VM.
  std::optional<http::Endpoint> Announcements;
  /// The worker beside an agent.
  std::optional<http::Endpoint> Worker;
  /// Where entries reach an agent.
  http::Endpoint Links;
  http::Endpoint Metrics;
  http::Endpoint Store;
  Millis MaxLease{6000};
  Millis StopTimeout{400};
  std::string LogLevel = "info";
};

/// Parses and checks the settings of a process.
///
/// Thread safety: safe from any thread. Errors: throws SettingsError.
NodeSettings parseNodeSettings(IniFile File);

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_NODESETTINGS_H
