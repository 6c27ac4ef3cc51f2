#ifndef DAISYSPOOL_TELEMETRY_EXPLAIN_H
#define DAISYSPOOL_TELEMETRY_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

namespace daisyspool {

/// The lines of \p Logs that name \p Id, or a part of it such as a job's task,
/// in order of their time. Lines of any processes may be mixed.
///
/// Thread safety: safe from any thread with an own stream.
std::vector<std::string> logLinesFor(const std::string &Id, std::istream &Logs);

} // namespace daisyspool

#endif // DAISYSPOOL_TELEMETRY_EXPLAIN_H
