#ifndef DAISYSPOOL_INTAKE_JOBINTAKE_H
#define DAISYSPOOL_INTAKE_JOBINTAKE_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/intake/RefusalAdvice.h"
#include "daisyspool/intake/Withdrawals.h"
#include "daisyspool/rows/RowStore.h"
#include "daisyspool/rows/StoreAccess.h"
#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/workload/JobDefinition.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace daisyspool::intake {

/// The job is durable and will run.
struct Accepted {};
/// The job is not stored and never will be.
struct Refused {
  Millis RetryAfter{1000};
};
/// The store can never hold the job, so submitting it again is of no use.
struct Unstorable {
  std::string Detail;
};
/// It is unknown whether the job is stored; submitting it again is safe.
struct Undecided {};
/// The id was cancelled when no job was stored under it; none will be.
struct IdCancelled {};
using SubmitOutcome =
    std::variant<Accepted, Refused, Unstorable, Undecided, IdCancelled>;

struct KnownJob {
  scheduling::JobStatus Status = scheduling::JobStatus::Queued;
};
/// The store has no such job. As an answer to a cancellation also: none of the
/// writes that were sent before stores it later. As a status it says nothing
/// about such writes.
struct NoSuchJob {};
/// The store cannot be read or written now.
struct StoreUnavailable {
  Millis RetryAfter{1000};
};
using StatusOutcome = std::variant<KnownJob, NoSuchJob, StoreUnavailable>;

struct CancelAccepted {};
using CancelOutcome = std::variant<CancelAccepted, NoSuchJob, StoreUnavailable>;

/// Handles callers' requests on any entry, using only the store: accepts jobs,
/// reports their status and records cancellations. The leader reads jobs and
/// cancellations from the store, so no entry depends on another.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class JobIntake {
public:
  /// \p Access is what all calls of this entry show about the store; it must
  /// outlive this object. Without it, each request finds out by itself.
  JobIntake(EventLoop &Loop, const Clock &Time, rows::RowStore &Store,
            const rows::StoreLimits &Limits,
            rows::StoreAccess *Access = nullptr)
      : Loop(Loop), Time(Time), Store(Store), Limits(Limits), Access(Access),
        WithdrawnIds(Loop, Time, Store) {}
  JobIntake(const JobIntake &) = delete;
  JobIntake &operator=(const JobIntake &) = delete;

  /// Stores a job, or does nothing if a job with the same id is stored already.
  /// \p Timeout bounds the attempts.
  void submit(const workload::JobRecord &Job, Millis Timeout,
              std::function<void(SubmitOutcome)> Done);

  /// Withdraws the id of a job that is refused without a write, so that no
  /// earlier write of it takes effect either. \p Timeout bounds the attempts.
  void refuse(const JobId &Job, Millis Timeout,
              std::function<void(WithdrawOutcome)> Done);

  /// Reads the status of a job. \p Timeout bounds each call to the store.
  void status(const JobId &Job, Millis Timeout,
              std::function<void(StatusOutcome)> Done);

  /// Records the cancellation of a job, or withdraws its id if no such job is
  /// stored. \p Timeout bounds the attempts.
  void cancel(const JobId &Job, Millis Timeout,
              std::function<void(CancelOutcome)> Done);

  /// Whether requests are refused because the store does not serve this entry.
  /// Another entry may serve them.
  bool isStoreLost() const;

private:
  struct Submission;
  struct Cancellation;

  /// A timeout of at least \p Minimum that lets a slow store answer.
  Millis adaptiveTimeout(Millis Minimum) const;
  bool isStoreSilent() const;
  bool shouldRefuseUnsent();
  void probeStore(const std::shared_ptr<Submission> &Request);
  /// Probes again while the caller can wait for whether its job is stored.
  void probeLater(const std::shared_ptr<Submission> &Request);
  Millis elapsed(const Submission &Request) const;
  Millis remainingTime(const Submission &Request) const;
  void reportUndecided(const Submission &Request);
  void reportRefused(const Submission &Request, const char *Cause);
  StoreUnavailable storeUnavailable() const;
  void reportCancelled(const Submission &Request);
  void reportUnstorable(const Submission &Request, const std::string &Detail);
  void commitJob(const std::shared_ptr<Submission> &Request);
  void onCommitOutcome(const std::shared_ptr<Submission> &Request,
                       const rows::CommitOutcome &Outcome);
  /// Returns whether a write failed because the id was cancelled. If it was
  /// refused, the next attempt replaces the refusal.
  static bool noteWithdrawal(Submission &Request,
                             const rows::Conflict &Mismatch);
  void retryLater(const std::shared_ptr<Submission> &Request);
  void readJob(const JobId &Job, Millis Timeout,
               std::function<void(StatusOutcome)> Done);
  void withdrawId(const std::shared_ptr<Cancellation> &Request);
  void writeCancellation(const std::shared_ptr<Cancellation> &Request);

  EventLoop &Loop;
  const Clock &Time;
  rows::RowStore &Store;
  rows::StoreLimits Limits;
  rows::StoreAccess *Access;
  Withdrawals WithdrawnIds;
  RefusalAdvice Advice;
  /// Start of the first attempt since the store last answered.
  std::optional<TimePoint> UnansweredSince;
  Millis LastResponseTime{0};
  /// Expires with this object, so that pending retries no longer use it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_JOBINTAKE_H
