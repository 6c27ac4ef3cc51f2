// The rows module: interface of the store for data that must survive the
// process, as the machines have no disks.
//
//   RowStore.h    conditional transactions, range reads and change feeds
//   TableWatch.h  delivers all rows of a table, then each change
//   StoreAccess.h whether the store serves this process
//   ObservedStore.h records the outcome of all calls in a StoreAccess
//
// See RowStore.h next; platform/RowStoreClient.h implements it.
#ifndef DAISYSPOOL_ROWS_ROWS_H
#define DAISYSPOOL_ROWS_ROWS_H

#include "daisyspool/rows/ObservedStore.h"
#include "daisyspool/rows/RowStore.h"
#include "daisyspool/rows/StoreAccess.h"
#include "daisyspool/rows/TableWatch.h"

#endif // DAISYSPOOL_ROWS_ROWS_H
