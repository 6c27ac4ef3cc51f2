// The placement module: chooses VMs for tasks. Pure; every call takes the
// observed state and the time.
//
//   Handles.h         dense numbers that stand for textual ids
//   FleetView.h       VMs, running tasks and the indexes over them
//   BucketIndex.h     VMs by free amount, in O(1) per update
//   Rules.h           spread, affinity and avoidance; what can never run
//   UsageEstimator.h  learned real use by kind of task
//   UrgentReserve.h   room that is kept for urgent starts
//   Placer.h          the decision itself
//
// See Placer.h next.
#ifndef DAISYSPOOL_PLACEMENT_PLACEMENT_H
#define DAISYSPOOL_PLACEMENT_PLACEMENT_H

#include "daisyspool/placement/BucketIndex.h"
#include "daisyspool/placement/FleetView.h"
#include "daisyspool/placement/Handles.h"
#include "daisyspool/placement/Placer.h"
#include "daisyspool/placement/Rules.h"
#include "daisyspool/placement/UrgentReserve.h"
#include "daisyspool/placement/UsageEstimator.h"

#endif // DAISYSPOOL_PLACEMENT_PLACEMENT_H
