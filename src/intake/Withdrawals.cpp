#include "daisyspool/intake/Withdrawals.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <utility>

namespace daisyspool::intake {

namespace {

/// Delay before the first repetition of a call that did not succeed. It doubles
/// each time: a store that limits its writes must not get several for each
/// request of a client that sends too many.
constexpr Millis FirstRetryDelay{120};
/// Timeout of one call to the store; a slow store takes up to half a second.
constexpr Millis CallTimeout{1000};

constexpr const char *CancelledValue = "cancelled";
constexpr const char *RefusedValue = "refused";

} // namespace

std::string encodeWithdrawal(WithdrawalCause Cause) {
  return Cause == WithdrawalCause::Refused ? RefusedValue : CancelledValue;
}

WithdrawalCause decodeWithdrawal(const rows::StoredRow &Row) {
  return Row.Value == RefusedValue ? WithdrawalCause::Refused
                                   : WithdrawalCause::Cancelled;
}

/// A withdrawal that the store has not confirmed yet.
struct Withdrawals::Request {
  explicit Request(EventLoop &Loop) : RetryTimer(Loop.timer()) {}

  JobId Id;
  WithdrawalCause Cause = WithdrawalCause::Cancelled;
  /// The version of the refusal that a refusal replaces; 0 if there is none.
  rows::RowVersion Replaced;
  TimePoint Deadline{};
  Millis RetryDelay = FirstRetryDelay;
  std::function<void(WithdrawOutcome)> Done;
  std::unique_ptr<Timer> RetryTimer;
};

void Withdrawals::withdraw(const JobId &Job, WithdrawalCause Cause,
                           Millis Timeout,
                           std::function<void(WithdrawOutcome)> Done) {
  auto Pending = std::make_shared<Request>(Loop);
  Pending->Id = Job;
  Pending->Cause = Cause;
  Pending->Deadline = Time.now() + Timeout;
  Pending->Done = std::move(Done);
  send(Pending);
}

void Withdrawals::send(const std::shared_ptr<Request> &Pending) {
  rows::RowTransaction Write;
  Write.Conditions.push_back({jobRow(Pending->Id), rows::RowVersion{}});
  if (Pending->Cause == WithdrawalCause::Refused)
    Write.Conditions.push_back({withdrawnRow(Pending->Id), Pending->Replaced});
  // An existing row is rewritten: a write may have been sent since that
  // requires its version, and its retention begins anew.
  Write.Puts.push_back(
      {withdrawnRow(Pending->Id), encodeWithdrawal(Pending->Cause)});
  auto Left =
      std::chrono::duration_cast<Millis>(Pending->Deadline - Time.now());
  Store.commit(Write, std::clamp(Left, Millis(1), CallTimeout),
               [this, Pending](const rows::CommitOutcome &Outcome) {
                 onOutcome(Pending, Outcome);
               });
}

void Withdrawals::onOutcome(const std::shared_ptr<Request> &Pending,
                            const rows::CommitOutcome &Outcome) {
  if (std::holds_alternative<rows::Committed>(Outcome)) {
    LogEvent(LogLevel::Info, "job_id_withdrawn")
        .with("job", Pending->Id)
        .with("cause", encodeWithdrawal(Pending->Cause));
    return Pending->Done(Withdrawn{Pending->Cause});
  }
  const rows::StoredRow *Known = nullptr;
  if (const auto *Mismatch = std::get_if<rows::Conflict>(&Outcome)) {
    if (findRow(Mismatch->Current, jobRow(Pending->Id)))
      return Pending->Done(JobIsStored{});
    Known = findRow(Mismatch->Current, withdrawnRow(Pending->Id));
    if (Known && decodeWithdrawal(*Known) == WithdrawalCause::Cancelled)
      return Pending->Done(Withdrawn{WithdrawalCause::Cancelled});
    Pending->Replaced = Known ? Known->Version : rows::RowVersion{};
  }
  if (std::holds_alternative<rows::Rejected>(Outcome) ||
      Time.now() + Pending->RetryDelay >= Pending->Deadline) {
    LogEvent(LogLevel::Warning, "job_id_withdrawal_unknown")
        .with("job", Pending->Id)
        .with("cause", encodeWithdrawal(Pending->Cause));
    return Pending->Done(WithdrawalUnknown{});
  }
  if (Known)
    return send(Pending);
  Pending->RetryTimer->start(
      std::exchange(Pending->RetryDelay, 2 * Pending->RetryDelay),
      [this, Pending, Self = std::weak_ptr(Alive)] {
        if (!Self.expired())
          send(Pending);
      });
}

} // namespace daisyspool::intake
