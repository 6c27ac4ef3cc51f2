// The agent module: the process beside each target. It announces the target,
// fronts its slots and connections, and runs tasks on its VM.
//
//   AgentProcess.h  the process: its duties and their wiring
//   TargetFront.h   requests to the target within slots and connections
//   AttemptLog.h    which attempts were run, and with which answer
//   Announcer.h     makes the target known through the balancer
//
// See AgentProcess.h next.
#ifndef DAISYSPOOL_AGENT_AGENT_H
#define DAISYSPOOL_AGENT_AGENT_H

#include "daisyspool/agent/AgentProcess.h"
#include "daisyspool/agent/Announcer.h"
#include "daisyspool/agent/AttemptLog.h"
#include "daisyspool/agent/TargetFront.h"

#endif // DAISYSPOOL_AGENT_AGENT_H
