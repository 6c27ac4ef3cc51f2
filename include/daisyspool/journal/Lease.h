#ifndef DAISYSPOOL_JOURNAL_LEASE_H
#define DAISYSPOOL_JOURNAL_LEASE_H

#include "daisyspool/core/Clock.h"

namespace daisyspool {

/// Time that a candidate waits until a lease of \p Lease has ended on the
/// holder's clock as well.
constexpr Duration takeoverWait(Duration Lease) { return Lease * 11 / 10; }

/// Time for which a holder uses a lease of \p Lease. Two clocks that are 5%
/// off in opposite directions differ by a factor of 1.105, more than the 1.1
/// of takeoverWait(), so the holder stops 1% early.
constexpr Duration holderTime(Duration Lease) { return Lease * 99 / 100; }

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_LEASE_H
