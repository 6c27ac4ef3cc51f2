#include "daisyspool/intake/JobIntake.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::intake {

namespace {

/// Pause before a call that the store turned away is repeated.
constexpr Millis RetryPause{120};
/// Bound of one call to the store; a slow store takes up to half a second.
constexpr Millis CallTimeout{1200};
/// How long a caller is kept when the store surely did nothing: it can reach
/// another entry sooner than this one finds its store again.
constexpr Millis RefusalPatience{500};
/// When a refused caller may come back: about the time in which a store that
/// turned one machine away takes it again.
constexpr Millis RefusedRetryAfter{1000};

} // namespace

/// A submission that is not settled.
struct JobIntake::Submission {
  Submission(EventLoop &Loop, const workload::JobRecord &Job)
      : Id(Job.Id), Value(workload::encodeJob(Job)), Pause(Loop.timer()) {}

  JobId Id;
  std::string Value;
  TimePoint Begun{};
  TimePoint Deadline{};
  /// An attempt had no answer, so the job may be stored at any time.
  bool MayBeStored = false;
  int Attempts = 0;
  std::function<void(SubmitOutcome)> Done;
  std::unique_ptr<Timer> Pause;
};

struct JobIntake::Cancellation {
  explicit Cancellation(EventLoop &Loop) : Pause(Loop.timer()) {}

  JobId Id;
  TimePoint Deadline{};
  std::function<void(CancelOutcome)> Done;
  std::unique_ptr<Timer> Pause;
};

void JobIntake::submit(const workload::JobRecord &Job, Millis Patience,
                       std::function<void(SubmitOutcome)> Done) {
  auto What = std::make_shared<Submission>(Loop, Job);
  What->Begun = Time.now();
  What->Deadline = What->Begun + Patience;
  What->Done = std::move(Done);
  attempt(What);
}

void JobIntake::attempt(const std::shared_ptr<Submission> &What) {
  ++What->Attempts;
  rows::RowTransaction Write;
  Write.Conditions.push_back({jobRow(What->Id), rows::RowVersion{}});
  Write.Puts.push_back({jobRow(What->Id), What->Value});
  Store.commit(Write, CallTimeout,
               [this, What](const rows::CommitOutcome &Outcome) {
                 onAttempt(What, Outcome);
               });
}

void JobIntake::onAttempt(const std::shared_ptr<Submission> &What,
                          const rows::CommitOutcome &Outcome) {
  bool Stored = std::holds_alternative<rows::Committed>(Outcome) ||
                // Another request, or an earlier attempt, stored it.
                std::holds_alternative<rows::Conflict>(Outcome);
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    What->MayBeStored = true;
  TimePoint Now = Time.now();
  auto Spent = std::chrono::duration_cast<Millis>(Now - What->Begun);
  if (Stored) {
    LogEvent(LogLevel::Info, "job_accepted")
        .with("job", What->Id)
        .with("attempts", What->Attempts)
        .with("spent_ms", Spent.count());
    return What->Done(Accepted{});
  }

  if (!What->MayBeStored && Spent >= RefusalPatience) {
    LogEvent(LogLevel::Warning, "job_refused")
        .with("job", What->Id)
        .with("cause", "store_unavailable")
        .with("spent_ms", Spent.count());
    return What->Done(Refused{RefusedRetryAfter});
  }
  if (Now + RetryPause >= What->Deadline) {
    LogEvent(LogLevel::Warning, "job_undecided")
        .with("job", What->Id)
        .with("attempts", What->Attempts)
        .with("spent_ms", Spent.count());
    return What->Done(Undecided{});
  }
  again(What);
}

void JobIntake::again(const std::shared_ptr<Submission> &What) {
  What->Pause->start(RetryPause, [this, What, Self = std::weak_ptr(Alive)] {
    if (!Self.expired())
      attempt(What);
  });
}

void JobIntake::status(const JobId &Job, Millis Patience,
                       std::function<void(StatusOutcome)> Done) {
  Store.read(exactly(progressRow(Job)), std::min(Patience, CallTimeout),
             [this, Job, Patience,
              Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (!Page)
                 return Done(Unavailable{});
               if (Page->Rows.empty())
                 return readJob(Job, Patience, Done);
               try {
                 Done(
                     Known{scheduling::decodeStatus(Page->Rows.front().Value)});
               } catch (const ProtocolError &Problem) {
                 LogEvent(LogLevel::Error, "progress_unreadable")
                     .with("job", Job)
                     .with("detail", Problem.what());
                 Done(Unavailable{});
               }
             });
}

void JobIntake::readJob(const JobId &Job, Millis Patience,
                        std::function<void(StatusOutcome)> Done) {
  Store.read(exactly(jobRow(Job)), std::min(Patience, CallTimeout),
             [Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (!Page)
                 return Done(Unavailable{});
               if (Page->Rows.empty())
                 return Done(NoSuchJob{});
               Done(Known{scheduling::JobStatus::Queued});
             });
}

void JobIntake::cancel(const JobId &Job, Millis Patience,
                       std::function<void(CancelOutcome)> Done) {
  auto What = std::make_shared<Cancellation>(Loop);
  What->Id = Job;
  What->Deadline = Time.now() + Patience;
  What->Done = std::move(Done);
  readJob(Job, Patience, [this, What](const StatusOutcome &Outcome) {
    if (std::holds_alternative<NoSuchJob>(Outcome))
      return What->Done(NoSuchJob{});
    if (std::holds_alternative<Unavailable>(Outcome))
      return What->Done(Unavailable{});
    writeCancel(What);
  });
}

void JobIntake::writeCancel(const std::shared_ptr<Cancellation> &What) {
  rows::RowTransaction Write;
  Write.Puts.push_back({cancelRow(What->Id), "1"});
  Store.commit(
      Write, CallTimeout, [this, What](const rows::CommitOutcome &Outcome) {
        if (std::holds_alternative<rows::Committed>(Outcome)) {
          LogEvent(LogLevel::Info, "job_cancel_accepted").with("job", What->Id);
          return What->Done(CancelAccepted{});
        }
        if (Time.now() + RetryPause >= What->Deadline)
          return What->Done(Unavailable{});
        What->Pause->start(RetryPause,
                           [this, What, Self = std::weak_ptr(Alive)] {
                             if (!Self.expired())
                               writeCancel(What);
                           });
      });
}

} // namespace daisyspool::intake
