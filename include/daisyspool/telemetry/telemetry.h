// The telemetry module: what operators see of a process.
//
//   Log.h      one key=value line for each event
//   Metrics.h  counters, gauges and histograms in the Prometheus text format
//   Spans.h    W3C trace context and spans in the OTLP/JSON form
//
// See Log.h next. docs/telemetry.md lists every event, metric and span.
#ifndef DAISYSPOOL_TELEMETRY_TELEMETRY_H
#define DAISYSPOOL_TELEMETRY_TELEMETRY_H

#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Metrics.h"
#include "daisyspool/telemetry/Spans.h"

#endif // DAISYSPOOL_TELEMETRY_TELEMETRY_H
