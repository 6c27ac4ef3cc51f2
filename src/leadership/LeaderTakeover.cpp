// The part of LeaderDuty that follows who leads, takes over, and reads what the
// earlier leaders left.
#include "leadership/Reign.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>
#include <utility>

namespace daisyspool::leadership {

namespace {

WallMillis ageOf(const workload::JobRecord &Job, const Clock &Time) {
  return Time.wallNow() - Job.Accepted;
}

} // namespace

std::optional<Fence> readableFence(const rows::StoredRow &Row) {
  try {
    return decodeFence(Row.Value);
  } catch (const ProtocolError &Problem) {
    LogEvent(LogLevel::Error, "fence_unreadable")
        .with("detail", Problem.what());
    return std::nullopt;
  }
}

void LeaderDuty::onStatusRows(const std::vector<rows::StoredRow> &Rows) {
  StatusKnown = true;
  StatusChanged = Time.now();
  if (!Rows.empty()) {
    try {
      LeaderStatus Next = decodeLeaderStatus(Rows.back().Value);
      if (Next.Leader != Status.Leader)
        LogEvent(LogLevel::Info, "leader_seen")
            .with("epoch", Next.Leader.Term)
            .with("process", Next.Leader.Process);
      Status = std::move(Next);
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Error, "leader_row_unreadable")
          .with("detail", Problem.what());
    }
  }
  if (Term && Status.Leader.Term > Term->Term)
    stepDown("newer_leader_seen");
  checkLeader();
}

void LeaderDuty::checkLeader() {
  if (Term || TakingOver || Closed || !StatusKnown)
    return;

  bool None = Status.Leader.Term == Epoch{};
  // Counts only the time in which the store was heard; otherwise an entry that
  // the store turned away would replace a healthy leader on its return.
  bool Overdue =
      StatusWatch.lastAnswer() - StatusChanged > Config.TakeoverAfter;
  // This process led under an earlier incarnation, which is gone.
  bool OwnPast = Status.Leader.Process == Config.Process &&
                 Status.Leader.Number < Config.Number;
  if (None || Status.Released || Overdue || OwnPast)
    readFence();
}

void LeaderDuty::readFence() {
  TakingOver = true;
  Store.read(
      singleRowRange(intake::fenceRow()), CallTimeout,
      [this, Replaced = Status.Leader](const rows::ReadOutcome &Outcome) {
        const auto *Page = std::get_if<rows::RowPage>(&Outcome);
        // A newer leader's status may have come first.
        if (!Page || Closed || Status.Leader != Replaced) {
          TakingOver = false;
          return;
        }
        Epoch Newest = Status.Leader.Term;
        rows::RowVersion Version;
        if (!Page->Rows.empty()) {
          Version = Page->Rows.front().Version;
          if (auto Found = readableFence(Page->Rows.front()))
            Newest = Found->Leader.Term;
        }
        if (Newest > Status.Leader.Term) {
          // Another process has just taken over; its status row, written
          // with the fence, is on its way.
          TakingOver = false;
          StatusChanged = Time.now();
          return;
        }
        takeOver(Version, Newest);
      });
}

void LeaderDuty::takeOver(rows::RowVersion Version, Epoch Newest) {
  Fence Mine{{Newest.next(), Config.Process, Config.Number},
             Scheduler::RestoredCommit.value()};
  LogEvent(LogLevel::Info, "leader_takeover")
      .with("epoch", Mine.Leader.Term)
      .with("before", Status.Leader.Process)
      .with("status_age_ms",
            std::chrono::duration_cast<Millis>(Time.now() - StatusChanged)
                .count());
  LeaderStatus Announced;
  Announced.Leader = Mine.Leader;
  Announced.Pending = Status.Pending;
  rows::RowTransaction Write;
  Write.Conditions.push_back({intake::fenceRow(), Version});
  Write.Puts.push_back({intake::fenceRow(), encode(Mine)});
  Write.Puts.push_back({intake::leaderRow(), encode(Announced)});
  TimePoint Begun = Time.now();
  Store.commit(Write, CallTimeout,
               [this, Mine, Begun](const rows::CommitOutcome &Outcome) {
                 onTakeover(Mine, Begun, Outcome);
               });
}

void LeaderDuty::onTakeover(const Fence &Mine, TimePoint Begun,
                            const rows::CommitOutcome &Outcome) {
  if (const auto *Good = std::get_if<rows::Committed>(&Outcome))
    return beginReign(Mine, Begun, Good->Version);
  if (std::holds_alternative<rows::OutcomeUnknown>(Outcome))
    return confirmTakeover(Mine, Begun);

  LogEvent(LogLevel::Info, "leader_takeover_lost")
      .with("epoch", Mine.Leader.Term);
  TakingOver = false;
  // Another process may just have taken over; its first renewal is awaited.
  StatusChanged = Time.now();
}

void LeaderDuty::confirmTakeover(const Fence &Mine, TimePoint Begun) {
  Store.read(singleRowRange(intake::fenceRow()), CallTimeout,
             [this, Mine, Begun](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               if (Page && !Page->Rows.empty() &&
                   readableFence(Page->Rows.front()) == Mine)
                 return beginReign(Mine, Begun, Page->Rows.front().Version);
               // If the transaction is applied later, the status row shows
               // this process as leader and it takes over from itself.
               TakingOver = false;
               StatusChanged = Time.now();
             });
}

