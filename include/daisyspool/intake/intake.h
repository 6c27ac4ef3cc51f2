// The intake module: what an entry does for callers, backed by the store.
//
//   Layout.h     the project's tables and rows
//   JobIntake.h  accepts jobs, tells their status, records cancellations
//
// See JobIntake.h next; leadership/LeaderDuty.h acts on what it stores.
#ifndef DAISYSPOOL_INTAKE_INTAKE_H
#define DAISYSPOOL_INTAKE_INTAKE_H

#include "daisyspool/intake/JobIntake.h"
#include "daisyspool/intake/Layout.h"

#endif // DAISYSPOOL_INTAKE_INTAKE_H
