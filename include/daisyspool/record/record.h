// The record module: which caller sent each job and request, where and when it
// ran, and how it ended, as read from the logs. Its only I/O is through the
// TableService.
//
//   RunRecord.h  queries over the logs, and their verification
#ifndef DAISYSPOOL_RECORD_RECORD_H
#define DAISYSPOOL_RECORD_RECORD_H

#include "daisyspool/record/RunRecord.h"

#endif // DAISYSPOOL_RECORD_RECORD_H
