#ifndef DAISYSPOOL_JOURNAL_SHARDCOUNT_H
#define DAISYSPOOL_JOURNAL_SHARDCOUNT_H

#include "daisyspool/platform/TableService.h"

#include <cstdint>

namespace daisyspool {

/// Returns the number of shards of a store, which never changes. An empty store
/// is initialised with \p Wanted; for another store \p Wanted is ignored, so
/// that a process with other settings still maps ids to the same shards.
///
/// Precondition: \p Wanted is not zero. Throws PlatformUnavailable or
/// PlatformThrottled, after which a repeat is safe, and JournalCorrupt if the
/// row holds no number.
std::uint64_t agreedShardCount(TableService &Table, std::uint64_t Wanted);

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_SHARDCOUNT_H
