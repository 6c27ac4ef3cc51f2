#include "daisyspool/settings/NodeSettings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace daisyspool {

namespace {

std::optional<http::Endpoint> optionalEndpoint(IniFile &File,
                                               std::string_view Section,
                                               std::string_view Key) {
  if (File.textOr(Section, Key, "").empty())
    return std::nullopt;

  return File.endpoint(Section, Key);
}

Millis millisecondsOr(IniFile &File, std::string_view Section,
                      std::string_view Key, Millis Default) {
  std::string Text = File.textOr(Section, Key, "");
  if (Text.empty())
    return Default;

  try {
    return Millis(static_cast<std::int64_t>(std::stod(Text)));
  } catch (const std::exception &) {
    File.fail(Section, Key, "a number of milliseconds");
  }
}

/// The positive number at a key, or \p Default without a value.
double positiveNumberOr(IniFile &File, std::string_view Section,
                        std::string_view Key, double Default) {
  constexpr double Max = 1000;
  std::string Text = File.textOr(Section, Key, "");
  if (Text.empty())
    return Default;

  double Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Whole = Failure == std::errc{} && End == Text.data() + Text.size();
  if (!Whole || !(Value > 0 && Value <= Max))
    File.fail(Section, Key, "a number above 0 and up to 1000");
  return Value;
}

/// The product of a process's share of a core and the speed of that core;
/// shares below a thousandth count as one.
MilliCores processors(IniFile &File) {
  double Share = positiveNumberOr(File, "capacity", "cpu_share", 1);
  double Cores = positiveNumberOr(File, "capacity", "cores", 1);
  return MilliCores(
      std::max<std::int64_t>(1, std::llround(Share * Cores * 1000)));
}

} // namespace

NodeSettings parseNodeSettings(IniFile File) {
  NodeSettings Result;
  Result.Process = ProcessId(File.text("node", "name"));
  Result.FailureDomain = FailureDomainId(File.text("node", "failure_domain"));
  Result.LogLevel = File.textOr("node", "log_level", Result.LogLevel);
  Result.Callers = optionalEndpoint(File, "listen", "callers");
  Result.Readiness = optionalEndpoint(File, "listen", "readiness");
  Result.Announcements = optionalEndpoint(File, "listen", "announcements");
  Result.Links = File.endpoint("listen", "links");
  Result.Metrics = File.endpoint("listen", "metrics");
  Result.Store = File.endpoint("store", "address");
  Result.Worker = optionalEndpoint(File, "worker", "address");
  Result.MaxLease =
      millisecondsOr(File, "bounds", "max_lease_ms", Result.MaxLease);
  Result.StopTimeout =
      millisecondsOr(File, "bounds", "stop_timeout_ms", Result.StopTimeout);
  Result.Processors = processors(File);
  File.rejectUnread();
  return Result;
}

} // namespace daisyspool
