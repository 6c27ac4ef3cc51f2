// The interference module: learns which kinds of task slow which others, and
// responds to noisy neighbours in steps. No I/O and no clock; every call takes
// the time.
//
//   ColocationHistory.h  tasks that shared a VM at the time of a late report
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
