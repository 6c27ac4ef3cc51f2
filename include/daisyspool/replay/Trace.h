#ifndef DAISYSPOOL_REPLAY_TRACE_H
#define DAISYSPOOL_REPLAY_TRACE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/core/WorkClass.h"

#include <cstdint>
#include <string>
#include <vector>

namespace daisyspool {

enum class TraceKind { Request, Stream, Job };

/// One request, stream or job that a caller sends during a replay.
///
/// Filled by parseTrace(); docs/replay.md describes the fields.
struct TraceItem {
  /// Offset from the start of the replay.
  Millis At{};
  TraceKind Kind = TraceKind::Request;
  std::string Id;
  /// Outcomes select items by this name.
  std::string Group;
  ServiceId Service;
  std::string Path;
  WorkClass Class = WorkClass::Standard;
  TeamId Team;
  bool Idempotent = true;
  /// The caller also retries after a refusal, until its timeout.
  bool RetryRefused = false;
  /// Request and job: time until the whole answer or end. Stream: time until
  /// the first event, and between events.
  Millis Timeout{};
  /// Time that a request occupies a slot of its target, for goodput.
  Millis Work{};
  /// Number of events in a complete stream.
  std::uint64_t Events = 0;
  /// Number of tasks of a job, each with the resources and command below.
  std::uint64_t Tasks = 1;
  Resources TaskResources;
  std::string Command;
};

/// Parses the JSON lines of a trace, expands repeats and sorts the items by
/// time.
///
/// \p File is the file name in error messages. Thread safety: safe from any
/// thread. Errors: throws SettingsError with file, line, field and the value
/// found.
std::vector<TraceItem> parseTrace(const std::string &File,
                                  const std::string &Text);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_TRACE_H
