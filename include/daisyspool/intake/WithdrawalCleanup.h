#ifndef DAISYSPOOL_INTAKE_WITHDRAWALCLEANUP_H
#define DAISYSPOOL_INTAKE_WITHDRAWALCLEANUP_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/rows/RowStore.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisyspool::intake {

/// Removes withdrawals of job ids (see Withdrawals) from the store once they
/// are older than a retention period.
///
/// The age of a row follows from versions that the store had reached at known
/// times of this process, so no clocks of different machines are compared. A
/// process that has just started therefore removes nothing for one period. One
/// call is made at a time, and no rows are kept between the steps.
///
/// Thread safety: call from the I/O thread only. Destroying the object ends it.
class WithdrawalCleanup {
public:
  struct Options {
    /// Must exceed the time for which the store may delay a write, and for
    /// which callers repeat a submission. Operators require that a job's
    /// status is known for as long.
    Millis Retention{120'000};
    Millis Interval{60'000};
    rows::StoreLimits Limits;
  };
  struct Hooks {
    /// Whether this process removes the rows. More than one at a time is
    /// correct, and costs calls.
    std::function<bool()> IsResponsible;
    /// A version that the store has reached; may be an older one.
    std::function<rows::RowVersion()> StoreVersion;
  };

  /// \p Loop, \p Time and \p Store must outlive this object.
  WithdrawalCleanup(EventLoop &Loop, const Clock &Time, rows::RowStore &Store,
                    Options Config, Hooks Calls);
  WithdrawalCleanup(const WithdrawalCleanup &) = delete;
  WithdrawalCleanup &operator=(const WithdrawalCleanup &) = delete;
  ~WithdrawalCleanup();

private:
  /// One pass through all rows.
  struct Pass;
  /// The store had reached \c Version at the time \c At.
  struct Mark {
    rows::RowVersion Version;
    TimePoint At{};
  };

  void startTick();
  void onTick();
  void readPage();
  void onPage(const rows::ReadOutcome &Outcome);
  /// Removes the next rows of the page, or reads on.
  void removeNext();
  void onRemoved(std::size_t Rows, const rows::CommitOutcome &Outcome);
  /// Calls \p Step after a pause, unless the pass has ended by then.
  void continuePass(void (WithdrawalCleanup::*Step)());
  void endPass(const char *Cause);

  const Clock &Time;
  rows::RowStore &Store;
  Options Config;
  Hooks Calls;
  /// Oldest first; the first one is the newest that is older than the
  /// retention period, if there is such a one.
  std::deque<Mark> Marks;
  TimePoint LastPassAt{};
  std::unique_ptr<Pass> Current;
  std::unique_ptr<Timer> TickTimer;
  std::unique_ptr<Timer> StepTimer;
  /// Expires with this object; its calls to the store do not end with it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_WITHDRAWALCLEANUP_H
