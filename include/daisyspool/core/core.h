// The core module: identifiers, units, clocks, errors, the bounded ring and the
// seeded random source that all other modules use. It has no threads and does
// no I/O.
//
//   Ids.h     strong identifier types
//   Units.h   strong quantities: CPU, memory, accelerators
//   Clock.h   monotonic time, real or virtual
//   Errors.h  the exception types and the outcome of a request
//   Ring.h    a bounded queue between two threads
//   Random.h  a small seeded generator
//   Hash.h    stable hashing and the shard of a key
#ifndef DAISYSPOOL_CORE_CORE_H
#define DAISYSPOOL_CORE_CORE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Hash.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/core/Ring.h"
#include "daisyspool/core/Units.h"

#endif // DAISYSPOOL_CORE_CORE_H
