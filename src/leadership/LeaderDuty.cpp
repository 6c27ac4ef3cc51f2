#include "daisyspool/leadership/LeaderDuty.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::leadership {

namespace {

using scheduling::CommitNumber;
using scheduling::Scheduler;

/// Bound of one call; a slow store takes up to half a second for one.
constexpr Millis CallTimeout{1500};
/// Pause before a call that failed is repeated.
constexpr Millis RetryPause{60};
/// How long a call for the leader's next renewal waits; a little more than the
/// renewal interval, so that a takeover is decided soon after it is due.
constexpr Millis StatusWait{550};
/// Events that arrive within it share one decision and one transaction.
constexpr Millis GroupDelay{4};
/// How often the leader looks at what only time changes.
constexpr Millis TickInterval{100};

WallMillis ageOf(const workload::JobRecord &Job, const Clock &Time) {
  return Time.wallNow() - Job.Accepted;
}

} // namespace

/// One transaction of a leader.
struct LeaderDuty::Batch {
  std::uint64_t Number = 0;
  Fence Mine;
  bool Renews = false;
  rows::RowTransaction Write;
  TimePoint Begun{};
};

struct LeaderDuty::Reign {
  Reign(EventLoop &Loop, const Scheduler::Options &Scheduling)
      : Jobs(Scheduling), Group(Loop.timer()), Retry(Loop.timer()) {}

  Scheduler Jobs;
  Fence Mine;
  rows::RowVersion FenceVersion;
  TimePoint LeaseStart{};
  TimePoint LastRenewal{};
  bool Loaded = false;
  bool IntakeRead = false;
  bool Committing = false;
  bool Poked = false;
  /// Set while a stop waits for the transaction under way.
  std::function<void()> OnSettled;
  std::map<VmId, http::Endpoint> Agents;
  std::unique_ptr<AgentLinks> Links;
  std::unique_ptr<rows::TableWatch> Intake;
  std::unique_ptr<Timer> Group;
  std::unique_ptr<Timer> Retry;
};

LeaderDuty::LeaderDuty(EventLoop &Loop, const Clock &Time,
                       rows::RowStore &Store, ChannelFactory Open,
                       Options Config)
    : Loop(Loop), Time(Time), Store(Store), Open(std::move(Open)),
      Config(std::move(Config)),
      StatusWatch(Loop, Time, Store,
                  {intake::LeaderTable, {intake::LeaderPartition}, StatusWait},
                  [this](const std::vector<rows::StoredRow> &Rows) {
                    onStatusRows(Rows);
                  }),
      Tick(Loop.timer()) {
  tick();
}

LeaderDuty::~LeaderDuty() = default;

std::size_t LeaderDuty::jobCount() const {
  return Current ? Current->Jobs.jobCount() : 0;
}

