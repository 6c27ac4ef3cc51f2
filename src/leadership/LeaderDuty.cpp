#include "daisyspool/leadership/LeaderDuty.h"

#include "leadership/LeaderState.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::leadership {

namespace {

/// How long a read of the leader's status waits for the next renewal; slightly
/// more than the renewal interval, so that a takeover starts soon after it is
/// due.
constexpr Millis StatusWait{550};
/// Events within this delay share one scheduling pass and one transaction.
constexpr Millis WorkDelay{4};
/// Starts are held back while the newest known cancellations may be older than
/// this; twice the usual age of the leader's view of the intake.
constexpr Millis MaxCancellationAge{2000};
/// Interval of the checks that depend only on the time.
constexpr Millis TickInterval{100};

} // namespace

LeaderDuty::LeaderDuty(EventLoop &Loop, const Clock &Time,
                       rows::RowStore &Store, ChannelFactory OpenChannel,
                       Options Config)
    : Loop(Loop), Time(Time), Store(Store), OpenChannel(std::move(OpenChannel)),
      Config(std::move(Config)), Evacuations(this->Config.EvacuationBound),
      StatusWatch(Loop, Time, Store,
                  {intake::LeaderTable, {intake::LeaderPartition}, StatusWait},
                  [this](const std::vector<rows::StoredRow> &Rows) {
                    onStatusRows(Rows);
                  }),
      TickTimer(Loop.timer()) {
  // Leaves room for the other rows of a transaction, whose values are base64.
  const rows::StoreLimits &Limits = this->Config.Limits;
  this->Config.Scheduling.RowBytes =
      std::min(Limits.RowBytes, Limits.TransactionBytes / 2);
  startTick();
}

LeaderDuty::~LeaderDuty() = default;

void LeaderDuty::configure(const workload::FleetConfig &Next) {
  Fleet = Next;
  if (Leadership) {
    Leadership->JobScheduler.configure(Fleet);
    scheduleWork();
  }
}

scheduling::Scheduler::WorkerSummary LeaderDuty::workerSummary() const {
  if (!Leadership)
    return {};
  return Leadership->JobScheduler.workerSummary(Time.now());
}

void LeaderDuty::startTick() {
  TickTimer->start(TickInterval, [this, Due = Time.now() + TickInterval] {
    if (Closed)
      return;
    Lag.observe(std::chrono::duration_cast<Millis>(Time.now() - Due),
                Time.now());
    reportOverload();
    checkLeader();
    if (Leadership && Leadership->Loaded)
      runScheduler();
    else if (Leadership)
      commitChanges();
    startTick();
  });
}

void LeaderDuty::startLinks() {
  AgentLinks::Hooks Hooks;
  Hooks.NextRequest =
      [this](const VmId &Vm) -> std::optional<runner::SyncRequest> {
    if (!holdsLease())
      return std::nullopt;
    updateStartHold();
    return Leadership->JobScheduler.nextSync(Vm, OwnIdentity->Term, Time.now());
  };
  Hooks.OnReply = [this](const VmId &Vm, std::uint64_t Number,
                         const runner::SyncReply &Reply) {
    // The links exist until the handler that called stepDown() returns.
    if (!Leadership)
      return;
    if (!Reply.Accepted && Reply.Newest > OwnIdentity->Term)
      return stepDown("agent_follows_newer");
    Leadership->JobScheduler.onSyncReply(Vm, Number, Reply, Time.now());
    scheduleWork();
  };
  Hooks.OnFailure = [this](const VmId &Vm, std::uint64_t Number) {
    if (Leadership)
      Leadership->JobScheduler.onSyncFailed(Vm, Number);
  };
  Leadership->Links =
      std::make_unique<AgentLinks>(Loop, OpenChannel, std::move(Hooks));
  for (const auto &[Vm, Agent] : Leadership->Agents)
    Leadership->Links->connect(Vm, Agent);
}

bool LeaderDuty::holdsLease() const {
  return Leadership && Time.now() < Leadership->LeaseStart + Config.Lease;
}

void LeaderDuty::scheduleWork() {
  if (!Leadership || !Leadership->Loaded ||
      std::exchange(Leadership->WorkScheduled, true))
    return;

  Leadership->WorkTimer->start(WorkDelay, [this] {
    if (!Leadership)
      return;
    Leadership->WorkScheduled = false;
    runScheduler();
  });
}

void LeaderDuty::runScheduler() {
  // Orders decided while a transaction is in flight have to wait for the next
  // one, so one scheduling pass after it covers all events.
  if (!Leadership->Committing) {
    Leadership->JobScheduler.schedule(Time.now(), Time.wallNow());
    countWithdrawnStarts();
    if (Leadership->JobScheduler.hasDeferredWork())
      scheduleWork();
  }
  commitChanges();
  sendOrders();
}

