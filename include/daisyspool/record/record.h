// The record module: who asked for what, where and when it ran, and how it
// ended, as the logs have it. Its only I/O is through the TableService.
//
//   RunRecord.h  queries over the record, and its verification
#ifndef DAISYSPOOL_RECORD_RECORD_H
#define DAISYSPOOL_RECORD_RECORD_H

#include "daisyspool/record/RunRecord.h"

#endif // DAISYSPOOL_RECORD_RECORD_H
