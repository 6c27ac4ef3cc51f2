#include "daisyspool/core/Hash.h"

#include <xxhash.h>

#include <cassert>

namespace daisyspool {

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

ShardId shardOf(std::string_view Key, std::uint64_t ShardCount) {
  assert(ShardCount != 0);
  return ShardId(stableHash(Key) % ShardCount);
}

} // namespace daisyspool