LeaderStatus LeaderDuty::ownStatus(bool Released) const {
  LeaderStatus Result;
  Result.Leader = *OwnIdentity;
  Result.Released = Released;
  Result.Processors = Config.Processors;
  Result.Overloaded = Lag.isOverloaded(Time.now());
  // Until all progress is read, jobs that have begun would be counted as well.
  Result.Pending =
      Leadership->Loaded ? Leadership->JobScheduler.pending() : Status.Pending;
  if (Leadership->Loaded)
    Result.Room = Leadership->JobScheduler.roomEstimate(Time.now());
  return Result;
}

void LeaderDuty::commitChanges() {
  if (Leadership->Committing)
    return;
  // Loading takes seconds while the store is slow, and a leader that does not
  // renew its status meanwhile is replaced.
  bool RenewsStatus =
      Time.now() - Leadership->LeaseStart >= Config.RenewalInterval;
  bool HasChanges = Leadership->Loaded && Leadership->JobScheduler.hasChanges();
  if (!RenewsStatus && !HasChanges)
    return;

  auto Next = std::make_shared<Transaction>();
  Next->Number = Leadership->OwnFence.Transaction + 1;
  Next->OwnFence = Leadership->OwnFence;
  Next->OwnFence.Transaction = Next->Number;
  Next->RenewsStatus = RenewsStatus;
  Next->Write.Conditions.push_back(
      {intake::fenceRow(), Leadership->FenceVersion});
  Next->Write.Puts.push_back({intake::fenceRow(), encode(Next->OwnFence)});
  if (RenewsStatus)
    Next->Write.Puts.push_back({intake::leaderRow(), encode(ownStatus(false))});
  if (RenewsStatus && Leadership->Loaded)
    addTailModel(Next->Write);
  if (Leadership->Loaded)
    addJobChanges(*Next);
  // A repetition keeps the start time of the first attempt, as the store may
  // have applied that one.
  Next->StartedAt = Time.now();
  Leadership->Committing = true;
  sendTransaction(Next);
}

/// The model is not required, so it must not have a transaction rejected.
void LeaderDuty::addTailModel(rows::RowTransaction &Write) {
  if (Leadership->TailModelRejected ||
      Leadership->JobScheduler.isIsolatingJobs())
    return;
  std::string Model = Leadership->JobScheduler.encodeTailModel(Time.now());
  if (Model.size() > Config.Limits.RowBytes) {
    Leadership->TailModelRejected = true;
    LogEvent(LogLevel::Error, "tail_model_unstorable")
        .with("bytes", static_cast<std::int64_t>(Model.size()));
    return;
  }
  Write.Puts.push_back({intake::tailModelRow(), std::move(Model)});
}

void LeaderDuty::addJobChanges(Transaction &Next) {
  const rows::StoreLimits &Limits = Config.Limits;
  rows::RowTransaction &Write = Next.Write;
  std::size_t Entries = Write.Conditions.size() + Write.Puts.size();
  std::size_t Bytes = encodedBytes(Write);
  Scheduler::Budget Room;
  Room.Rows =
      Limits.TransactionEntries - std::min(Limits.TransactionEntries, Entries);
  Room.Bytes =
      Limits.TransactionBytes - std::min(Limits.TransactionBytes, Bytes);
  for (auto &Change :
       Leadership->JobScheduler.takeChanges(CommitNumber(Next.Number), Room))
    Write.Puts.push_back({Change.FirstTask ? intake::progressPartRow(
                                                 Change.Job, *Change.FirstTask)
                                           : intake::progressRow(Change.Job),
                          std::move(Change.Progress)});
}

void LeaderDuty::sendTransaction(const std::shared_ptr<Transaction> &Pending) {
  Store.commit(Pending->Write, CallTimeout,
               [this, Pending](const rows::CommitOutcome &Outcome) {
                 if (OwnIdentity == Pending->OwnFence.Leader && Leadership)
                   onCommitOutcome(Pending, Outcome);
               });
}

void LeaderDuty::onCommitOutcome(const std::shared_ptr<Transaction> &Pending,
                                 const rows::CommitOutcome &Outcome) {
  if (const auto *Success = std::get_if<rows::Committed>(&Outcome))
    return onCommitted(*Pending, Success->Version);
  if (const auto *Mismatch = std::get_if<rows::Conflict>(&Outcome)) {
    // The store may have applied an earlier attempt of this transaction without
    // answering; the fence row then has its number.
    const rows::StoredRow *Row = findRow(Mismatch->Current, intake::fenceRow());
    if (Row && tryDecodeFence(*Row) == Pending->OwnFence)
      return onCommitted(*Pending, Row->Version);
    return stepDown("fenced_off");
  }
  if (const auto *Refusal = std::get_if<rows::Rejected>(&Outcome))
    return onRejected(*Pending, Refusal->Detail);

  LogEvent(LogLevel::Warning, "commit_unsettled")
      .with("transaction", static_cast<std::int64_t>(Pending->Number))
      .with("unknown", std::holds_alternative<rows::OutcomeUnknown>(Outcome)
                           ? "yes"
                           : "no");
  // Repeats the same transaction: its condition on the fence row allows it to
  // be applied only once.
  Leadership->RetryTimer->start(RetryPause, [this, Pending] {
    if (OwnIdentity == Pending->OwnFence.Leader && Leadership)
      sendTransaction(Pending);
  });
}

