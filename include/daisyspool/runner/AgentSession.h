#ifndef DAISYSPOOL_RUNNER_AGENTSESSION_H
#define DAISYSPOOL_RUNNER_AGENTSESSION_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/runner/FillPacer.h"
#include "daisyspool/runner/LeaseClock.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/runner/WorkerPort.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace daisyspool::runner {

/// What a worker says of itself to the agent on its VM.
struct WorkerAnnouncement {
  WorkerReport Worker;
  /// Rises with each announcement of one life.
  SequenceNumber Sequence;
  WorkerClock Clock{0};
};

/// The agent's side of the leader's orders: keeps the worker's lease while the
/// leader grants it, starts and stops runs, and lists what became of them.
///
/// An agent decides nothing and keeps nothing that a new agent process could
/// not learn from the worker and the leader. An order that got no answer is
/// repeated, as the worker knows the run by its number, or made impossible by a
/// stop before it is reported as refused.
///
/// Use one per process; see platform/AgentProgram.h for its ports.
///
/// Thread safety: call from the I/O thread only.
class AgentSession {
public:
  struct Options {
    /// Names this process; greater than that of earlier ones on the VM.
    std::uint64_t Incarnation = 0;
    /// The longest lease that a worker accepts.
    Millis MaxLease{6000};
    /// How long a stopped run may take to end.
    Millis StopTimeout{400};
  };
  using ReplyCallback = std::function<void(SyncReply)>;

  AgentSession(EventLoop &Loop, const Clock &Time, WorkerPort &Worker,
               Options Config);
  AgentSession(const AgentSession &) = delete;
  AgentSession &operator=(const AgentSession &) = delete;
  ~AgentSession();

  /// Takes an announcement; one that is older than what is known is ignored.
  void announce(const WorkerAnnouncement &What);

  /// The worker \p Id leaves for good.
  void leave(const TargetId &Id);

  /// Carries out the leader's message and calls \p Reply once, when there is
  /// news or the wait is over.
  void sync(const SyncRequest &What, ReplyCallback Reply);

  /// Extends the worker's lease as far as granted and ends the session.
  void close(std::function<void()> Done);

private:
  struct Order;
  struct Watched {
    std::uint32_t Percent = 0;
    TimePoint Since{};
  };
  struct Hint {
    workload::ImageId Image;
    bool FillsIdleCpu = false;
    Millis TailTarget{0};
    Millis StallAfter{0};
    std::vector<workload::ImageId> HarmlessTo;
    std::uint32_t PacedTo = 100;
  };

  void beginLife(WorkerLife Next);
  void expireLease();
  void grant(const SyncRequest &What);
  bool takesStarts(const SyncRequest &What);
  void takeStart(const StartOrder &What, TimePoint ValidUntil);
  void takeStop(const RunName &What);
  void attemptStart(const RunName &Name);
  void onStart(const RunName &Name, const StartOutcome &Outcome);
  void attemptStop(const RunName &Name);
  void onStop(const RunName &Name, const OrderOutcome &Outcome);
  void retry(const RunName &Name, Millis Pause);
  void refuse(const RunName &Name, RefusalReason Reason);
  void raiseToken();
  void hold();
  void holdLater(Millis Pause);
  void onHold(const HoldOutcome &Outcome, TimePoint SentAt, bool Waited);
  void takeListing(const WorkerListing &Listing, TimePoint SentAt);
  void settleOrders(TimePoint SentAt);
  void startWaitingOrders();
  void watchProgress(TimePoint Now);
  double worstTailBeside(const Hint &Filling) const;
  void paceFilling(TimePoint Now);
  /// The share for a filling task beside services with the worst tail \p Tail.
  std::uint32_t percentBeside(double Tail) const;
  void paceNew(const RunName &Name);
  void pace(const RunName &Name, std::uint32_t Percent, double Tail);
  bool listed(const RunName &Name) const;
  bool ended(const RunName &Name) const;
  void news();
  void answerWaiting();
  SyncReply snapshot();
  std::optional<WorkerClock> grantedLease();
  TargetId workerId() const;

  EventLoop &Loop;
  const Clock &Time;
  WorkerPort &Port;
  Options Config;
  FencingToken Token;
  Epoch Leader;
  /// The newest sync of the present leader.
  std::uint64_t NewestSync = 0;
  /// What the worker announced; a new agent process waits for it.
  std::optional<WorkerReport> Worker;
  /// The worker's life as far as it is known, 0 before the first word of it.
  WorkerLife Life;
  /// Whether the worker has listed its runs in this life.
  bool HaveListing = false;
  SequenceNumber Sequence;
  LeaseClock Lease;
  TimePoint GrantEnd{};
  /// No order sent so far lets anything run beyond it.
  TimePoint LeaseBound{};
  bool Silent = true;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  EndNumber EndsSeen;
  EndNumber EndsRecorded;
  std::map<RunName, std::shared_ptr<Order>> Orders;
  std::map<RunName, Hint> Hints;
  std::map<RunName, Watched> Progress;
  std::vector<RefusedRun> Refused;
  std::uint64_t LastRefusal = 0;
  std::map<TaskName, RunNumber> RefusedUpTo;
  std::vector<RunName> Stalled;
  FillPacer Pacer;
  TailOverrun Overrun;
  /// The next hold waits for its timer.
  bool PausedHold = false;
  bool HasNews = false;
  bool Closed = false;
  ReplyCallback Waiting;
  std::unique_ptr<Timer> WaitTimer;
  std::unique_ptr<Timer> HoldTimer;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_AGENTSESSION_H
