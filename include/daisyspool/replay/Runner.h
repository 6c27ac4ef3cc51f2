#ifndef DAISYSPOOL_REPLAY_RUNNER_H
#define DAISYSPOOL_REPLAY_RUNNER_H

#include "daisyspool/http/Types.h"
#include "daisyspool/replay/Judge.h"
#include "daisyspool/replay/Trace.h"

#include <vector>

namespace daisyspool {

/// Sends the items of a trace at their times, as many independent callers.
///
/// A caller repeats its request with the same id after a broken connection or
/// an unknown outcome, until its timeout. A stream that is cut is resumed
/// after its last event. Judge the results with judge().
///
/// Thread safety: blocks the calling thread; use one at a time.
std::vector<ItemResult> runTrace(const http::Endpoint &Entry,
                                 const std::vector<TraceItem> &Items);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_RUNNER_H
