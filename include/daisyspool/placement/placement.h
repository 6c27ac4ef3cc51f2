// The placement module: chooses VMs for tasks. No I/O and no clock; every call
// takes the observed state and the time.
//
//   Handles.h         dense indexes that replace textual ids
//   FleetView.h       VMs, running tasks and the indexes over them
//   BucketIndex.h     VMs by free amount, in O(1) per update
//   Rules.h           spread, affinity and avoidance; feasibility
//   UsageEstimator.h  estimated resource use by kind of task
//   UrgentReserve.h   capacity reserved for urgent starts
//   Placer.h          the placement decision
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
