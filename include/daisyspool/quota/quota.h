// The quota module: guaranteed shares of the fleet by team, borrowing of idle
// shares and their fair return. No I/O and no clock.
//
//   QuotaLedger.h  the shares and the quota decisions
//
// See QuotaLedger.h next, then placement/Placer.h, which evicts borrowers.
#ifndef DAISYSPOOL_QUOTA_QUOTA_H
#define DAISYSPOOL_QUOTA_QUOTA_H

#include "daisyspool/quota/QuotaLedger.h"

#endif // DAISYSPOOL_QUOTA_QUOTA_H