void LeaderDuty::configure(const workload::FleetConfig &Next) {
  Fleet = Next;
  if (Current) {
    Current->Jobs.configure(Fleet);
    poke();
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

void LeaderDuty::tick() {
  Tick->start(TickInterval, [this] {
    if (Closed)
      return;
    checkLeader();
    if (Current && Current->Loaded)
      work();
    tick();
  });
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
      exactly(intake::fenceRow()), CallTimeout,
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
          try {
            Newest = decodeFence(Page->Rows.front().Value).Leader.Term;
          } catch (const ProtocolError &Problem) {
            LogEvent(LogLevel::Error, "fence_unreadable")
                .with("detail", Problem.what());
          }
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
  Store.read(exactly(intake::fenceRow()), CallTimeout,
             [this, Mine, Begun](const rows::ReadOutcome &Outcome) {
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               bool Ours = false;
               if (Page && !Page->Rows.empty()) {
                 try {
                   Ours = decodeFence(Page->Rows.front().Value) == Mine;
                 } catch (const ProtocolError &Problem) {
                   LogEvent(LogLevel::Error, "fence_unreadable")
                       .with("detail", Problem.what());
                 }
               }
               if (Ours)
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
    if (!intake::cancelOfKey(Row.Name.Key))
      takeIntakeRow(Row);
  for (const rows::StoredRow &Row : Rows)
    if (intake::cancelOfKey(Row.Name.Key))
      takeIntakeRow(Row);
  if (!std::exchange(Current->IntakeRead, true))
    return readProgress("");
  poke();
}

void LeaderDuty::takeIntakeRow(const rows::StoredRow &Row) {
  if (Row.Removed)
    return;
  if (auto Job = intake::cancelOfKey(Row.Name.Key)) {
    LogEvent(LogLevel::Info, "job_cancel_seen")
        .with("job", *Job)
        .with("version", Row.Version);
    Current->Jobs.cancel(*Job);
    return;
  }
  if (auto Vm = intake::agentOfKey(Row.Name.Key)) {
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
  Store.read(exactly(intake::learnedRow()), CallTimeout,
             [this, Of = Term](const rows::ReadOutcome &Outcome) {
               if (Term != Of || !Current)
                 return;
               // Only an advantage, so the reign begins without it as well.
               const auto *Page = std::get_if<rows::RowPage>(&Outcome);
               try {
                 if (Page && !Page->Rows.empty())
                   Current->Jobs.restoreLearned(Page->Rows.front().Value,
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

void LeaderDuty::startLinks() {
  AgentLinks::Hooks Hooks;
  Hooks.Next = [this](const VmId &Vm) -> std::optional<runner::SyncRequest> {
    if (!mayAct())
      return std::nullopt;
    return Current->Jobs.nextSync(Vm, Term->Term, Time.now());
  };
  Hooks.OnReply = [this](const VmId &Vm, std::uint64_t Number,
                         const runner::SyncReply &Reply) {
    // The links outlive the reign until the handler that ended it returns.
    if (!Current)
      return;
    if (!Reply.Accepted && Reply.Newest > Term->Term)
      return stepDown("agent_follows_newer");
    Current->Jobs.noteReply(Vm, Number, Reply, Time.now());
    poke();
  };
  Hooks.OnFailure = [this](const VmId &Vm, std::uint64_t Number) {
    if (Current)
      Current->Jobs.noteSyncFailed(Vm, Number);
  };
  Current->Links = std::make_unique<AgentLinks>(Loop, Open, std::move(Hooks));
  for (const auto &[Vm, Agent] : Current->Agents)
    Current->Links->connect(Vm, Agent);
}

bool LeaderDuty::mayAct() const {
  return Current && Time.now() < Current->LeaseStart + Config.Lease;
}

void LeaderDuty::poke() {
  if (!Current || !Current->Loaded || std::exchange(Current->Poked, true))
    return;

  Current->Group->start(GroupDelay, [this] {
    if (!Current)
      return;
    Current->Poked = false;
    work();
  });
}

void LeaderDuty::work() {
  Current->Jobs.schedule(Time.now(), Time.wallNow());
  pump();
  dispatch();
}

LeaderStatus LeaderDuty::ownStatus(bool Released) const {
  LeaderStatus Result;
  Result.Leader = *Term;
  Result.Released = Released;
  Result.Pending = Current->Jobs.pending();
  return Result;
}

void LeaderDuty::pump() {
  if (Current->Committing || !Current->Loaded)
    return;
  bool Renews = Time.now() - Current->LastRenewal >= Config.Renewal;
  if (!Renews && !Current->Jobs.hasChanges())
    return;

  auto What = std::make_shared<Batch>();
  What->Number = Current->Mine.Transaction + 1;
  What->Mine = Current->Mine;
  What->Mine.Transaction = What->Number;
  What->Renews = Renews;
  What->Write.Conditions.push_back({intake::fenceRow(), Current->FenceVersion});
  What->Write.Puts.push_back({intake::fenceRow(), encode(What->Mine)});
  if (Renews) {
    What->Write.Puts.push_back({intake::leaderRow(), encode(ownStatus(false))});
    What->Write.Puts.push_back(
        {intake::learnedRow(), Current->Jobs.encodeLearned(Time.now())});
  }
  for (auto &Change : Current->Jobs.takeChanges(CommitNumber(What->Number)))
    What->Write.Puts.push_back(
        {intake::progressRow(Change.Job), std::move(Change.Progress)});
  // A repeated attempt keeps the time of the first, as that one may be the one
  // that was applied.
  What->Begun = Time.now();
  Current->Committing = true;
  send(What);
}

void LeaderDuty::send(const std::shared_ptr<Batch> &What) {
  Store.commit(What->Write, CallTimeout,
               [this, What](const rows::CommitOutcome &Outcome) {
                 if (Term == What->Mine.Leader && Current)
                   onCommit(What, Outcome);
               });
}

void LeaderDuty::onCommit(const std::shared_ptr<Batch> &What,
                          const rows::CommitOutcome &Outcome) {
  if (const auto *Good = std::get_if<rows::Committed>(&Outcome))
    return applied(*What, Good->Version);
  if (const auto *Bad = std::get_if<rows::Conflict>(&Outcome)) {
    // An earlier attempt of this transaction may have been applied without an
    // answer; the fence row then has its number.
    for (const rows::StoredRow &Row : Bad->Current) {
      try {
        if (Row.Name == intake::fenceRow() &&
            decodeFence(Row.Value) == What->Mine)
          return applied(*What, Row.Version);
      } catch (const ProtocolError &Problem) {
        LogEvent(LogLevel::Error, "fence_unreadable")
            .with("detail", Problem.what());
      }
    }
    return stepDown("fenced_off");
  }

  LogEvent(LogLevel::Warning, "commit_unsettled")
      .with("transaction", static_cast<std::int64_t>(What->Number))
      .with("unknown", std::holds_alternative<rows::OutcomeUnknown>(Outcome)
                           ? "yes"
                           : "no");
  // The same transaction again: its condition lets it be applied only once.
  Current->Retry->start(RetryPause, [this, What] {
    if (Term == What->Mine.Leader && Current)
      send(What);
  });
}

void LeaderDuty::applied(const Batch &What, rows::RowVersion Version) {
  Current->Committing = false;
  Current->Mine = What.Mine;
  Current->FenceVersion = Version;
  Current->LeaseStart = std::max(Current->LeaseStart, What.Begun);
  if (What.Renews)
    Current->LastRenewal = Time.now();
  Current->Jobs.committed(CommitNumber(What.Number));
  if (auto Settled = std::move(Current->OnSettled))
    return close(std::move(Settled));
  dispatch();
  poke();
}

void LeaderDuty::dispatch() {
  if (!mayAct() || !Current->Links)
    return;
  for (const auto &[Vm, Agent] : Current->Agents)
    if (Current->Jobs.hasOrders(Vm))
      Current->Links->send(Vm);
}

void LeaderDuty::stepDown(const char *Cause) {
  if (!Term)
    return;

  LogEvent(LogLevel::Warning, "leader_stepped_down")
      .with("epoch", Term->Term)
      .with("cause", Cause);
  Term.reset();
  // The caller may be a callback of something that the reign owns.
  Loop.post([Old = std::shared_ptr<Reign>(std::move(Current))] {});
  StatusChanged = Time.now();
}

void LeaderDuty::close(std::function<void()> Done) {
  Closed = true;
  Tick->cancel();
  if (!Term || !Current->Loaded) {
    stepDown("closing");
    return Done();
  }
  // The release follows the transaction that is under way.
  if (Current->Committing) {
    Current->OnSettled = std::move(Done);
    return;
  }

  rows::RowTransaction Write;
  Write.Conditions.push_back({intake::fenceRow(), Current->FenceVersion});
  Fence Mine = Current->Mine;
  ++Mine.Transaction;
  Write.Puts.push_back({intake::fenceRow(), encode(Mine)});
  Write.Puts.push_back({intake::leaderRow(), encode(ownStatus(true))});
  stepDown("closing");
  Store.commit(
      Write, CallTimeout,
      [Done = std::move(Done)](const rows::CommitOutcome &) { Done(); });
}

} // namespace daisyspool::leadership
