#ifndef DAISYSPOOL_PLATFORM_TABLESERVICE_H
#define DAISYSPOOL_PLATFORM_TABLESERVICE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

/// Address of a row; rows of a partition are ordered by Sort.
struct RowKey {
  std::string Partition;
  std::string Sort;

  auto operator<=>(const RowKey &) const = default;
};

struct Row {
  RowKey Key;
  std::uint64_t Version = 0;
  std::string Value;
};

struct MustNotExist {};
struct MustHaveVersion {
  std::uint64_t Version = 0;
};
struct Unconditional {};
using Condition = std::variant<Unconditional, MustNotExist, MustHaveVersion>;

struct PutRow {
  RowKey Key;
  std::uint64_t NewVersion = 0;
  std::string Value;
  Condition Require;
};

struct DeleteRow {
  RowKey Key;
  Condition Require;
};

struct CheckRow {
  RowKey Key;
  Condition Require;
};

using Write = std::variant<PutRow, DeleteRow, CheckRow>;

/// Writes that take effect together or not at all; at most 100.
struct Transaction {
  std::string Token;
  std::vector<Write> Writes;
};

/// The platform's transactional table service. It holds all durable state that
/// is not an object; see ObjectStore for the rest.
///
/// Thread safety: one thread per instance. Calls block.
class TableService {
public:
  TableService() = default;
  TableService(const TableService &) = delete;
  TableService &operator=(const TableService &) = delete;
  virtual ~TableService() = default;

  /// Reads one row, strongly consistent. Throws PlatformUnavailable or
  /// PlatformThrottled.
  virtual std::optional<Row> read(const RowKey &Key) = 0;

  /// Reads at most \p Limit rows of \p Partition from \p FromSort on, ascending
  /// by Sort. Throws PlatformUnavailable or PlatformThrottled.
  virtual std::vector<Row> query(const std::string &Partition,
                                 const std::string &FromSort,
                                 std::size_t Limit) = 0;

  /// Applies all writes or none. Throws ConditionFailed or PlatformThrottled if
  /// nothing changed, and PlatformUnavailable if the effect is unknown. A
  /// repeat with the same token within ten minutes takes effect once.
  virtual void commit(const Transaction &Writes) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_TABLESERVICE_H
