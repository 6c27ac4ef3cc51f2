#include "daisyspool/leadership/LeaderDuty.h"

#include "leadership/Reign.h"

#include "daisyspool/intake/Layout.h"
#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::leadership {

namespace {

/// How long a call for the leader's next renewal waits; a little more than the
/// renewal interval, so that a takeover is decided soon after it is due.
constexpr Millis StatusWait{550};
/// Events that arrive within it share one decision and one transaction.
constexpr Millis GroupDelay{4};
/// How often the leader looks at what only time changes.
constexpr Millis TickInterval{100};

} // namespace

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

void LeaderDuty::configure(const workload::FleetConfig &Next) {
  Fleet = Next;
  if (Current) {
    Current->Jobs.configure(Fleet);
    poke();
  }
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
    Current->Jobs.onSyncReply(Vm, Number, Reply, Time.now());
    poke();
  };
  Hooks.OnFailure = [this](const VmId &Vm, std::uint64_t Number) {
    if (Current)
      Current->Jobs.onSyncFailed(Vm, Number);
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
  // Nothing that is decided during a transaction can be sent before the next
  // one, so one decision after it takes all events in.
  if (!Current->Committing)
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
        {intake::tailModelRow(), Current->Jobs.encodeTailModel(Time.now())});
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
    for (const rows::StoredRow &Row : Bad->Current)
      if (Row.Name == intake::fenceRow() && readableFence(Row) == What->Mine)
        return applied(*What, Row.Version);
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
  Current->Jobs.onCommitted(CommitNumber(What.Number));
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
