#ifndef DAISYSPOOL_REPLAY_REPLAY_H
#define DAISYSPOOL_REPLAY_REPLAY_H

/// Replays a trace of callers' work against a deployment and judges what the
/// callers saw. See docs/replay.md.
///
/// Start with Trace.h and Outcome.h for the files, Runner.h for the replay and
/// Judge.h for the verdicts.
#include "daisyspool/replay/EventReader.h"
#include "daisyspool/replay/Judge.h"
#include "daisyspool/replay/Outcome.h"
#include "daisyspool/replay/ReplayCommand.h"
#include "daisyspool/replay/Runner.h"
#include "daisyspool/replay/Trace.h"

#endif // DAISYSPOOL_REPLAY_REPLAY_H
