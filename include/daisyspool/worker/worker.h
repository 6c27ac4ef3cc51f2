// The worker module: how an agent runs batch tasks on its VM.
//
//   Worker.h      the interface: run, renew, checkpoint, throttle, stop, list
//   HttpWorker.h  its implementation over HTTP and JSON
//
// See Worker.h next.
#ifndef DAISYSPOOL_WORKER_WORKER_H_OVERVIEW
#define DAISYSPOOL_WORKER_WORKER_H_OVERVIEW

#include "daisyspool/worker/HttpWorker.h"
#include "daisyspool/worker/Worker.h"

#endif // DAISYSPOOL_WORKER_WORKER_H_OVERVIEW
