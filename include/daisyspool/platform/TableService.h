#ifndef DAISYSPOOL_PLATFORM_TABLESERVICE_H
#define DAISYSPOOL_PLATFORM_TABLESERVICE_H

#include "daisyspool/core/Errors.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

/// Primary key of a row. Both parts are non-empty valid UTF-8.
struct RowKey {
  std::string Partition;
  std::string Sort;

  auto operator<=>(const RowKey &) const = default;
};

/// A stored row. \p Value holds any bytes.
struct Row {
  RowKey Key;
  std::uint64_t Version = 0;
  std::string Value;

  bool operator==(const Row &) const = default;
};

/// Condition that the row does not exist.
struct MustNotExist {};
/// Condition that the row exists with this version.
struct MustHaveVersion {
  std::uint64_t Version = 0;
};
/// No condition: the write always applies.
struct Unconditional {};
using Condition = std::variant<Unconditional, MustNotExist, MustHaveVersion>;

/// Creates or replaces a row if \p Require holds.
struct PutRow {
  RowKey Key;
  std::uint64_t NewVersion = 0;
  std::string Value;
  Condition Require;
};
/// Deletes a row if \p Require holds.
struct DeleteRow {
  RowKey Key;
  Condition Require;
};
/// Changes nothing, but the whole transaction fails if \p Require does not
/// hold. Precondition: \p Require is not Unconditional.
struct CheckRow {
  RowKey Key;
  Condition Require;
};
using Write = std::variant<PutRow, DeleteRow, CheckRow>;

/// Writes that take effect together or not at all. Precondition: 1 to
/// TableService::MaxWrites writes to different rows and a non-empty token.
struct Transaction {
  std::string Token;
  std::vector<Write> Writes;
};

/// The platform's transactional table service. It holds all durable state.
///
/// Use it through journal/ShardJournal.h for jobs and claims. See DynamoTable.h
/// for the implementation over HTTP.
///
/// Every call blocks and may throw PlatformUnavailable (no usable answer),
/// PlatformThrottled (refused by a rate limit) or PlatformProtocolError (an
/// answer that violates the protocol, or a request that the service rejects as
/// invalid). The caller decides when to retry, see RetryPolicy.h.
///
/// Thread safety: one thread per instance.
class TableService {
public:
  static constexpr std::size_t MaxWrites = 100;
  /// Limit on key and value of one row together.
  static constexpr std::size_t MaxRowBytes = 400 * 1024;
  /// Limit on all rows of one transaction together.
  static constexpr std::size_t MaxTransactionBytes = 4 * 1024 * 1024;

  TableService() = default;
  TableService(const TableService &) = delete;
  TableService &operator=(const TableService &) = delete;
  virtual ~TableService() = default;

  /// Strongly consistent read; nothing if the row does not exist.
  virtual std::optional<Row> read(const RowKey &Key) = 0;

  /// Strongly consistent read of at most \p Limit rows of \p Partition whose
  /// sort key is \p FromSort or greater, ascending in byte order. An empty
  /// \p FromSort starts at the first row. Precondition: \p Limit is not zero.
  virtual std::vector<Row> query(const std::string &Partition,
                                 const std::string &FromSort,
                                 std::size_t Limit) = 0;

  /// Applies all of \p Writes or none.
  ///
  /// Throws ConditionFailed or PlatformThrottled if nothing changed. After
  /// PlatformUnavailable or PlatformProtocolError the effect is unknown, and
  /// the write may still take effect later: read back before repeating.
  /// Repeating the same transaction with the same token within ten minutes of
  /// its success has no further effect; another transaction with that token
  /// throws PlatformProtocolError.
  virtual void commit(const Transaction &Writes) = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_TABLESERVICE_H
