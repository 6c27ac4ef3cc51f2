#ifndef DAISYSPOOL_INTAKE_WITHDRAWALS_H
#define DAISYSPOOL_INTAKE_WITHDRAWALS_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/rows/RowStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisyspool::intake {

/// Why no job may be stored under an id.
enum class WithdrawalCause : std::uint8_t {
  /// The caller cancelled the id; later submissions are not accepted either.
  Cancelled,
  /// A submission was refused; a later one may be accepted.
  Refused
};

/// The value of a row of WithdrawnTable.
///
/// Thread safety: safe from any thread.
std::string encodeWithdrawal(WithdrawalCause Cause);

/// The cause that a row of WithdrawnTable states; Cancelled if it is
/// unreadable, as a job that may have been cancelled must not run.
///
/// Thread safety: safe from any thread.
WithdrawalCause decodeWithdrawal(const rows::StoredRow &Row);

/// No job is stored under the id, and no write of one that was sent before
/// takes effect any more. \c Cause is the one that is stored.
struct Withdrawn {
  WithdrawalCause Cause = WithdrawalCause::Cancelled;
};
/// A job is stored under the id, which is therefore not withdrawn.
struct JobIsStored {};
/// The store has not confirmed the withdrawal, and may execute it later.
struct WithdrawalUnknown {};
using WithdrawOutcome = std::variant<Withdrawn, JobIsStored, WithdrawalUnknown>;

/// Withdraws ids of jobs in the store.
///
/// Load pattern: the store executes a write seconds after it was sent, without
/// an answer. A read in between finds no job, but the write still stores one.
///
/// Each write of a job requires that the id's row in WithdrawnTable is as its
/// entry knows it, and each withdrawal rewrites that row and requires that
/// there is no job. So a withdrawal makes all earlier writes fail, and a job
/// and a withdrawal of its id never exist together. WithdrawalCleanup removes
/// the rows.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class Withdrawals {
public:
  /// \p Loop, \p Time and \p Store must outlive this object.
  Withdrawals(EventLoop &Loop, const Clock &Time, rows::RowStore &Store)
      : Loop(Loop), Time(Time), Store(Store) {}
  Withdrawals(const Withdrawals &) = delete;
  Withdrawals &operator=(const Withdrawals &) = delete;

  /// Withdraws the id \p Job unless a job is stored under it. A cancellation
  /// replaces a refusal, and not the other way round. \p Timeout bounds the
  /// attempts.
  void withdraw(const JobId &Job, WithdrawalCause Cause, Millis Timeout,
                std::function<void(WithdrawOutcome)> Done);

private:
  struct Request;

  void send(const std::shared_ptr<Request> &Pending);
  void onOutcome(const std::shared_ptr<Request> &Pending,
                 const rows::CommitOutcome &Outcome);

  EventLoop &Loop;
  const Clock &Time;
  rows::RowStore &Store;
  /// Expires with this object, so that pending retries no longer use it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_WITHDRAWALS_H
