// The admission module decides which requests of a service run, wait or are
// refused. It does no I/O: it takes observations and times and returns
// decisions.
//
//   WorkClass.h          sets of work classes and what a request occupies
//   AdmissionQueue.h     refusal by deadline, fair queues by class and team
//   ConcurrencyLimit.h   adaptive concurrency limit of one target
//   DurationHistogram.h  quantiles of durations
#ifndef DAISYSPOOL_ADMISSION_ADMISSION_H
#define DAISYSPOOL_ADMISSION_ADMISSION_H

#include "daisyspool/admission/AdmissionQueue.h"
#include "daisyspool/admission/ConcurrencyLimit.h"
#include "daisyspool/admission/DurationHistogram.h"
#include "daisyspool/admission/WorkClass.h"

#endif // DAISYSPOOL_ADMISSION_ADMISSION_H
