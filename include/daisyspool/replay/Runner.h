#ifndef DAISYSPOOL_REPLAY_RUNNER_H
#define DAISYSPOOL_REPLAY_RUNNER_H

#include "daisyspool/http/Types.h"
#include "daisyspool/replay/Evaluation.h"
#include "daisyspool/replay/Trace.h"

#include <vector>

namespace daisyspool {

/// Sends the items of a trace at their scheduled times, distributed over many
/// independent callers.
///
/// A caller retries its request with the same id after a connection error or an
/// unknown outcome, until its timeout. An interrupted stream is resumed after
/// its last event. Evaluate the results with evaluate().
///
/// Thread safety: blocks the calling thread; use one at a time.
std::vector<ItemResult> runTrace(const http::Endpoint &Entry,
                                 const std::vector<TraceItem> &Items);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_RUNNER_H
