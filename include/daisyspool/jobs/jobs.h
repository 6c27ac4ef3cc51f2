// The jobs module: jobs, tasks, attempts and claims of non-idempotent
// requests, as one state machine for each shard. It has no threads; its only
// I/O is the ShardJournal's.
//
//   Events.h         what a shard's log holds, and the codec
//   JobTable.h       the state that the events give, and the decisions on it
//   AttemptLeases.h  when the owner may start a silent task again
//   ShardOwner.h     one entry's part for one shard: log, table and messages
#ifndef DAISYSPOOL_JOBS_JOBS_H
#define DAISYSPOOL_JOBS_JOBS_H

#include "daisyspool/jobs/AttemptLeases.h"
#include "daisyspool/jobs/Events.h"
#include "daisyspool/jobs/JobTable.h"
#include "daisyspool/jobs/ShardOwner.h"

#endif // DAISYSPOOL_JOBS_JOBS_H
