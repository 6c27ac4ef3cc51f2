// The routing module chooses the target of each attempt of a request. It does
// no I/O: it takes observations and times and returns decisions.
//
//   Router.h       choice of target, hard limits, ejection, slow start
//   RetryBudget.h  limits the extra load of retries and hedges
//   HedgePolicy.h  when an idempotent request gets a second attempt
#ifndef DAISYSPOOL_ROUTING_ROUTING_H
#define DAISYSPOOL_ROUTING_ROUTING_H

#include "daisyspool/routing/HedgePolicy.h"
#include "daisyspool/routing/RetryBudget.h"
#include "daisyspool/routing/Router.h"

#endif // DAISYSPOOL_ROUTING_ROUTING_H
