#ifndef DAISYSPOOL_TELEMETRY_EXPLAIN_H
#define DAISYSPOOL_TELEMETRY_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

namespace daisyspool {

/// The lines of \p Logs with a field whose value is \p Id or starts with it and
/// a dot, as the tasks of a job do, sorted by time. \p Logs may mix lines of
/// several processes in any order.
///
/// Thread safety: safe from any thread if no other thread uses \p Logs.
std::vector<std::string> logLinesFor(const std::string &Id, std::istream &Logs);

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_EXPLAIN_H
