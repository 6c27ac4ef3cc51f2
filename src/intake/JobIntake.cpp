#include "daisyspool/intake/JobIntake.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::intake {

namespace {

/// Delay before a call that the store rejected is retried.
constexpr Millis RetryDelay{120};
/// Timeout of one call to the store; a slow store takes up to half a second.
constexpr Millis CallTimeout{1000};
/// How long a submission is retried if the store certainly applied nothing: the
/// caller can reach another entry sooner than this one's store recovers.
constexpr Millis RefusalTimeout{500};
/// How long a submission is retried if the job may be stored: the caller can
/// ask another entry, which may reach the store, while half of its usual
/// timeout of 3 s is left.
constexpr Millis UndecidedTimeout{1500};
/// A store that has not answered for longer counts as silent; a slow one takes
/// half a second.
constexpr Millis SilenceTimeout{700};
/// The timeouts above grow to this many halves of the store's last response
/// time, as calls queue up in a slow store.
constexpr int TimeoutHalves = 5;
/// When a refused caller may retry: about the time after which a store that
/// rejected the calls of one machine accepts them again.
constexpr Millis RefusedRetryAfter{1000};

} // namespace

/// A submission that has not been answered yet.
struct JobIntake::Submission {
  Submission(EventLoop &Loop, const workload::JobRecord &Job)
      : Id(Job.Id), Value(workload::encodeJob(Job)), RetryTimer(Loop.timer()) {}

  JobId Id;
  std::string Value;
  TimePoint StartedAt{};
  TimePoint Deadline{};
  TimePoint AttemptStartedAt{};
  /// An attempt got no answer, so the job may be stored at any time.
  bool MayBeStored = false;
  /// The version of the refusal that the job replaces; 0 if its id is not
  /// withdrawn.
  rows::RowVersion ReplacedRefusal;
  int Attempts = 0;
  std::function<void(SubmitOutcome)> Done;
  std::unique_ptr<Timer> RetryTimer;
};

/// A cancellation that has not been answered yet.
struct JobIntake::Cancellation {
  explicit Cancellation(EventLoop &Loop) : RetryTimer(Loop.timer()) {}

  JobId Id;
  TimePoint Deadline{};
  std::function<void(CancelOutcome)> Done;
  std::unique_ptr<Timer> RetryTimer;
};

void JobIntake::submit(const workload::JobRecord &Job, Millis Timeout,
                       std::function<void(SubmitOutcome)> Done) {
  auto Request = std::make_shared<Submission>(Loop, Job);
  Request->StartedAt = Time.now();
  Request->Deadline = Request->StartedAt + Timeout;
  Request->Done = std::move(Done);
  if (Request->Value.size() > Limits.RowBytes)
    return reportUnstorable(
        *Request, "the job takes " + std::to_string(Request->Value.size()) +
                      " bytes, at most " + std::to_string(Limits.RowBytes) +
                      " can be stored");
  if (shouldRefuseUnsent())
    return reportRefused(*Request, "store_access_lost");
  if (isStoreSilent() || isStoreLost())
    probeStore(Request);
  else
    commitJob(Request);
}

bool JobIntake::isStoreLost() const {
  return Access && Access->isLost(Time.now());
}

/// Load pattern: the store turns this entry away, or does not answer it, while
/// callers keep coming. Nothing is sent for most of them, so that they reach
/// another entry at once; the others find out when the store serves this entry
/// again.
bool JobIntake::shouldRefuseUnsent() {
  return isStoreLost() && !Access->tryBeginProbe(Time.now());
}

Millis JobIntake::adaptiveTimeout(Millis Minimum) const {
  return std::max(Minimum, LastResponseTime * TimeoutHalves / 2);
}

bool JobIntake::isStoreSilent() const {
  return UnansweredSince &&
         Time.now() - *UnansweredSince > adaptiveTimeout(SilenceTimeout);
}

/// Load pattern: the store stops answering while callers keep submitting. A
/// write that was sent may be applied later, so its caller cannot be refused. A
/// read changes nothing; if it gets no answer, the caller is refused at once.
void JobIntake::probeStore(const std::shared_ptr<Submission> &Request) {
  Store.read(singleRowRange(jobRow(Request->Id)),
             std::min(adaptiveTimeout(RefusalTimeout), remainingTime(*Request)),
             [this, Request](const rows::ReadOutcome &Outcome) {
               if (std::holds_alternative<rows::RowPage>(Outcome)) {
                 UnansweredSince.reset();
                 return commitJob(Request);
               }
               if (Request->MayBeStored)
                 return probeLater(Request);
               reportRefused(*Request, "store_silent");
             });
}

/// Load pattern: the store resets connections for seconds, so that each call
/// fails at once. A caller may not be able to repeat a job that may be stored,
/// so it waits as long as for a store that does not answer.
void JobIntake::probeLater(const std::shared_ptr<Submission> &Request) {
  if (elapsed(*Request) >= adaptiveTimeout(UndecidedTimeout) ||
      Time.now() + RetryDelay >= Request->Deadline)
    return reportUndecided(*Request);
  Request->RetryTimer->start(RetryDelay,
                             [this, Request, Self = std::weak_ptr(Alive)] {
                               if (!Self.expired())
                                 probeStore(Request);
                             });
}

