#ifndef DAISYSPOOL_INTAKE_JOBINTAKE_H
#define DAISYSPOOL_INTAKE_JOBINTAKE_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/rows/RowStore.h"
#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/workload/JobDefinition.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace daisyspool::intake {

/// The job is durable and will run.
struct Accepted {};
/// The job is not stored and never will be.
struct Refused {
  Millis RetryAfter{1000};
};
/// The store did not say whether the job is stored; asking again is safe.
struct Undecided {};
using SubmitOutcome = std::variant<Accepted, Refused, Undecided>;

struct KnownJob {
  scheduling::JobStatus Status = scheduling::JobStatus::Queued;
};
/// Certain: the store has no such job.
struct NoSuchJob {};
/// The store cannot be asked now.
struct StoreUnavailable {};
using StatusOutcome = std::variant<KnownJob, NoSuchJob, StoreUnavailable>;

struct CancelAccepted {};
using CancelOutcome = std::variant<CancelAccepted, NoSuchJob, StoreUnavailable>;

/// What any entry does for callers, with nothing but the store: accepts jobs,
/// tells their status and records cancellations. The leader learns of both
/// through the store, so that no entry depends on another.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class JobIntake {
public:
  JobIntake(EventLoop &Loop, const Clock &Time, rows::RowStore &Store)
      : Loop(Loop), Time(Time), Store(Store) {}
  JobIntake(const JobIntake &) = delete;
  JobIntake &operator=(const JobIntake &) = delete;

  /// Stores a job. A job with the same id that is stored already counts as
  /// this one. \p Patience bounds the attempts.
  void submit(const workload::JobRecord &Job, Millis Patience,
              std::function<void(SubmitOutcome)> Done);

  void status(const JobId &Job, Millis Patience,
              std::function<void(StatusOutcome)> Done);

  void cancel(const JobId &Job, Millis Patience,
              std::function<void(CancelOutcome)> Done);

private:
  struct Submission;
  struct Cancellation;

  /// A bound of at least \p Least that lets a slow store answer.
  Millis patience(Millis Least) const;
  bool storeSilent() const;
  void probe(const std::shared_ptr<Submission> &What);
  Millis spent(const Submission &What) const;
  Millis remaining(const Submission &What) const;
  void leaveUndecided(const Submission &What);
  void refuse(const Submission &What, const char *Cause);
  void attempt(const std::shared_ptr<Submission> &What);
  void onAttempt(const std::shared_ptr<Submission> &What,
                 const rows::CommitOutcome &Outcome);
  void again(const std::shared_ptr<Submission> &What);
  void readJob(const JobId &Job, Millis Patience,
               std::function<void(StatusOutcome)> Done);
  void writeCancel(const std::shared_ptr<Cancellation> &What);

  EventLoop &Loop;
  const Clock &Time;
  rows::RowStore &Store;
  /// Begin of the first submission since the store last answered one.
  std::optional<TimePoint> UnansweredSince;
  Millis LastAnswerTook{0};
  /// Lets the pauses of unsettled calls end with the intake.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_JOBINTAKE_H
