// The entry module: the process on an entry VM. It admits callers' requests,
// routes them to targets, and serves the operators' API.
//
//   EntryProcess.h   runs the process with one thread for each duty
//   CallerRequest.h  parses a caller's HTTP request
//   TargetPool.h     the known targets and the links to their agents
//   RequestFlow.h    takes each request from admission to its answer
//
// See EntryProcess.h next.
#ifndef DAISYSPOOL_ENTRY_ENTRY_H
#define DAISYSPOOL_ENTRY_ENTRY_H

#include "daisyspool/entry/CallerRequest.h"

#include "daisyspool/entry/TargetPool.h"

#endif // DAISYSPOOL_ENTRY_ENTRY_H
