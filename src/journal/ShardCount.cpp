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
    throw JournalCorrupt("row meta/shards holds '" + Value +
                         "', expected a positive number");

  return Count;
}

} // namespace

std::uint64_t loadOrInitShardCount(TableService &Table,
                                   std::uint64_t Configured) {
  assert(Configured != 0);
  const RowKey Key{"meta", "shards"};
  if (std::optional<Row> CountRow = Table.read(Key))
    return parseCount(CountRow->Value);

  const std::string Value = std::to_string(Configured);
  try {
    Table.commit(
        {"meta-shards-" + Value, {PutRow{Key, 1, Value, MustNotExist{}}}});
  } catch (const ConditionFailed &) {
    // Another process initialised the store; its row is read below.
  }

  std::optional<Row> CountRow = Table.read(Key);
  if (!CountRow)
    throw JournalCorrupt("row meta/shards was deleted");
  return parseCount(CountRow->Value);
}

} // namespace daisyspool
