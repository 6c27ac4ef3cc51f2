// The part of LeaderDuty that watches the leader, takes over from it, and loads
// the state that earlier leaders stored.
#include "leadership/LeaderState.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace daisyspool::leadership {

namespace {

/// How long a read of the intake waits for changes. Without changes the
/// leader's view of it is up to two waits old, which must stay below the age
/// that holds starts back.
constexpr Millis IntakeWait{500};
/// How many rows of the intake are applied in one step of the event loop. A new
/// leader reads those of all jobs and has to renew its status meanwhile.
constexpr std::size_t MaxRowsPerStep = 200;
/// A store that takes longer for a read may delay renewals by more than their
/// past intervals show.
constexpr Millis QuickRead{100};

WallMillis ageOf(const workload::JobRecord &Job, const Clock &Time) {
  return Time.wallNow() - Job.Accepted;
}

} // namespace

std::optional<Fence> tryDecodeFence(const rows::StoredRow &Row) {
  try {
    return decodeFence(Row.Value);
  } catch (const ProtocolError &Problem) {
    LogEvent(LogLevel::Error, "fence_unreadable")
        .with("detail", Problem.what());
    return std::nullopt;
  }
}

void LeaderDuty::onStatusRows(const std::vector<rows::StoredRow> &Rows) {
  if (!std::exchange(StatusKnown, true))
    StatusChangedAt = Time.now();
  // Another writer may have left a row in the table.
  auto Newest = std::find_if(Rows.rbegin(), Rows.rend(), [](const auto &Row) {
    return Row.Name == intake::leaderRow();
  });
  if (Newest != Rows.rend()) {
    if (Newest->Version != StatusVersion) {
      StatusVersion = Newest->Version;
      StatusReceivedAt = StatusChangedAt = Time.now();
    }
    try {
      LeaderStatus Next = decodeLeaderStatus(Newest->Value);
      if (Next.Leader != Status.Leader)
        LogEvent(LogLevel::Info, "leader_seen")
            .with("epoch", Next.Leader.Term)
            .with("process", Next.Leader.Process);
      Status = std::move(Next);
      Rhythm.observe(Status.Leader.Term, StatusReceivedAt);
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Error, "leader_row_unreadable")
          .with("detail", Problem.what());
    }
  }
  if (OwnIdentity && Status.Leader.Term > OwnIdentity->Term)
    stepDown("newer_leader_seen");
  checkLeader();
}

void LeaderDuty::checkLeader() {
  if (OwnIdentity || TakingOver || Closed || !StatusKnown)
    return;

  Millis Delay = takeoverDelay(Config.Processors, Status);
  bool NoLeader =
      Status.Leader.Term == Epoch{} && Time.now() - StatusChangedAt >= Delay;
  bool RenewalOverdue =
      isRenewalOverdue(Rhythm.patience(Config.TakeoverAfter) + Delay);
  bool ReleaseSeen = Status.Released && Time.now() - StatusChangedAt >= Delay;
  // An earlier incarnation of this process led; it no longer exists.
  bool WasThisProcess =
      Status.Leader.Process == Config.Process &&
      Status.Leader.ProcessIncarnation < Config.ProcessIncarnation;
  if (NoLeader || ReleaseSeen || RenewalOverdue || WasThisProcess ||
      shouldRelieve(Config.Processors, Status))
    readFence();
}

bool LeaderDuty::isRenewalOverdue(Millis Patience) const {
  // Counts only time up to the last answer of the store; otherwise an entry
  // that the store had refused to serve would replace a healthy leader when the
  // store answers it again.
  return StatusWatch.lastAnswer() - StatusChangedAt > Patience;
}

