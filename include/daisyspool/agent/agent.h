// The agent module: the process beside each target. It announces the target,
// forwards requests within its slots and connections, and runs tasks on its VM.
//
//   AgentProcess.h  runs the process with one thread for each duty
//   TargetProxy.h   forwards requests to the target within its slots
//   TaskDuty.h      runs batch tasks under leases
//   Announcer.h     announces the target through the balancer
//
// See AgentProcess.h next.
#ifndef DAISYSPOOL_AGENT_AGENT_H
#define DAISYSPOOL_AGENT_AGENT_H

#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/agent/Announcer.h"
#include "daisyspool/agent/TargetProxy.h"
#include "daisyspool/agent/TaskDuty.h"

#endif // DAISYSPOOL_AGENT_AGENT_H
