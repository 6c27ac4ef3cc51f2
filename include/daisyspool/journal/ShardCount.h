#ifndef DAISYSPOOL_JOURNAL_SHARDCOUNT_H
#define DAISYSPOOL_JOURNAL_SHARDCOUNT_H

#include "daisyspool/platform/TableService.h"

#include <cstdint>

namespace daisyspool {

/// Returns the number of shards of a store, which never changes. An empty store
/// is initialised with \p Configured. Otherwise \p Configured is ignored, so
/// that processes with different settings map ids to the same shards.
///
/// Precondition: \p Configured is not zero. Throws PlatformUnavailable or
/// PlatformThrottled, after which a repeat is safe, and JournalCorrupt if the
/// row does not hold a positive number.
std::uint64_t loadOrInitShardCount(TableService &Table,
                                   std::uint64_t Configured);

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_SHARDCOUNT_H
