// The commitments module: the attempts and requests that an agent has accepted
// for its VM. It has no threads and does no I/O.
//
//   Orders.h           messages between shard owners and agents
//   CommitmentTable.h  the only place where the VM's resources are committed
//   RequestLedger.h    which non-idempotent requests this agent has run
#ifndef DAISYSPOOL_COMMITMENTS_COMMITMENTS_H
#define DAISYSPOOL_COMMITMENTS_COMMITMENTS_H

#include "daisyspool/commitments/CommitmentTable.h"
#include "daisyspool/commitments/Orders.h"
#include "daisyspool/commitments/RequestLedger.h"

#endif // DAISYSPOOL_COMMITMENTS_COMMITMENTS_H
