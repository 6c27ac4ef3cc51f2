// The commitments module: what an agent remembers about its VM. It has no
// threads and does no I/O.
//
//   Orders.h          what shard owners and agents tell each other about leases
//   CommitmentBook.h  the only place where the VM's resources are committed
//   RequestLedger.h   which non-idempotent requests this agent has run
#ifndef DAISYSPOOL_COMMITMENTS_COMMITMENTS_H
#define DAISYSPOOL_COMMITMENTS_COMMITMENTS_H

#include "daisyspool/commitments/CommitmentBook.h"
#include "daisyspool/commitments/Orders.h"
#include "daisyspool/commitments/RequestLedger.h"

#endif // DAISYSPOOL_COMMITMENTS_COMMITMENTS_H