void LeaderDuty::beginReign(const Fence &Mine, TimePoint Begun,
                            rows::RowVersion Version) {
  TakingOver = false;
  if (Closed)
    return;
  Term = Mine.Leader;
  Status.Leader = Mine.Leader;
  Status.Released = false;
  StatusChanged = Time.now();
  Current = std::make_unique<Reign>(Loop, Config.Scheduling);
  Current->Mine = Mine;
  Current->FenceVersion = Version;
  Current->LeaseStart = Begun;
  Current->LastRenewal = Time.now();
  Current->Jobs.configure(Fleet);
  LogEvent(LogLevel::Info, "leader_began")
      .with("epoch", Mine.Leader.Term)
      .with("fence_version", Version);
  Current->Intake = std::make_unique<rows::TableWatch>(
      Loop, Time, Store,
      rows::TableWatch::Options{intake::IntakeTable,
                                intake::intakePartitions()},
      [this](const std::vector<rows::StoredRow> &Rows) { onIntakeRows(Rows); });
}

void LeaderDuty::onIntakeRows(const std::vector<rows::StoredRow> &Rows) {
  if (!Current)
    return;
  // Cancellations follow the jobs that they name.
  for (const rows::StoredRow &Row : Rows)
    if (!intake::cancelledJobIdFromKey(Row.Name.Key))
      takeIntakeRow(Row);
  for (const rows::StoredRow &Row : Rows)
    if (intake::cancelledJobIdFromKey(Row.Name.Key))
      takeIntakeRow(Row);
  if (!std::exchange(Current->IntakeRead, true))
    return readProgress("");
  poke();
}

void LeaderDuty::takeIntakeRow(const rows::StoredRow &Row) {
  if (Row.Removed)
    return;
  if (auto Job = intake::cancelledJobIdFromKey(Row.Name.Key)) {
    LogEvent(LogLevel::Info, "job_cancel_seen")
        .with("job", *Job)
        .with("version", Row.Version);
    Current->Jobs.cancel(*Job);
    return;
  }
  if (auto Vm = intake::agentVmIdFromKey(Row.Name.Key)) {
    auto Agent = http::parseEndpoint(Row.Value);
    if (!Agent)
      return;
    Current->Agents[*Vm] = *Agent;
    Current->Jobs.addVm(*Vm, Time.now());
    if (Current->Links)
      Current->Links->connect(*Vm, *Agent);
    return;
  }
  try {
    workload::JobRecord Job = workload::decodeJob(Row.Value);
    Current->Jobs.addJob(Job, ageOf(Job, Time), Time.now());
  } catch (const ProtocolError &Problem) {
    LogEvent(LogLevel::Error, "job_unreadable")
        .with("key", Row.Name.Key)
        .with("detail", Problem.what());
  }
}

void LeaderDuty::readProgress(const std::string &From) {
  Store.read({intake::ProgressTable, intake::LeaderPartition, From, {}},
             CallTimeout,
             [this, From, Of = Term](const rows::ReadOutcome &Outcome) {
               if (Term == Of && Current)
                 onProgress(Outcome, From);
             });
}

void LeaderDuty::onProgress(const rows::ReadOutcome &Outcome,
                            const std::string &From) {
  const auto *Page = std::get_if<rows::RowPage>(&Outcome);
  if (!Page) {
    Current->Retry->start(RetryPause, [this, From] {
      if (Current)
        readProgress(From);
    });
    return;
  }

  for (const rows::StoredRow &Row : Page->Rows) {
    try {
      Current->Jobs.restore(JobId(Row.Name.Key), Row.Value, Time.now());
    } catch (const ProtocolError &Problem) {
      LogEvent(LogLevel::Error, "progress_unreadable")
          .with("job", Row.Name.Key)
          .with("detail", Problem.what());
    }
  }
  if (Page->Truncated && !Page->Rows.empty())
    return readProgress(Page->Rows.back().Name.Key + '!');
  readLearned();
}

void LeaderDuty::readLearned() {
  Store.read(singleRowRange(intake::tailModelRow()), CallTimeout,
             [this, Of = Term](const rows::ReadOutcome &Outcome) {
               if (Term != Of || !Current)
                 return;
               // Only an advantage, so the reign begins without it as well.
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               try {
                 if (Page && !Page->Rows.empty())
                   Current->Jobs.restoreTailModel(Page->Rows.front().Value,
                                                  Time.now());
               } catch (const ProtocolError &Problem) {
                 LogEvent(LogLevel::Warning, "learned_unreadable")
                     .with("detail", Problem.what());
               }
               finishLoading();
             });
}

void LeaderDuty::finishLoading() {
  // The predecessor acted until its lease ended at the latest, and what it
  // granted then lasts for one grant more.
  Current->Jobs.assumeGrants(Current->LeaseStart + Config.Lease +
                             Config.Scheduling.Grant +
                             Config.Scheduling.GrantMargin);
  Current->Loaded = true;
  LogEvent(LogLevel::Info, "leader_loaded")
      .with("epoch", Term->Term)
      .with("jobs", static_cast<std::int64_t>(Current->Jobs.jobCount()))
      .with("agents", static_cast<std::int64_t>(Current->Agents.size()));
  startLinks();
  work();
}

} // namespace daisyspool::leadership
