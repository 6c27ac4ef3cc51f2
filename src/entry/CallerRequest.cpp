#include "daisyspool/entry/CallerRequest.h"

#include "daisyspool/telemetry/Spans.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace daisyspool {

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t MaxNameLength = 128;
constexpr Millis MaxDeadline{24L * 3600 * 1000};
constexpr double TraceSampleRate = 0.01;

/// Whether \p Text is a name that is safe in logs, metrics and row keys.
bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
           return std::isalnum(Each) != 0 || Each == '-' || Each == '_' ||
                  Each == '.' || Each == ':' || Each == '@';
         });
}

std::string readName(const http::Request &From, std::string_view Header,
                     std::string Default) {
  auto Value = http::findHeader(From.Headers, Header);
  if (!Value)
    return Default;
  if (!isName(*Value))
    throw BadRequest(400, "bad-header",
                     std::string(Header) +
                         ": 1 to 128 letters, digits or -_.:@ are allowed");

  return *Value;
}

Duration readDeadline(const http::Request &From, Duration Default) {
  auto Value = http::findHeader(From.Headers, "Daisyspool-Timeout-Ms");
  if (!Value)
    return Default;

  std::int64_t Number = 0;
  const char *End = Value->data() + Value->size();
  auto [ParseEnd, Failure] = std::from_chars(Value->data(), End, Number);
  if (Failure != std::errc{} || ParseEnd != End || Number <= 0 ||
      Millis(Number) > MaxDeadline)
    throw BadRequest(400, "bad-deadline",
                     "Daisyspool-Timeout-Ms: 1 to 86400000 is allowed");

  return Millis(Number);
}

WorkClass readClass(const http::Request &From) {
  auto Value = http::findHeader(From.Headers, "Daisyspool-Class");
  if (!Value)
    return WorkClass::Standard;
  auto Parsed = parseWorkClass(*Value);
  if (!Parsed)
    throw BadRequest(400, "bad-class",
                     "Daisyspool-Class: urgent, session, standard or batch");

  return *Parsed;
}

wire::TraceContext readTrace(const http::Request &From, Random &Source) {
  auto Header = http::findHeader(From.Headers, "traceparent");
  auto Parsed = Header ? parseTraceParent(*Header) : std::nullopt;
  return Parsed ? *Parsed : startTrace(Source, TraceSampleRate);
}

} // namespace

bool isServicePath(std::string_view Target) {
  return Target.substr(0, ServicePrefix.size()) == ServicePrefix;
}

CallerRequest parseCallerRequest(http::Request Received,
                                 Duration DefaultDeadline, Random &Source) {
  std::string_view Rest(Received.Target);
  Rest.remove_prefix(ServicePrefix.size());
  std::size_t Slash = Rest.find('/');
  std::string_view Service = Rest.substr(0, Slash);
  if (!isName(Service))
    throw BadRequest(404, "unknown-service", "The path names no service");

  CallerRequest Result;
  Result.Service = ServiceId(std::string(Service));
  Result.Path =
      Slash == std::string_view::npos ? "/" : std::string(Rest.substr(Slash));
  Result.Team = TeamId(readName(Received, "Daisyspool-Team", "default"));
  Result.Caller = CallerId(readName(Received, "Daisyspool-Caller", "unknown"));
  Result.Class = readClass(Received);
  Result.Streamed = Result.Class == WorkClass::Session;
  Result.Deadline = readDeadline(Received, DefaultDeadline);
  Result.Trace = readTrace(Received, Source);

  std::string Key = readName(Received, "Idempotency-Key", "");
  Result.Idempotent = Key.empty();
  Result.Id =
      RequestId(Result.Idempotent ? readName(Received, "Daisyspool-Request-Id",
                                             newSpanId(Source))
                                  : Key);
  if (Result.Streamed && !Result.Idempotent)
    throw BadRequest(400, "bad-header",
                     "A session cannot carry an Idempotency-Key");

  if (Result.Streamed)
    Result.LastEvent = readName(Received, "Last-Event-ID", "");
  Result.Method = std::move(Received.Method);
  Result.Body = std::move(Received.Body);
  return Result;
}

} // namespace daisyspool
