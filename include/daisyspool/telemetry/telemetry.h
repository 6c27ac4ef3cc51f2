// The telemetry module: logs, metrics and traces of a process.
//
//   Log.h      one line of key=value pairs for each event
//   Metrics.h  counters, gauges and histograms in the Prometheus text format
//   Spans.h    W3C trace context and spans in the OTLP/JSON format
//   Explain.h  the log lines of one job
//
// See Log.h next.
#ifndef DAISYSPOOL_TELEMETRY_TELEMETRY_H
#define DAISYSPOOL_TELEMETRY_TELEMETRY_H

#include "daisyspool/telemetry/Log.h"
#include "daisyspool/telemetry/Metrics.h"
#include "daisyspool/telemetry/Spans.h"

#endif // DAISYSPOOL_TELEMETRY_TELEMETRY_H
