#ifndef DAISYSPOOL_TELEMETRY_LOG_H
#define DAISYSPOOL_TELEMETRY_LOG_H

#include "daisyspool/core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool {

enum class LogLevel { Debug, Info, Warning, Error };

/// Directs the process's log to standard output without blocking. Lines that a
/// slow reader leaves no room for are dropped; the next line has their number
/// as `dropped`. Call once, before any thread is started.
///
/// \p Process is added to each line; events below \p MinLevel are dropped.
void startLog(std::string_view Process, LogLevel MinLevel);

/// Parses a level. Precondition: \p Name is debug, info, warning or error.
LogLevel parseLogLevel(std::string_view Name);

/// One log event, written as one line of key=value pairs when destroyed.
///
/// Use as a temporary: LogEvent(LogLevel::Info, "link_up").with("peer", Peer).
/// At most 200 lines per second are written for one event name; the first line
/// of the next interval has the number of suppressed lines as `left_out`.
///
/// Thread safety: one thread per object; any number of threads may log.
class LogEvent {
public:
  LogEvent(LogLevel Level, std::string_view Name);
  LogEvent(const LogEvent &) = delete;
  LogEvent &operator=(const LogEvent &) = delete;
  ~LogEvent();

  /// Adds a field. Values that are empty or contain spaces, quotes, line
  /// breaks, equals signs or backslashes are quoted.
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

/// Appends \p Value to \p Line, quoted if necessary.
void appendLogValue(std::string &Line, std::string_view Value);

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_LOG_H
