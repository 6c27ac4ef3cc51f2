// The scheduling module: the leading entry's decisions about which task runs on
// which VM, based on the store and the agents' reports. No I/O and no clock.
//
//   JobProgress.h  a job's tasks and their stored form
//   VmState.h      a VM, its worker and the runs that may be on it
//   VmHistory.h    how long the workers of a VM have lasted
//   RunForecast.h  when a run ends, by its progress
//   DrainPlan.h    which runs leave a worker that will end
//   TailModel.h    interference of best-effort tasks with serving tasks
//   VmChoice.h     selects a VM for a task, and runs to preempt
//   Evacuation.h   failure domains that the operator has evacuated
//   Scheduler.h    schedules all jobs on all VMs and creates agents' orders
//
// See Scheduler.h next.
#ifndef DAISYSPOOL_SCHEDULING_SCHEDULING_H
#define DAISYSPOOL_SCHEDULING_SCHEDULING_H

#include "daisyspool/scheduling/DrainPlan.h"
#include "daisyspool/scheduling/Evacuation.h"
#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/RunForecast.h"
#include "daisyspool/scheduling/Scheduler.h"
#include "daisyspool/scheduling/VmChoice.h"
#include "daisyspool/scheduling/VmHistory.h"
#include "daisyspool/scheduling/VmState.h"

#endif // DAISYSPOOL_SCHEDULING_SCHEDULING_H
