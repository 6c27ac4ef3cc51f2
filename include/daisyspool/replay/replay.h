#ifndef DAISYSPOOL_REPLAY_REPLAY_H
#define DAISYSPOOL_REPLAY_REPLAY_H

/// Replays a trace of requests, streams and jobs against a deployment and
/// evaluates the results that the callers saw. See docs/replay.md.
///
/// Start with Trace.h and Outcome.h for the files, Runner.h for the replay and
/// Evaluation.h for the verdicts.
#include "daisyspool/replay/Evaluation.h"
#include "daisyspool/replay/EventReader.h"
#include "daisyspool/replay/Outcome.h"
#include "daisyspool/replay/ReplayCommand.h"
#include "daisyspool/replay/Runner.h"
#include "daisyspool/replay/Trace.h"

#endif // DAISYSPOOL_REPLAY_REPLAY_H
