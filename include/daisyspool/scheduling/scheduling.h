// The scheduling module: which task runs on which VM, decided by the leading
// entry from what the store and the agents say. Pure: no I/O and no clock.
//
//   JobProgress.h  a job's tasks and their stored form
//   VmState.h      a VM, its worker and the runs that may be on it
//   VmChoice.h     the VM for a task, and what gives way to urgent work
//   Scheduler.h    the whole: jobs, VMs, orders
//
// See Scheduler.h next.
#ifndef DAISYSPOOL_SCHEDULING_SCHEDULING_H
#define DAISYSPOOL_SCHEDULING_SCHEDULING_H

#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/Scheduler.h"
#include "daisyspool/scheduling/VmChoice.h"
#include "daisyspool/scheduling/VmState.h"

#endif // DAISYSPOOL_SCHEDULING_SCHEDULING_H
