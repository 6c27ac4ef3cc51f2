#ifndef DAISYSPOOL_ROWS_ROWSTORE_H
#define DAISYSPOOL_ROWS_ROWSTORE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"

#include <cstddef>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool::rows {

/// Position of a transaction in the store's total order; 0 is before all.
using RowVersion = StrongNumber<struct RowVersionTag>;

struct RowName {
  std::string Table;
  /// The same for all rows of one transaction.
  std::string Partition;
  std::string Key;

  auto operator<=>(const RowName &) const = default;
};

struct StoredRow {
  RowName Name;
  /// Empty if the stored value could not be read.
  std::string Value;
  RowVersion Version;
  /// In a feed: the row was removed.
  bool Removed = false;
};

/// The version that a row must have; version 0 means that it must not exist.
struct RowCondition {
  RowName Name;
  RowVersion Version;
};

struct RowValue {
  RowName Name;
  std::string Value;
};

/// What one store accepts. A row or transaction above its limits is rejected,
/// however often it is repeated.
struct StoreLimits {
  /// Largest value of a row, in bytes.
  std::size_t RowBytes = 65536;
  /// Largest request for a transaction, as encodedBytes() estimates it.
  std::size_t TransactionBytes = 1'000'000;
  /// Most conditions, puts and removes of a transaction in total.
  std::size_t TransactionEntries = 100;
};

/// Applied atomically. Must be within the limits of the store.
struct RowTransaction {
  std::vector<RowCondition> Conditions;
  std::vector<RowValue> Puts;
  std::vector<RowName> Removes;
};

struct Committed {
  RowVersion Version;
};
/// A condition did not hold. \p Current has those rows of the conditions that
/// exist.
struct Conflict {
  std::vector<StoredRow> Current;
};
/// The transaction was not applied and will not be applied later.
struct NotApplied {
  std::string Detail;
};
/// The store will not apply the transaction, however often it is repeated.
struct Rejected {
  std::string Detail;
};
/// The transaction may have been applied, or may still be applied later if its
/// conditions hold then.
struct OutcomeUnknown {
  std::string Detail;
};
using CommitOutcome =
    std::variant<Committed, Conflict, NotApplied, Rejected, OutcomeUnknown>;

struct RowPage {
  std::vector<StoredRow> Rows;
  bool Truncated = false;
  /// The newest version of the store when the page was read.
  RowVersion Version;
};
struct ReadFailed {
  std::string Detail;
};
/// The store no longer has the changes after the requested version.
struct HistoryGone {};
using ReadOutcome = std::variant<RowPage, ReadFailed>;
using FeedOutcome = std::variant<RowPage, HistoryGone, ReadFailed>;

/// Keys from \p From, inclusive, to \p To, exclusive; an empty \p To is no
/// bound.
struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string To;
};

/// Interface of a transactional, linearizable store of rows.
///
/// Thread safety: call from the I/O thread; callbacks run there, each exactly
/// once. Errors are outcomes and never exceptions.
class RowStore {
public:
  RowStore() = default;
  RowStore(const RowStore &) = delete;
  RowStore &operator=(const RowStore &) = delete;
  virtual ~RowStore() = default;

  /// Applies \p Transaction. \p Timeout bounds only the wait for the answer;
  /// the transaction may be applied later.
  virtual void commit(const RowTransaction &Transaction, Millis Timeout,
                      std::function<void(CommitOutcome)> Done) = 0;

  /// Reads the first rows of \p Range in ascending order of keys.
  virtual void read(const RowRange &Range, Millis Timeout,
                    std::function<void(ReadOutcome)> Done) = 0;

  /// Waits up to \p Wait for changes of \p Table after the version \p After.
  virtual void follow(const std::string &Table, RowVersion After, Millis Wait,
                      std::function<void(FeedOutcome)> Done) = 0;
};

/// An upper bound for the bytes that a row of the given name lengths and value
/// takes in the request for a transaction, where values are base64.
///
/// Thread safety: safe from any thread.
constexpr std::size_t encodedBytes(std::size_t NameBytes,
                                   std::size_t ValueBytes) {
  constexpr std::size_t FieldBytes = 80;
  return FieldBytes + NameBytes + (ValueBytes + 2) / 3 * 4;
}
std::size_t encodedBytes(const RowTransaction &Transaction);

/// The row \p Name among \p Rows, or null.
///
/// Thread safety: safe from any thread.
const StoredRow *findRow(const std::vector<StoredRow> &Rows,
                         const RowName &Name);

/// The range that contains only the row \p Name.
RowRange singleRowRange(const RowName &Name);

} // namespace daisyspool::rows

#endif // DAISYSPOOL_ROWS_ROWSTORE_H
