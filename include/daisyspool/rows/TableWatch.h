#ifndef DAISYSPOOL_ROWS_TABLEWATCH_H
#define DAISYSPOOL_ROWS_TABLEWATCH_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/rows/RowStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisyspool::rows {

/// Delivers all rows of some partitions of a table, then each change.
///
/// When the store no longer has the history, all rows are read again; a row may
/// thus be delivered more than once, but never with an older version. Failed
/// calls are retried until the watch is destroyed. If the callback throws, the
/// failure is logged, the rows are delivered again one by one, and the watch
/// goes on.
///
/// Thread safety: call from the I/O thread only. Destroying the watch ends it.
class TableWatch {
public:
  struct Options {
    std::string Table;
    std::vector<std::string> Partitions;
    /// How long one call waits for changes, and thereby how long changes are
    /// missed on a connection that has gone silent.
    Millis Wait{1000};
    /// Deliver rows that were removed while the store's history was gone as
    /// removed. The watch then remembers the names of all rows.
    bool ReportRemovals = false;
  };
  using RowsCallback = std::function<void(std::vector<StoredRow>)>;

  /// Calls \p OnRows with the rows and then with each set of changes; the
  /// first call may have no rows.
  TableWatch(EventLoop &Loop, const Clock &Time, RowStore &Store,
             Options Config, RowsCallback OnRows);
  TableWatch(const TableWatch &) = delete;
  TableWatch &operator=(const TableWatch &) = delete;
  ~TableWatch();

  /// When the store last answered; the epoch before the first answer.
  TimePoint lastAnswer() const;

  /// All changes that were committed before this time have been delivered; the
  /// epoch before the first answer. Counts from when a call was sent, as an
  /// answer may wait for a busy process.
  TimePoint currentAsOf() const;

  /// A version that the store had reached when it last answered; 0 before the
  /// first answer.
  RowVersion version() const;

private:
  class Impl;
  std::shared_ptr<Impl> State;
};

} // namespace daisyspool::rows

#endif // DAISYSPOOL_ROWS_TABLEWATCH_H
