// The entry module: the process on an entry VM. It admits callers' requests,
// routes them to targets, and carries the operators' API.
//
//   EntryProcess.h   the process: its duties and their wiring
//   CallerRequest.h  a caller's HTTP request, checked
//   TargetPool.h     the known targets and the links to their agents
//   RequestFlow.h    one request from admission to answer
//
// See EntryProcess.h next.
#ifndef DAISYSPOOL_ENTRY_ENTRY_H
#define DAISYSPOOL_ENTRY_ENTRY_H

#include "daisyspool/entry/CallerRequest.h"

#include "daisyspool/entry/TargetPool.h"

#endif // DAISYSPOOL_ENTRY_ENTRY_H