void LeaderDuty::readFence() {
  TakingOver = true;
  Store.read(
      singleRowRange(intake::fenceRow()), CallTimeout,
      [this, SeenLeader = Status.Leader, SentAt = Time.now(),
       IsEarly = isRenewalOverdue(Rhythm.patience(Config.TakeoverAfter)) &&
                 !isRenewalOverdue(Config.TakeoverAfter)](
          const rows::ReadOutcome &Outcome) {
        const auto *Page = std::get_if<rows::RowPage>(&Outcome);
        if (IsEarly && Time.now() - SentAt > QuickRead) {
          TakingOver = false;
          return;
        }
        // A newer leader's status may have arrived during the read.
        if (!Page || Closed || Status.Leader != SeenLeader) {
          TakingOver = false;
          return;
        }
        Epoch NewestEpoch = Status.Leader.Term;
        rows::RowVersion FenceVersion;
        if (!Page->Rows.empty()) {
          FenceVersion = Page->Rows.front().Version;
          if (auto StoredFence = tryDecodeFence(Page->Rows.front()))
            NewestEpoch = StoredFence->Leader.Term;
        }
        if (NewestEpoch > Status.Leader.Term) {
          // Another process has just taken over; its status row, written in the
          // same transaction as the fence, has not arrived here yet.
          TakingOver = false;
          StatusChangedAt = Time.now();
          return;
        }
        takeOver(FenceVersion, NewestEpoch);
      });
}

void LeaderDuty::takeOver(rows::RowVersion FenceVersion, Epoch NewestEpoch) {
  Takeover Attempt;
  Attempt.OwnFence = {
      {NewestEpoch.next(), Config.Process, Config.ProcessIncarnation},
      Scheduler::RestoredCommit.value()};
  Attempt.StartedAt = Time.now();
  // The newest lease of the predecessor began before this process received its
  // newest status, and what it granted until the end of that lease lasts for
  // one more grant.
  Attempt.EarlierGrantsEnd = StatusReceivedAt + Config.Lease +
                             Config.Scheduling.Grant +
                             Config.Scheduling.GrantMargin;
  LogEvent(LogLevel::Info, "leader_takeover")
      .with("epoch", Attempt.OwnFence.Leader.Term)
      .with("before", Status.Leader.Process)
      .with("status_age_ms",
            std::chrono::duration_cast<Millis>(Time.now() - StatusChangedAt)
                .count())
      .with(
          "earlier_grants_left_ms",
          std::max(Millis(0), std::chrono::duration_cast<Millis>(
                                  Attempt.EarlierGrantsEnd - Attempt.StartedAt))
              .count())
      .with("processors", Config.Processors.value())
      .with("processors_before", Status.Processors.value())
      .with("before_overloaded", Status.Overloaded ? "yes" : "no");
  LeaderStatus NewStatus;
  NewStatus.Leader = Attempt.OwnFence.Leader;
  NewStatus.Pending = Status.Pending;
  NewStatus.Processors = Config.Processors;
  rows::RowTransaction Write;
  Write.Conditions.push_back({intake::fenceRow(), FenceVersion});
  // With a newer status the predecessor has a newer lease.
  Write.Conditions.push_back({intake::leaderRow(), StatusVersion});
  Write.Puts.push_back({intake::fenceRow(), encode(Attempt.OwnFence)});
  Write.Puts.push_back({intake::leaderRow(), encode(NewStatus)});
  Store.commit(Write, CallTimeout,
               [this, Attempt](const rows::CommitOutcome &Outcome) {
                 onTakeoverOutcome(Attempt, Outcome);
               });
}

void LeaderDuty::onTakeoverOutcome(const Takeover &Attempt,
                                   const rows::CommitOutcome &Outcome) {
  if (const auto *Success = std::get_if<rows::Committed>(&Outcome))
    return startLeading(Attempt, Success->Version);
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    return confirmTakeover(Attempt);

  const auto *Refusal = std::get_if<rows::Rejected>(&Outcome);
  LogEvent(Refusal ? LogLevel::Error : LogLevel::Info, "leader_takeover_lost")
      .with("epoch", Attempt.OwnFence.Leader.Term)
      .with("detail", Refusal ? Refusal->Detail : "not_applied");
  TakingOver = false;
  // Another process may just have taken over; gives it time for its first
  // renewal.
  StatusChangedAt = Time.now();
}

