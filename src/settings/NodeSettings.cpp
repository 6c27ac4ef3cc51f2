#include "daisyspool/settings/NodeSettings.h"

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
  File.rejectUnread();
  return Result;
}

} // namespace daisyspool
