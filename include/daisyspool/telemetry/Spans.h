#ifndef DAISYSPOOL_TELEMETRY_SPANS_H
#define DAISYSPOOL_TELEMETRY_SPANS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/wire/Messages.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisyspool {

/// Parses a W3C `traceparent` header of version 00. Returns nothing if it is
/// malformed, in which case the caller starts a new trace.
std::optional<wire::TraceContext> parseTraceParent(std::string_view Header);

/// The `traceparent` header for a request made under \p Context.
std::string toTraceParent(const wire::TraceContext &Context);

/// A new trace, sampled with probability \p SampleRate.
wire::TraceContext startTrace(Random &Source, double SampleRate);

/// A finished span: the work that one process did for a request.
struct Span {
  wire::TraceContext Context;
  std::string SpanId;
  std::string Name;
  WallMillis Start{};
  Duration Length{};
  std::vector<std::pair<std::string, std::string>> Attributes;
  bool Failed = false;
};

/// A new span id: 16 hexadecimal digits.
std::string newSpanId(Random &Source);

/// Writes sampled spans to a file in the OTLP/JSON format, one line per batch.
///
/// Use one per process. Spans are dropped and counted when the ring is full, so
/// that a slow disk never delays a request.
///
/// Thread safety: record() from one thread.
class SpanExporter {
public:
  /// An empty \p Path disables the exporter.
  SpanExporter(std::string Path, std::string Process);
  SpanExporter(const SpanExporter &) = delete;
  SpanExporter &operator=(const SpanExporter &) = delete;
  /// Writes the queued spans.
  ~SpanExporter();

  /// Queues \p Finished if its trace is sampled.
  void record(Span Finished);

  /// Number of spans dropped because the ring was full.
  std::size_t dropped() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_SPANS_H
