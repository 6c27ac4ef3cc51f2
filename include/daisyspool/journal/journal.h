// The journal module: a shard's durable log in the platform's table service,
// with one owner at a time. It has no threads; its only I/O is through the
// TableService and ObjectStore that it is given.
//
//   Entry.h         the rows of a log, their codec and hash chain
//   Lease.h         how long a holder uses a lease and a candidate waits for it
//   ShardCount.h    the number of shards, fixed for a store
//   ShardJournal.h  ownership, appends, replay and snapshots of one log
#ifndef DAISYSPOOL_JOURNAL_JOURNAL_H
#define DAISYSPOOL_JOURNAL_JOURNAL_H

#include "daisyspool/journal/Entry.h"
#include "daisyspool/journal/Lease.h"
#include "daisyspool/journal/ShardCount.h"
#include "daisyspool/journal/ShardJournal.h"

#endif // DAISYSPOOL_JOURNAL_JOURNAL_H
