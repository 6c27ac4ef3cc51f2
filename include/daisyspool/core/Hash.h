#ifndef DAISYSPOOL_CORE_HASH_H
#define DAISYSPOOL_CORE_HASH_H

#include "daisyspool/core/Ids.h"

#include <cstdint>
#include <string_view>

namespace daisyspool {

/// A 64-bit hash that is the same in every process and version.
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// The shard that holds \p Key. Precondition: \p ShardCount is not zero.
ShardId shardOf(std::string_view Key, std::uint64_t ShardCount);

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_HASH_H
