#ifndef DAISYSPOOL_SETTINGS_ENTRYSETTINGS_H
#define DAISYSPOOL_SETTINGS_ENTRYSETTINGS_H

#include "daisyspool/settings/IniFile.h"

#include "daisyspool/core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisyspool {

/// Settings that an entry process reads at start.
///
/// Filled by parseEntrySettings(); docs/settings.md describes each key.
struct EntrySettings {
  ProcessId Process;
  FailureDomainId FailureDomain;
  http::Endpoint Callers;
  http::Endpoint Operators;
  /// Address at which other entries reach this one.
  http::Endpoint Peers;
  http::Endpoint Gossip;
  /// Addresses of the platform's table and object services.
  http::Endpoint Table;
  http::Endpoint Objects;
  std::uint64_t Shards = 8;
  Millis ShardLease{6000};
  Millis TaskLease{10000};
  Millis DefaultDeadline{5000};
  Millis DrainBound{30000};
  std::size_t QueueLimit = 4096;
  std::string OperatorKeys;
  std::string TraceFile;
  std::string LogLevel = "info";
};

/// Parses and validates the settings of an entry.
///
/// Thread safety: safe from any thread. Errors: throws SettingsError.
EntrySettings parseEntrySettings(IniFile File);

} // namespace daisyspool

#endif // DAISYSPOOL_SETTINGS_ENTRYSETTINGS_H
