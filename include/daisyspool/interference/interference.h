// The interference module: learns which kinds of task slow which, and answers
// noise in steps. Pure; every call takes the time.
//
//   ColocationHistory.h  who shared a VM at the time of a lagging report
//   InterferenceModel.h  slowdown by pair of kinds and load band
//   NoiseResponder.h     throttle, checkpoint and move, stop
//
// See NoiseResponder.h next.
#ifndef DAISYSPOOL_INTERFERENCE_INTERFERENCE_H
#define DAISYSPOOL_INTERFERENCE_INTERFERENCE_H

#include "daisyspool/interference/ColocationHistory.h"
#include "daisyspool/interference/InterferenceModel.h"
#include "daisyspool/interference/NoiseResponder.h"

#endif // DAISYSPOOL_INTERFERENCE_INTERFERENCE_H
