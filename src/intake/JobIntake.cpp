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
constexpr Millis CallTimeout{1000};
/// How long a caller is kept when the store surely did nothing: it can reach
/// another entry sooner than this one finds its store again.
constexpr Millis RefusalPatience{500};
/// How long a caller is kept when the job may be stored: it can ask another
/// entry, which may reach the store, while half of its usual 3 s are left.
constexpr Millis UndecidedPatience{1500};
/// Without an answer for so long the store counts as silent; a slow one takes
/// half a second.
constexpr Millis SilenceBound{700};
/// The bounds above grow to this many halves of the time that the store last
/// took for an answer, as calls queue behind each other in a slow store.
constexpr int PatienceHalves = 5;
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
  TimePoint AttemptBegun{};
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
  if (storeSilent())
    probe(What);
  else
    attempt(What);
}

Millis JobIntake::patience(Millis Least) const {
  return std::max(Least, LastAnswerTook * PatienceHalves / 2);
}

bool JobIntake::storeSilent() const {
  return UnansweredSince &&
         Time.now() - *UnansweredSince > patience(SilenceBound);
}

/// Load pattern: the store falls silent while callers keep coming. A write that
/// was sent may be applied later, so its caller cannot be refused; a read
/// changes nothing, and without an answer to it the caller is sent away at
/// once.
void JobIntake::probe(const std::shared_ptr<Submission> &What) {
  Store.read(singleRowRange(jobRow(What->Id)),
             std::min(patience(RefusalPatience), remaining(*What)),
             [this, What](const rows::ReadOutcome &Outcome) {
               if (std::holds_alternative<rows::RowPage>(Outcome)) {
                 UnansweredSince.reset();
                 return attempt(What);
               }
               if (What->MayBeStored)
                 return leaveUndecided(*What);
               refuse(*What, "store_silent");
             });
}

Millis JobIntake::spent(const Submission &What) const {
  return std::chrono::duration_cast<Millis>(Time.now() - What.Begun);
}

Millis JobIntake::remaining(const Submission &What) const {
  return std::max(Millis(1), std::chrono::duration_cast<Millis>(What.Deadline -
                                                                Time.now()));
}

void JobIntake::leaveUndecided(const Submission &What) {
  LogEvent(LogLevel::Warning, "job_undecided")
      .with("job", What.Id)
      .with("attempts", What.Attempts)
      .with("spent_ms", spent(What).count());
  What.Done(Undecided{});
}

void JobIntake::refuse(const Submission &What, const char *Cause) {
  LogEvent(LogLevel::Warning, "job_refused")
      .with("job", What.Id)
      .with("cause", Cause)
      .with("spent_ms", spent(What).count());
  What.Done(Refused{RefusedRetryAfter});
}

void JobIntake::attempt(const std::shared_ptr<Submission> &What) {
  ++What->Attempts;
  What->AttemptBegun = Time.now();
  if (!UnansweredSince)
    UnansweredSince = What->AttemptBegun;
  rows::RowTransaction Write;
  Write.Conditions.push_back({jobRow(What->Id), rows::RowVersion{}});
  Write.Puts.push_back({jobRow(What->Id), What->Value});
  Store.commit(Write, std::min(patience(CallTimeout), remaining(*What)),
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
  if (!std::holds_alternative<rows::OutcomeUnknown>(Outcome)) {
    UnansweredSince.reset();
    LastAnswerTook =
        std::chrono::duration_cast<Millis>(Now - What->AttemptBegun);
  }
  Millis Spent = spent(*What);
  if (Stored) {
    LogEvent(LogLevel::Info, "job_accepted")
        .with("job", What->Id)
        .with("attempts", What->Attempts)
        .with("spent_ms", Spent.count());
    return What->Done(Accepted{});
  }

  if (!What->MayBeStored && Spent >= RefusalPatience)
    return refuse(*What, "store_unavailable");
  if (Spent >= patience(UndecidedPatience) ||
      Now + RetryPause >= What->Deadline)
    return leaveUndecided(*What);
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    return probe(What);
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
  Store.read(
      singleRowRange(progressRow(Job)), std::min(Patience, CallTimeout),
      [this, Job, Patience,
       Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
        const auto *Page = std::get_if<rows::RowPage>(&Outcome);
        if (!Page)
          return Done(StoreUnavailable{});
        if (Page->Rows.empty())
          return readJob(Job, Patience, Done);
        try {
          Done(KnownJob{scheduling::decodeStatus(Page->Rows.front().Value)});
        } catch (const ProtocolError &Problem) {
          LogEvent(LogLevel::Error, "progress_unreadable")
              .with("job", Job)
              .with("detail", Problem.what());
          Done(StoreUnavailable{});
        }
      });
}

void JobIntake::readJob(const JobId &Job, Millis Patience,
                        std::function<void(StatusOutcome)> Done) {
  Store.read(singleRowRange(jobRow(Job)), std::min(Patience, CallTimeout),
             [Done = std::move(Done)](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (!Page)
                 return Done(StoreUnavailable{});
               if (Page->Rows.empty())
                 return Done(NoSuchJob{});
               Done(KnownJob{scheduling::JobStatus::Queued});
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
    if (std::holds_alternative<StoreUnavailable>(Outcome))
      return What->Done(StoreUnavailable{});
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
          return What->Done(StoreUnavailable{});
        What->Pause->start(RetryPause,
                           [this, What, Self = std::weak_ptr(Alive)] {
                             if (!Self.expired())
                               writeCancel(What);
                           });
      });
}

} // namespace daisyspool::intake