Millis JobIntake::elapsed(const Submission &Request) const {
  return std::chrono::duration_cast<Millis>(Time.now() - Request.StartedAt);
}

Millis JobIntake::remainingTime(const Submission &Request) const {
  return std::max(Millis(1), std::chrono::duration_cast<Millis>(
                                 Request.Deadline - Time.now()));
}

void JobIntake::reportUndecided(const Submission &Request) {
  LogEvent(LogLevel::Warning, "job_undecided")
      .with("job", Request.Id)
      .with("attempts", Request.Attempts)
      .with("spent_ms", elapsed(Request).count());
  Request.Done(Undecided{});
}

void JobIntake::reportRefused(const Submission &Request, const char *Cause) {
  LogEvent(LogLevel::Warning, "job_refused")
      .with("job", Request.Id)
      .with("cause", Cause)
      .with("spent_ms", elapsed(Request).count());
  Request.Done(Refused{isStoreLost() ? Advice.onRefused(Request.Id, Time.now())
                                     : RefusedRetryAfter});
}

StoreUnavailable JobIntake::storeUnavailable() const {
  return {isStoreLost() ? Advice.retryAfter(Time.now()) : RefusedRetryAfter};
}

void JobIntake::reportUnstorable(const Submission &Request,
                                 const std::string &Detail) {
  LogEvent(LogLevel::Warning, "job_unstorable")
      .with("job", Request.Id)
      .with("detail", Detail);
  Request.Done(Unstorable{Detail});
}

void JobIntake::reportCancelled(const Submission &Request) {
  LogEvent(LogLevel::Info, "job_refused")
      .with("job", Request.Id)
      .with("cause", "id_cancelled")
      .with("spent_ms", elapsed(Request).count());
  Request.Done(IdCancelled{});
}

void JobIntake::commitJob(const std::shared_ptr<Submission> &Request) {
  ++Request->Attempts;
  Request->AttemptStartedAt = Time.now();
  if (!UnansweredSince)
    UnansweredSince = Request->AttemptStartedAt;
  rows::RowTransaction Write;
  Write.Conditions.push_back({jobRow(Request->Id), rows::RowVersion{}});
  // See Withdrawals.
  Write.Conditions.push_back(
      {withdrawnRow(Request->Id), Request->ReplacedRefusal});
  if (Request->ReplacedRefusal != rows::RowVersion{})
    Write.Removes.push_back(withdrawnRow(Request->Id));
  Write.Puts.push_back({jobRow(Request->Id), Request->Value});
  Store.commit(Write,
               std::min(adaptiveTimeout(CallTimeout), remainingTime(*Request)),
               [this, Request](const rows::CommitOutcome &Outcome) {
                 onCommitOutcome(Request, Outcome);
               });
}

void JobIntake::onCommitOutcome(const std::shared_ptr<Submission> &Request,
                                const rows::CommitOutcome &Outcome) {
  const auto *Mismatch = std::get_if<rows::Conflict>(&Outcome);
  bool Stored = std::holds_alternative<rows::Committed>(Outcome) ||
                // Another request or an earlier attempt has stored the job.
                (Mismatch && findRow(Mismatch->Current, jobRow(Request->Id)));
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    Request->MayBeStored = true;
  TimePoint Now = Time.now();
  if (!std::holds_alternative<rows::OutcomeUnknown>(Outcome)) {
    UnansweredSince.reset();
    LastResponseTime =
        std::chrono::duration_cast<Millis>(Now - Request->AttemptStartedAt);
  }
  Millis Elapsed = elapsed(*Request);
  if (Stored) {
    LogEvent(LogLevel::Info, "job_accepted")
        .with("job", Request->Id)
        .with("attempts", Request->Attempts)
        .with("spent_ms", Elapsed.count());
    return Request->Done(Accepted{});
  }

  if (Mismatch && noteWithdrawal(*Request, *Mismatch))
    return reportCancelled(*Request);
  if (const auto *Refusal = std::get_if<rows::Rejected>(&Outcome))
    return reportUnstorable(*Request,
                            "the store rejects the job: " + Refusal->Detail);
  if (!Request->MayBeStored && (Elapsed >= RefusalTimeout || isStoreLost()))
    return reportRefused(*Request, "store_unavailable");
  if (Elapsed >= adaptiveTimeout(UndecidedTimeout) ||
      Now + RetryDelay >= Request->Deadline) {
    if (!Request->MayBeStored)
      return reportRefused(*Request, "store_unavailable");
    return reportUndecided(*Request);
  }
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    return probeStore(Request);
  if (Mismatch && Request->ReplacedRefusal != rows::RowVersion{})
    return commitJob(Request);
  retryLater(Request);
}

