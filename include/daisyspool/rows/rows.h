// The rows module: the port to the store that holds what must last on machines
// without disks.
//
//   RowStore.h    conditional transactions, range reads and change feeds
//   TableWatch.h  all rows of a table, then each change
//
// See RowStore.h next; platform/RowStoreClient.h is the adapter.
#ifndef DAISYSPOOL_ROWS_ROWS_H
#define DAISYSPOOL_ROWS_ROWS_H

#include "daisyspool/rows/RowStore.h"
#include "daisyspool/rows/TableWatch.h"

#endif // DAISYSPOOL_ROWS_ROWS_H
