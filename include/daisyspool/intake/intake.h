// The intake module: handles callers' requests on an entry, using the store.
//
//   Layout.h     names of the tables and rows in the store
//   JobIntake.h  accepts jobs, reports their status, records cancellations
//   Withdrawals.h  excludes that a late write stores a job
//   WithdrawalCleanup.h  removes old withdrawals from the store
//   RefusalAdvice.h  when a refused caller may retry
//
// See JobIntake.h next; leadership/LeaderDuty.h processes what it stores.
#ifndef DAISYSPOOL_INTAKE_INTAKE_H
#define DAISYSPOOL_INTAKE_INTAKE_H

#include "daisyspool/intake/JobIntake.h"
#include "daisyspool/intake/Layout.h"
#include "daisyspool/intake/RefusalAdvice.h"
#include "daisyspool/intake/WithdrawalCleanup.h"
#include "daisyspool/intake/Withdrawals.h"

#endif // DAISYSPOOL_INTAKE_INTAKE_H