void LeaderDuty::confirmTakeover(const Takeover &Attempt) {
  Store.read(singleRowRange(intake::fenceRow()), CallTimeout,
             [this, Attempt](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (Page && !Page->Rows.empty() &&
                   tryDecodeFence(Page->Rows.front()) == Attempt.OwnFence)
                 return startLeading(Attempt, Page->Rows.front().Version);
               // If the transaction is applied later, the status row shows
               // this process as leader and it takes over from itself.
               TakingOver = false;
               StatusChangedAt = Time.now();
             });
}

void LeaderDuty::startLeading(const Takeover &Attempt,
                              rows::RowVersion FenceVersion) {
  TakingOver = false;
  if (Closed)
    return;
  const Fence &OwnFence = Attempt.OwnFence;
  OwnIdentity = OwnFence.Leader;
  Status.Leader = OwnFence.Leader;
  Status.Released = false;
  Status.Processors = Config.Processors;
  Status.Overloaded = false;
  StatusChangedAt = Time.now();
  Leadership = std::make_unique<LeaderState>(Loop, Config.Scheduling);
  Leadership->OwnFence = OwnFence;
  Leadership->FenceVersion = FenceVersion;
  Leadership->LeaseStart = Attempt.StartedAt;
  Leadership->EarlierGrantsEnd = Attempt.EarlierGrantsEnd;
  Leadership->JobScheduler.configure(Fleet);
  Leadership->JobScheduler.evacuate(Evacuations.domains());
  LogEvent(LogLevel::Info, "leader_began")
      .with("epoch", OwnFence.Leader.Term)
      .with("fence_version", FenceVersion);
  Leadership->IntakeWatch = std::make_unique<rows::TableWatch>(
      Loop, Time, Store,
      rows::TableWatch::Options{intake::IntakeTable, intake::intakePartitions(),
                                IntakeWait},
      [this](const std::vector<rows::StoredRow> &Rows) { onIntakeRows(Rows); });
}

void LeaderDuty::onIntakeRows(const std::vector<rows::StoredRow> &Rows) {
  if (!Leadership)
    return;
  auto &Queue = Leadership->IntakeQueue;
  bool IsApplying = !Queue.empty();
  // Cancellations are applied after the jobs that they refer to.
  for (bool Cancellations : {false, true})
    std::copy_if(
        Rows.begin(), Rows.end(), std::back_inserter(Queue),
        [Cancellations](const rows::StoredRow &Row) {
          return intake::cancelledJobIdFromKey(Row.Name.Key).has_value() ==
                 Cancellations;
        });
  if (!IsApplying)
    applyQueuedIntake();
}

void LeaderDuty::applyQueuedIntake() {
  auto &Queue = Leadership->IntakeQueue;
  for (std::size_t I = 0; I < MaxRowsPerStep && !Queue.empty(); ++I) {
    rows::StoredRow Next = std::move(Queue.front());
    Queue.pop_front();
    // One row must neither end the process nor hold up the rows behind it.
    try {
      applyIntakeRow(Next);
    } catch (const std::exception &Problem) {
      LogEvent(LogLevel::Error, "rows_not_handled")
          .with("table", Next.Name.Table)
          .with("first_key", Next.Name.Key)
          .with("detail", Problem.what());
    }
  }
  if (!Queue.empty()) {
    Leadership->IntakeTimer->start(Millis(0), [this] { applyQueuedIntake(); });
    return;
  }
  if (!std::exchange(Leadership->IntakeRead, true))
    return readProgress("");
  scheduleWork();
}

