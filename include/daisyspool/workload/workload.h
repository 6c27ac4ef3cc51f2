// The workload module: jobs as submitted by callers, and the configuration of
// queues and services by operators.
//
//   JobDefinition.h  jobs, steps, tasks and the policy of their queue
//   FleetConfig.h    routes and services of one configuration
//   Limits.h         limits of the numbers that other processes send
//
// See JobDefinition.h next.
#ifndef DAISYSPOOL_WORKLOAD_WORKLOAD_H
#define DAISYSPOOL_WORKLOAD_WORKLOAD_H

#include "daisyspool/workload/FleetConfig.h"
#include "daisyspool/workload/JobDefinition.h"
#include "daisyspool/workload/Limits.h"

#endif // DAISYSPOOL_WORKLOAD_WORKLOAD_H
