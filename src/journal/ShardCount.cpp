#include "daisyspool/journal/ShardCount.h"

#include "daisyspool/journal/Entry.h"

#include <cassert>
#include <charconv>

namespace daisyspool {

namespace {

std::uint64_t parseCount(const std::string &Value) {
  std::uint64_t Count = 0;
  const char *End = Value.data() + Value.size();
  const auto Result = std::from_chars(Value.data(), End, Count);
  if (Result.ec != std::errc() || Result.ptr != End || Count == 0)
    throw JournalCorrupt("meta/shards holds '" + Value + "'");

  return Count;
}

} // namespace

std::uint64_t agreedShardCount(TableService &Table, std::uint64_t Wanted) {
  assert(Wanted != 0);
  const RowKey Key{"meta", "shards"};
  if (std::optional<Row> Found = Table.read(Key))
    return parseCount(Found->Value);

  const std::string Value = std::to_string(Wanted);
  try {
    Table.commit(
        {"meta-shards-" + Value, {PutRow{Key, 1, Value, MustNotExist{}}}});
  } catch (const ConditionFailed &) {
    // Another process initialised the store; its row is read below.
  }

  std::optional<Row> Found = Table.read(Key);
  if (!Found)
    throw JournalCorrupt("meta/shards is gone");
  return parseCount(Found->Value);
}

} // namespace daisyspool