/// Load pattern: one job is too large for the store. Repeating its transaction
/// would hold up all other jobs and the renewal of the leader's status.
void LeaderDuty::onRejected(const Transaction &Rejected,
                            const std::string &Detail) {
  LogEvent(LogLevel::Error, "commit_rejected")
      .with("transaction", static_cast<std::int64_t>(Rejected.Number))
      .with("rows", static_cast<std::int64_t>(Rejected.Write.Puts.size()))
      .with("bytes", static_cast<std::int64_t>(encodedBytes(Rejected.Write)))
      .with("detail", Detail);
  bool HadChanges =
      Leadership->JobScheduler.onRejected(CommitNumber(Rejected.Number));
  // Only the fence, the status and the model are left to blame.
  if (!HadChanges && std::exchange(Leadership->TailModelRejected, true))
    return stepDown("store_rejects_status");
  Leadership->Committing = false;
  if (auto Done = std::move(Leadership->PendingClose))
    return close(std::move(Done));
  commitChanges();
}

void LeaderDuty::onCommitted(const Transaction &Committed,
                             rows::RowVersion FenceVersion) {
  Leadership->Committing = false;
  Leadership->OwnFence = Committed.OwnFence;
  Leadership->FenceVersion = FenceVersion;
  // A successor knows the newest status but not other transactions, and derives
  // from it how long this leader may have acted.
  if (Committed.RenewsStatus)
    Leadership->LeaseStart =
        std::max(Leadership->LeaseStart, Committed.StartedAt);
  Leadership->JobScheduler.onCommitted(CommitNumber(Committed.Number));
  if (auto Done = std::move(Leadership->PendingClose))
    return close(std::move(Done));
  sendOrders();
  scheduleWork();
}

/// Load pattern: a leader that is behind, or that the store's change feed does
/// not reach, would start tasks of jobs that were cancelled seconds ago.
void LeaderDuty::updateStartHold() {
  Duration Age = Time.now() - Leadership->IntakeWatch->currentAsOf();
  Millis EvacuationsAge = evacuationsAge();
  bool Hold = Age > MaxCancellationAge || !Leadership->IntakeQueue.empty() ||
              Evacuations.areStartsHeld(EvacuationsAge);
  if (Leadership->JobScheduler.areStartsHeld() != Hold)
    LogEvent(LogLevel::Warning, Hold ? "starts_held" : "starts_resumed")
        .with("intake_age_ms", std::chrono::duration_cast<Millis>(Age).count())
        .with("evacuations_age_ms", EvacuationsAge.count())
        .with("lag_ms", Lag.lag().count());
  Leadership->JobScheduler.holdStarts(Hold);
}

void LeaderDuty::reportOverload() {
  bool Overloaded = OwnIdentity && Lag.isOverloaded(Time.now());
  if (std::exchange(OverloadReported, Overloaded) != Overloaded)
    LogEvent(LogLevel::Warning,
             Overloaded ? "leader_overloaded" : "leader_keeps_up")
        .with("lag_ms", Lag.lag().count())
        .with("processors", Config.Processors.value());
}

void LeaderDuty::sendOrders() {
  if (!holdsLease() || !Leadership->Links)
    return;
  updateStartHold();
  for (const auto &[Vm, Agent] : Leadership->Agents)
    if (Leadership->JobScheduler.hasOrders(Vm))
      Leadership->Links->send(Vm);
}

void LeaderDuty::stepDown(const char *Cause) {
  if (!OwnIdentity)
    return;

  LogEvent(LogLevel::Warning, "leader_stepped_down")
      .with("epoch", OwnIdentity->Term)
      .with("cause", Cause);
  OwnIdentity.reset();
  // Destroyed later, as the caller may be a callback of an object that the
  // state owns.
  Loop.post(
      [EndedState = std::shared_ptr<LeaderState>(std::move(Leadership))] {});
  StatusChangedAt = Time.now();
}

void LeaderDuty::close(std::function<void()> Done) {
  Closed = true;
  TickTimer->cancel();
  if (!OwnIdentity || !Leadership->Loaded) {
    stepDown("closing");
    return Done();
  }
  // The release is written after the transaction in flight.
  if (Leadership->Committing) {
    Leadership->PendingClose = std::move(Done);
    return;
  }

  rows::RowTransaction Write;
  Write.Conditions.push_back({intake::fenceRow(), Leadership->FenceVersion});
  Fence OwnFence = Leadership->OwnFence;
  ++OwnFence.Transaction;
  Write.Puts.push_back({intake::fenceRow(), encode(OwnFence)});
  Write.Puts.push_back({intake::leaderRow(), encode(ownStatus(true))});
  stepDown("closing");
  Store.commit(
      Write, CallTimeout,
      [Done = std::move(Done)](const rows::CommitOutcome &) { Done(); });
}

} // namespace daisyspool::leadership
