#ifndef DAISYSPOOL_LEADERSHIP_LEADERDUTY_H
#define DAISYSPOOL_LEADERSHIP_LEADERDUTY_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/leadership/AgentLinks.h"
#include "daisyspool/leadership/LeaderRecord.h"
#include "daisyspool/rows/TableWatch.h"
#include "daisyspool/scheduling/Scheduler.h"

#include <functional>
#include <memory>
#include <optional>

namespace daisyspool::leadership {

/// An entry's part in leading: follows who leads, takes over from a leader
/// that no longer renews, and while it leads runs the Scheduler on the store
/// and the agents.
///
/// Every transaction requires and rewrites the fence row. A leader therefore
/// knows from the store alone whether it still leads, and a takeover ends all
/// of its predecessor's writes. What a predecessor granted to agents that do
/// not yet follow the new leader is waited for.
///
/// Thread safety: call from the I/O thread only.
class LeaderDuty {
public:
  struct Options {
    ProcessId Process;
    Incarnation ProcessIncarnation;
    /// How long a leader acts after the start of its last good transaction.
    Millis Lease{3000};
    Millis Renewal{500};
    /// A leader that has not renewed for so long is replaced. Shorter than the
    /// lease, as a takeover is safe at any time.
    Millis TakeoverAfter{1600};
    scheduling::Scheduler::Options Scheduling;
  };

  LeaderDuty(EventLoop &Loop, const Clock &Time, rows::RowStore &Store,
             ChannelFactory Open, Options Config);
  LeaderDuty(const LeaderDuty &) = delete;
  LeaderDuty &operator=(const LeaderDuty &) = delete;
  ~LeaderDuty();

  /// Applies the operator's configuration.
  void configure(const workload::FleetConfig &Next);

  /// What the leader last said of itself, and when this process heard it.
  const LeaderStatus &status() const { return Status; }
  bool leading() const { return Term.has_value(); }

  /// Stops leading, telling the others, and calls \p Done.
  void close(std::function<void()> Done);

private:
  /// What exists only while this process leads.
  struct Reign;
  struct Batch;

  void onStatusRows(const std::vector<rows::StoredRow> &Rows);
  void checkLeader();
  void readFence();
  void takeOver(rows::RowVersion Version, Epoch Newest);
  void onTakeover(const Fence &Mine, TimePoint Begun,
                  const rows::CommitOutcome &Outcome);
  void confirmTakeover(const Fence &Mine, TimePoint Begun);
  void beginReign(const Fence &Mine, TimePoint Begun, rows::RowVersion Version);
  void onIntakeRows(const std::vector<rows::StoredRow> &Rows);
  void takeIntakeRow(const rows::StoredRow &Row);
  void readProgress(const std::string &From);
  void onProgress(const rows::ReadOutcome &Outcome, const std::string &From);
  void readLearned();
  void finishLoading();
  void startLinks();
  void poke();
  void work();
  void pump();
  void send(const std::shared_ptr<Batch> &What);
  void onCommit(const std::shared_ptr<Batch> &What,
                const rows::CommitOutcome &Outcome);
  void applied(const Batch &What, rows::RowVersion Version);
  void dispatch();
  bool mayAct() const;
  void stepDown(const char *Cause);
  void tick();
  LeaderStatus ownStatus(bool Released) const;

  EventLoop &Loop;
  const Clock &Time;
  rows::RowStore &Store;
  ChannelFactory Open;
  Options Config;
  workload::FleetConfig Fleet;
  LeaderStatus Status;
  bool StatusKnown = false;
  TimePoint StatusChanged{};
  bool TakingOver = false;
  bool Closed = false;
  std::optional<LeaderIdentity> Term;
  std::unique_ptr<Reign> Current;
  rows::TableWatch StatusWatch;
  std::unique_ptr<Timer> Tick;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_LEADERDUTY_H
