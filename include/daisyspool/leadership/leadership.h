// The leadership module: one entry at a time runs the scheduler.
//
//   LeaderRecord.h  the fence row and the leader's public status
//   AgentLinks.h    sync requests from the leader to the agents
//   HttpChannel.h   sends them over HTTP
//   Succession.h    which entry takes over, and whether a leader keeps up
//   LeaderDuty.h    leader election and the work of the leader
//
// See LeaderDuty.h next.
#ifndef DAISYSPOOL_LEADERSHIP_LEADERSHIP_H
#define DAISYSPOOL_LEADERSHIP_LEADERSHIP_H

#include "daisyspool/leadership/AgentLinks.h"
#include "daisyspool/leadership/HttpChannel.h"
#include "daisyspool/leadership/LeaderDuty.h"
#include "daisyspool/leadership/LeaderRecord.h"
#include "daisyspool/leadership/Succession.h"

#endif // DAISYSPOOL_LEADERSHIP_LEADERSHIP_H
