// The agent module: the process beside each target. It announces the target,
// fronts its slots and connections, and runs tasks on its VM.
//
//   AgentProcess.h  the process: its duties and their wiring
//   TargetFront.h   requests to the target within slots and connections
//   TaskDuty.h      batch tasks under leases
//   Announcer.h     makes the target known through the balancer
//
// See AgentProcess.h next.
#ifndef DAISYSPOOL_AGENT_AGENT_H
#define DAISYSPOOL_AGENT_AGENT_H

#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/agent/Announcer.h"
#include "daisyspool/agent/TargetFront.h"
#include "daisyspool/agent/TaskDuty.h"

#endif // DAISYSPOOL_AGENT_AGENT_H