void LeaderDuty::applyIntakeRow(const rows::StoredRow &Row) {
  if (Row.Removed)
    return;
  if (auto Job = intake::cancelledJobIdFromKey(Row.Name.Key)) {
    LogEvent(LogLevel::Info, "job_cancel_seen")
        .with("job", *Job)
        .with("version", Row.Version);
    Leadership->JobScheduler.cancel(*Job);
    return;
  }
  if (auto Vm = intake::agentVmIdFromKey(Row.Name.Key)) {
    auto Agent = http::parseEndpoint(Row.Value);
    if (!Agent) {
      LogEvent(LogLevel::Error, "agent_unreadable")
          .with("key", Row.Name.Key)
          .with("detail", "not ADDRESS:PORT with a port from 1 to 65535");
      return;
    }
    Leadership->Agents[*Vm] = *Agent;
    Leadership->JobScheduler.addVm(*Vm, Time.now());
    if (Leadership->Links)
      Leadership->Links->connect(*Vm, *Agent);
    return;
  }
  try {
    workload::JobRecord Job = workload::decodeJob(Row.Value);
    Leadership->JobScheduler.addJob(Job, ageOf(Job, Time), Time.now());
  } catch (const ProtocolError &Problem) {
    LogEvent(LogLevel::Error, "job_unreadable")
        .with("key", Row.Name.Key)
        .with("detail", Problem.what());
  }
}

void LeaderDuty::readProgress(const std::string &FromKey) {
  Store.read({intake::ProgressTable, intake::LeaderPartition, FromKey, {}},
             CallTimeout,
             [this, FromKey,
              LoadingAs = OwnIdentity](const rows::ReadOutcome &Outcome) {
               if (OwnIdentity == LoadingAs && Leadership)
                 onProgress(Outcome, FromKey);
             });
}

void LeaderDuty::onProgress(const rows::ReadOutcome &Outcome,
                            const std::string &FromKey) {
  const auto *Page = std::get_if<rows::RowPage>(&Outcome);
  if (!Page) {
    Leadership->LoadTimer->start(RetryPause, [this, FromKey] {
      if (Leadership)
        readProgress(FromKey);
    });
    return;
  }

  for (const rows::StoredRow &Row : Page->Rows) {
    try {
      intake::ProgressKey Key = intake::parseProgressKey(Row.Name.Key);
      if (Key.FirstTask)
        Leadership->JobScheduler.restorePart(Key.Job, *Key.FirstTask,
                                             Row.Value);
      else
        Leadership->JobScheduler.restore(Key.Job, Row.Value, Time.now());
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Error, "progress_unreadable")
          .with("key", Row.Name.Key)
          .with("detail", Problem.what());
    }
  }
  if (Page->Truncated && !Page->Rows.empty())
    return readProgress(Page->Rows.back().Name.Key + '!');
  readTailModel();
}

void LeaderDuty::readTailModel() {
  Store.read(singleRowRange(intake::tailModelRow()), CallTimeout,
             [this, LoadingAs = OwnIdentity](const rows::ReadOutcome &Outcome) {
               if (OwnIdentity != LoadingAs || !Leadership)
                 return;
               // Not required: the leader starts without the tail model if it
               // cannot be read.
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               try {
                 if (Page && !Page->Rows.empty())
                   Leadership->JobScheduler.restoreTailModel(
                       Page->Rows.front().Value, Time.now());
               } catch (const ProtocolError &Problem) {
                 LogEvent(LogLevel::Warning, "learned_unreadable")
                     .with("detail", Problem.what());
               }
               finishLoading();
             });
}

void LeaderDuty::finishLoading() {
  // One large job in each step, so that the status can be renewed meanwhile.
  if (Leadership->JobScheduler.finishRestoring(Time.now())) {
    Leadership->LoadTimer->start(Millis(0), [this] { finishLoading(); });
    return;
  }
  Leadership->JobScheduler.assumeGrants(Leadership->EarlierGrantsEnd);
  Leadership->Loaded = true;
  LogEvent(LogLevel::Info, "leader_loaded")
      .with("epoch", OwnIdentity->Term)
      .with("jobs",
            static_cast<std::int64_t>(Leadership->JobScheduler.jobCount()))
      .with("agents", static_cast<std::int64_t>(Leadership->Agents.size()));
  startLinks();
  runScheduler();
}

} // namespace daisyspool::leadership
