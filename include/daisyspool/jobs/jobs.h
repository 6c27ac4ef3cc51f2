// The jobs module manages jobs, tasks, attempts and claims of non-idempotent
// requests, as one state machine per shard. It has no threads; its only I/O is
// that of the ShardJournal.
//
//   Events.h         the events in a shard's log, and their codec
//   JobTable.h       the state that the events result in, and decisions
//   AttemptLeases.h  the task leases that the owner granted
//   ShardOwner.h     an entry's role for one shard: log, table and messages
#ifndef DAISYSPOOL_JOBS_JOBS_H
#define DAISYSPOOL_JOBS_JOBS_H

#include "daisyspool/jobs/AttemptLeases.h"
#include "daisyspool/jobs/Events.h"
#include "daisyspool/jobs/JobTable.h"
#include "daisyspool/jobs/ShardOwner.h"

#endif // DAISYSPOOL_JOBS_JOBS_H
