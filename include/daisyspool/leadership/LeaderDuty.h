#ifndef DAISYSPOOL_LEADERSHIP_LEADERDUTY_H
#define DAISYSPOOL_LEADERSHIP_LEADERDUTY_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/leadership/AgentLinks.h"
#include "daisyspool/leadership/LeaderRecord.h"
#include "daisyspool/leadership/Succession.h"
#include "daisyspool/rows/TableWatch.h"
#include "daisyspool/scheduling/Scheduler.h"

#include <functional>
#include <memory>
#include <optional>

namespace daisyspool::leadership {

/// Leader election and the work of the leader in an entry process: watches the
/// leader's status, takes over from a leader that no longer renews it, and
/// while leading runs the Scheduler against the store and the agents.
///
/// Every transaction requires and rewrites the fence row. A leader therefore
/// learns from the store alone whether it still leads, and after a takeover all
/// writes of its predecessor fail. A new leader waits for the grants that its
/// predecessor may have given to agents that do not follow the new leader yet.
///
/// Thread safety: call from the I/O thread only.
class LeaderDuty {
public:
  struct Options {
    ProcessId Process;
    Incarnation ProcessIncarnation;
    /// The share of processors that this process may use.
    MilliCores Processors{1000};
    /// How long a leader may act after the start of its last successful
    /// transaction that renewed its status.
    Millis Lease{3000};
    /// Interval at which the leader rewrites its status.
    Millis RenewalInterval{500};
    /// A leader that has not renewed its status for this long is replaced.
    /// Shorter than the lease, as a takeover is safe at any time.
    Millis TakeoverAfter{1600};
    rows::StoreLimits Limits;
    scheduling::Scheduler::Options Scheduling;
    /// How long after an evacuation was ordered tasks may still be started
    /// there; 0 if nobody relies on one.
    Millis EvacuationBound{0};
    /// The time up to which all evacuations are known that the operator has
    /// ordered. Required if there is a bound.
    std::function<TimePoint()> EvacuationsAsOf;
  };

  LeaderDuty(EventLoop &Loop, const Clock &Time, rows::RowStore &Store,
             ChannelFactory OpenChannel, Options Config);
  LeaderDuty(const LeaderDuty &) = delete;
  LeaderDuty &operator=(const LeaderDuty &) = delete;
  ~LeaderDuty();

  /// Applies the operator's configuration.
  void configure(const workload::FleetConfig &Next);

  /// Starts nothing in \p Domains, which replace the earlier ones.
  void evacuate(const scheduling::EvacuatedDomains &Domains);

  struct EvacuationStatus {
    std::size_t Domains = 0;
    /// While this process leads.
    std::size_t Vms = 0;
    /// Starts that this process has taken back since it began.
    std::uint64_t StartsWithdrawn = 0;
  };
  EvacuationStatus evacuationStatus() const;

  /// The newest leader status that this process knows.
  const LeaderStatus &status() const { return Status; }
  /// Time since this process received it.
  Millis statusAge() const {
    return std::chrono::duration_cast<Millis>(Time.now() - StatusReceivedAt);
  }
  bool isLeading() const { return OwnIdentity.has_value(); }

  /// A version that the store has reached, as far as this process knows.
  rows::RowVersion storeVersion() const { return StatusWatch.version(); }

  /// How late this process handles its events, averaged.
  Millis lag() const { return Lag.lag(); }

  /// Leaving and unsteady workers; zero while this process does not lead.
  scheduling::Scheduler::WorkerSummary workerSummary() const;

  /// Stops leading, publishes that the leadership is released, and calls \p
  /// Done.
  void close(std::function<void()> Done);

private:
  /// State that exists only while this process leads.
  struct LeaderState;
  struct Transaction;
  struct Takeover;

  void onStatusRows(const std::vector<rows::StoredRow> &Rows);
  void checkLeader();
  /// Whether the leader has not renewed its status for \p Patience.
  bool isRenewalOverdue(Millis Patience) const;
  void readFence();
  void takeOver(rows::RowVersion FenceVersion, Epoch NewestEpoch);
  void onTakeoverOutcome(const Takeover &Attempt,
                         const rows::CommitOutcome &Outcome);
  void confirmTakeover(const Takeover &Attempt);
  void startLeading(const Takeover &Attempt, rows::RowVersion FenceVersion);
  void onIntakeRows(const std::vector<rows::StoredRow> &Rows);
  /// Applies the next rows of the queue, and the others in further steps.
  void applyQueuedIntake();
  void applyIntakeRow(const rows::StoredRow &Row);
  void readProgress(const std::string &FromKey);
  void onProgress(const rows::ReadOutcome &Outcome, const std::string &FromKey);
  void readTailModel();
  void finishLoading();
  void startLinks();
  void scheduleWork();
  void runScheduler();
  void commitChanges();
  void addTailModel(rows::RowTransaction &Write);
  void addJobChanges(Transaction &Next);
  void sendTransaction(const std::shared_ptr<Transaction> &Pending);
  void onCommitOutcome(const std::shared_ptr<Transaction> &Pending,
                       const rows::CommitOutcome &Outcome);
  void onRejected(const Transaction &Rejected, const std::string &Detail);
  void onCommitted(const Transaction &Committed, rows::RowVersion FenceVersion);
  void sendOrders();
  void updateStartHold();
  /// Age of the operator's orders as known here; 0 without a bound.
  Millis evacuationsAge() const;
  std::size_t countWithdrawnStarts();
  void reportOverload();
  bool holdsLease() const;
  void stepDown(const char *Cause);
  void startTick();
  LeaderStatus ownStatus(bool Released) const;

  EventLoop &Loop;
  const Clock &Time;
  rows::RowStore &Store;
  ChannelFactory OpenChannel;
  Options Config;
  workload::FleetConfig Fleet;
  scheduling::Evacuation Evacuations;
  std::uint64_t StartsWithdrawn = 0;
  LeaderStatus Status;
  bool StatusKnown = false;
  TimePoint StatusChangedAt{};
  /// Version of the status row, and when this process first received it: the
  /// newest lease of that leader began earlier.
  rows::RowVersion StatusVersion;
  TimePoint StatusReceivedAt{};
  bool TakingOver = false;
  bool Closed = false;
  /// This process as the leader; empty while it does not lead.
  std::optional<LeaderIdentity> OwnIdentity;
  std::unique_ptr<LeaderState> Leadership;
  rows::TableWatch StatusWatch;
  std::unique_ptr<Timer> TickTimer;
  RenewalRhythm Rhythm;
  LagMonitor Lag;
  bool OverloadReported = false;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_LEADERDUTY_H
