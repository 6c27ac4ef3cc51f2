// The overload module: which work waits and which is refused when there is too
// little room. Decisions only, without I/O.
//
//   JobDemand.h      what a job needs and until when it is of use
//   OverloadOrder.h  the order in which waiting jobs get room
//   RoomEstimate.h   how long new jobs wait at least, and which are refused
//
// See docs/design/overload-order.md and OverloadOrder.h next.
#ifndef DAISYSPOOL_OVERLOAD_OVERLOAD_H
#define DAISYSPOOL_OVERLOAD_OVERLOAD_H

#include "daisyspool/overload/JobDemand.h"
#include "daisyspool/overload/OverloadOrder.h"
#include "daisyspool/overload/RoomEstimate.h"

#endif // DAISYSPOOL_OVERLOAD_OVERLOAD_H