bool JobIntake::noteWithdrawal(Submission &Request,
                               const rows::Conflict &Mismatch) {
  const rows::StoredRow *Withdrawal =
      findRow(Mismatch.Current, withdrawnRow(Request.Id));
  Request.ReplacedRefusal =
      Withdrawal ? Withdrawal->Version : rows::RowVersion{};
  // It is newer than all attempts so far, which therefore fail.
  if (Withdrawal)
    Request.MayBeStored = false;
  return Withdrawal &&
         decodeWithdrawal(*Withdrawal) == WithdrawalCause::Cancelled;
}

void JobIntake::retryLater(const std::shared_ptr<Submission> &Request) {
  Request->RetryTimer->start(RetryDelay,
                             [this, Request, Self = std::weak_ptr(Alive)] {
                               if (!Self.expired())
                                 commitJob(Request);
                             });
}

void JobIntake::refuse(const JobId &Job, Millis Timeout,
                       std::function<void(WithdrawOutcome)> Done) {
  if (shouldRefuseUnsent())
    return Done(WithdrawalUnknown{});
  WithdrawnIds.withdraw(Job, WithdrawalCause::Refused, Timeout,
                        std::move(Done));
}

void JobIntake::status(const JobId &Job, Millis Timeout,
                       std::function<void(StatusOutcome)> Done) {
  if (shouldRefuseUnsent())
    return Done(storeUnavailable());
  Store.read(
      singleRowRange(progressRow(Job)), std::min(Timeout, CallTimeout),
      [this, Job, Timeout,
       Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
        const auto *Page = std::get_if<rows::RowPage>(&Outcome);
        if (!Page)
          return Done(storeUnavailable());
        if (Page->Rows.empty())
          return readJob(Job, Timeout, Done);
        try {
          Done(KnownJob{scheduling::decodeStatus(Page->Rows.front().Value)});
        } catch (const ProtocolError &Problem) {
          LogEvent(LogLevel::Error, "progress_unreadable")
              .with("job", Job)
              .with("detail", Problem.what());
          Done(storeUnavailable());
        }
      });
}

void JobIntake::readJob(const JobId &Job, Millis Timeout,
                        std::function<void(StatusOutcome)> Done) {
  Store.read(singleRowRange(jobRow(Job)), std::min(Timeout, CallTimeout),
             [this, Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (!Page)
                 return Done(storeUnavailable());
               if (Page->Rows.empty())
                 return Done(NoSuchJob{});
               Done(KnownJob{scheduling::JobStatus::Queued});
             });
}

void JobIntake::cancel(const JobId &Job, Millis Timeout,
                       std::function<void(CancelOutcome)> Done) {
  if (shouldRefuseUnsent())
    return Done(storeUnavailable());
  auto Request = std::make_shared<Cancellation>(Loop);
  Request->Id = Job;
  Request->Deadline = Time.now() + Timeout;
  Request->Done = std::move(Done);
  readJob(Job, Timeout, [this, Request](const StatusOutcome &Outcome) {
    if (std::holds_alternative<NoSuchJob>(Outcome))
      return withdrawId(Request);
    if (std::holds_alternative<StoreUnavailable>(Outcome))
      return Request->Done(storeUnavailable());
    writeCancellation(Request);
  });
}

/// Load pattern: a caller whose submission got no answer cancels the job, which
/// the store writes seconds later.
void JobIntake::withdrawId(const std::shared_ptr<Cancellation> &Request) {
  auto Left =
      std::chrono::duration_cast<Millis>(Request->Deadline - Time.now());
  WithdrawnIds.withdraw(
      Request->Id, WithdrawalCause::Cancelled, Left,
      [this, Request](const WithdrawOutcome &Outcome) {
        if (std::holds_alternative<Withdrawn>(Outcome))
          return Request->Done(NoSuchJob{});
        if (std::holds_alternative<WithdrawalUnknown>(Outcome))
          return Request->Done(storeUnavailable());
        writeCancellation(Request);
      });
}

void JobIntake::writeCancellation(
    const std::shared_ptr<Cancellation> &Request) {
  rows::RowTransaction Write;
  Write.Puts.push_back({cancelRow(Request->Id), "1"});
  Store.commit(Write, CallTimeout,
               [this, Request](const rows::CommitOutcome &Outcome) {
                 if (std::holds_alternative<rows::Committed>(Outcome)) {
                   LogEvent(LogLevel::Info, "job_cancel_accepted")
                       .with("job", Request->Id);
                   return Request->Done(CancelAccepted{});
                 }
                 bool IsFinal = std::holds_alternative<rows::Rejected>(Outcome);
                 if (IsFinal || Time.now() + RetryDelay >= Request->Deadline)
                   return Request->Done(storeUnavailable());
                 Request->RetryTimer->start(
                     RetryDelay, [this, Request, Self = std::weak_ptr(Alive)] {
                       if (!Self.expired())
                         writeCancellation(Request);
                     });
               });
}

} // namespace daisyspool::intake
