// The process module: the threads of a process and its shutdown.
//
//   DutySet.h  one thread per duty, supervised through CAF
//
// See DutySet.h next.
#ifndef DAISYSPOOL_PROCESS_PROCESS_H
#define DAISYSPOOL_PROCESS_PROCESS_H

#include "daisyspool/process/DutySet.h"

#endif // DAISYSPOOL_PROCESS_PROCESS_H
