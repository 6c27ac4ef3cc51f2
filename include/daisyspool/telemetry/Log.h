#ifndef DAISYSPOOL_TELEMETRY_LOG_H
#define DAISYSPOOL_TELEMETRY_LOG_H

#include "daisyspool/core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the process's log to standard output, which is never waited for. Call
/// once, before any thread.
///
/// \p Process is added to each line; events below \p Least are dropped.
void startLog(std::string_view Process, LogLevel Least);

/// Parses debug, info, warning or error. Precondition: it is one of them.
LogLevel parseLogLevel(std::string_view Name);

/// One log event, written as one line of key=value pairs when destroyed.
///
/// Use as a temporary: LogEvent(LogLevel::Info, "link_up").with("peer", Peer).
/// At most 200 lines a second are written for one event name; the next line
/// after a pause says how many were left out.
///
/// Thread safety: the object is for one thread, any number of threads may log.
class LogEvent {
public:
  LogEvent(LogLevel Level, std::string_view Name);
  LogEvent(const LogEvent &) = delete;
  LogEvent &operator=(const LogEvent &) = delete;
  ~LogEvent();

  /// Adds a pair. Values are quoted where they hold spaces, quotes or line
  /// breaks.
  LogEvent &with(std::string_view Key, std::string_view Value);
  LogEvent &with(std::string_view Key, std::int64_t Value);

  template <typename Tag>
  LogEvent &with(std::string_view Key, const StrongId<Tag> &Value) {
    return with(Key, Value.str());
  }
  template <typename Tag>
  LogEvent &with(std::string_view Key, StrongNumber<Tag> Value) {
    return with(Key, static_cast<std::int64_t>(Value.value()));
  }

private:
  LogLevel Level;
  std::string Name;
  std::string Line;
  bool Enabled;
};

/// Appends \p Value to \p Line in the quoted form that log lines use.
void appendLogValue(std::string &Line, std::string_view Value);

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_LOG_H
