// The core module: identifiers, units, clocks, errors, the bounded ring and the
// seeded random source that every other module builds on. It has no threads
// and does no I/O.
//
//   Ids.h     strong identifier types
//   Units.h   strong quantities: memory, processor shares, accelerators
//   Clock.h   monotonic time, real or driven by a test
//   Errors.h  the exception types and the outcome of a request
//   Ring.h    the bounded queue between two duty threads
//   Random.h  a small seeded generator
//   Hash.h    stable hashing and rendezvous choice
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
