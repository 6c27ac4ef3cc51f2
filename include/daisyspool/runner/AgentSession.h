#ifndef DAISYSPOOL_RUNNER_AGENTSESSION_H
#define DAISYSPOOL_RUNNER_AGENTSESSION_H

#include "daisyspool/core/EventLoop.h"
#include "daisyspool/runner/FillPacer.h"
#include "daisyspool/runner/LeaseClock.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/runner/WorkerPort.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace daisyspool::runner {

/// A worker's announcement of itself to the agent on its VM.
struct WorkerAnnouncement {
  WorkerReport Worker;
  /// Increases with each announcement of one life of the worker.
  SequenceNumber Sequence;
};

/// A worker's notice that it ends now.
struct WorkerDeparture {
  TargetId Id;
  /// The life that ends; empty if the notice does not name it.
  std::optional<WorkerLife> Life;
};

/// Carries out the leader's orders on one VM: extends the worker's lease as far
/// as the leader grants it, starts and stops runs, and reports their outcome.
///
/// An agent makes no scheduling decisions and holds no state that a new agent
/// process could not get from the worker and the leader. An order without an
/// answer is repeated, which is safe as the worker identifies the run by its
/// number, or a stop rules it out before it is reported as refused.
///
/// Use one per process; see platform/Program.h for its ports.
///
/// Thread safety: call from the I/O thread only.
class AgentSession {
public:
  struct Options {
    /// Identifies this process; greater than that of earlier agent processes on
    /// the VM.
    std::uint64_t Incarnation = 0;
    /// The longest lease that a worker accepts.
    Millis MaxLease{6000};
    /// How long a stopped run may take to end.
    Millis StopTimeout{400};
    /// How many starts and stops may wait for the worker's answer at once.
    /// Below the number of connections to the worker, as paces need some, too.
    std::size_t MaxOrdersInFlight = 12;
  };
  using ReplyCallback = std::function<void(SyncReply)>;

  AgentSession(EventLoop &Loop, const Clock &Time, WorkerPort &Worker,
               Options Config);
  AgentSession(const AgentSession &) = delete;
  AgentSession &operator=(const AgentSession &) = delete;
  ~AgentSession();

  /// Processes an announcement. One that names another worker or life than the
  /// known one takes effect only after the worker itself has confirmed it; an
  /// older one than the last is ignored.
  void announce(const WorkerAnnouncement &Announcement);

  /// Handles the departure of the worker: it counts as draining with no time
  /// left. Ignores that of another worker or life.
  void leave(const WorkerDeparture &Departure);

  /// Processes the leader's request and calls \p Reply once, when there are
  /// changes to report or the wait is over.
  void sync(const SyncRequest &Request, ReplyCallback Reply);

  /// Extends the worker's lease as far as granted, ends the session and calls
  /// \p Done.
  void close(std::function<void()> Done);

private:
  struct Order;
  struct ProgressSample {
    std::uint32_t Percent = 0;
    TimePoint Since{};
  };
  /// What a start order says about the behaviour of the run.
  struct RunTraits {
    workload::ImageId Image;
    bool FillsIdleCpu = false;
    Millis TailTarget{0};
    Millis StallAfter{0};
    std::vector<workload::ImageId> HarmlessTo;
    /// The share of its speed that was last ordered, in percent.
    std::uint32_t PacedTo = 100;
  };

  struct RememberedRefusal {
    /// The highest run of the task that was refused.
    RunNumber Run;
    /// The newest refusal of the task.
    std::uint64_t Number = 0;
  };

  struct Pace {
    std::uint32_t Percent = 100;
    /// The largest ratio of tail latency to target among the services that the
    /// task may disturb; 0 without any.
    double TailRatio = 0;
  };

  void ignore(const WorkerAnnouncement &Announcement, std::string_view Cause);
  void applyAnnouncement(const WorkerAnnouncement &Announcement);
  void confirm(const WorkerAnnouncement &Announcement);
  void onConfirmation(const WorkerAnnouncement &Announcement,
                      const HoldOutcome &Outcome, TimePoint SentAt);
  bool isOutdatedLife(WorkerLife Listed, TimePoint SentAt) const;
  void beginLife(WorkerLife NewLife);
  void refuseExpiredOrders();
  void applyGrant(const SyncRequest &Request);
  bool acceptsStarts(const SyncRequest &Request);
  void addStart(const StartOrder &Start, TimePoint ValidUntil);
  void addStop(const RunName &Name);
  /// Sends the stop or the start that the order is due for.
  void attemptOrder(const RunName &Name);
  void attemptStart(const RunName &Name);
  void onStartOutcome(const RunName &Name, const StartOutcome &Outcome);
  /// Applies the worker's answer to a start, if its order is still open.
  void settleStart(const RunName &Name, const StartOutcome &Outcome);
  /// Refuses a start, after a stop if the worker may still carry it out.
  void giveUpStart(const RunName &Name, RefusalReason Reason);
  void attemptStop(const RunName &Name);
  void onStopOutcome(const RunName &Name, const OrderOutcome &Outcome);
  /// Applies the worker's answer to a stop, if its order is still open.
  void settleStop(const RunName &Name, const OrderOutcome &Outcome);
  void retryLater(const RunName &Name, Millis Delay);
  /// Whether an order may be sent now; if not, it is queued until others have
  /// been answered.
  bool reserveOrder(const RunName &Name, Order &Next);
  /// Frees the place of an answered order and sends queued ones, stops first.
  void releaseOrder();
  void refuse(const RunName &Name, RefusalReason Reason);
  /// Limits the refusals that are remembered after the leader has seen them.
  void forgetOldRefusals();
  void raiseToken();
  void sendHold();
  void scheduleHold(Millis Delay);
  void onHoldOutcome(const HoldOutcome &Outcome, TimePoint SentAt, bool Waited);
  void applyListing(const WorkerListing &Listing, TimePoint SentAt);
  /// Updates MayHaveEnded after a listing, given the runs of the one before.
  void updateUnlistedRuns(const std::set<RunName> &RunningBefore);
  void removeSettledOrders(TimePoint SentAt);
  void startWaitingOrders();
  void detectStalls(TimePoint Now);
  /// Updates the pacer of each running serving image with its tail latency.
  void updatePacers(TimePoint Now);
  void paceFillingTasks(TimePoint Now);
  /// The pace of a filling task: the lowest that the services beside it that it
  /// may disturb allow.
  Pace paceFor(const RunTraits &FillingTask) const;
  void paceNewRun(const RunName &Name);
  void setPace(const RunName &Name, const Pace &Wanted);
  bool isListed(const RunName &Name) const {
    return RunningNames.count(Name) != 0;
  }
  bool hasEnded(const RunName &Name) const {
    return EndedNames.count(Name) != 0;
  }
  /// Removes the ends that the leader has acknowledged.
  void removeRecordedEnds();
  void reportChange();
  void replyToSync();
  SyncReply snapshot();
  std::optional<WorkerClock> grantedLease();
  TargetId workerId() const;

  EventLoop &Loop;
  const Clock &Time;
  WorkerPort &Port;
  Options Config;
  FencingToken Token;
  Epoch Leader;
  /// Number of the newest sync from the current leader.
  std::uint64_t NewestSync = 0;
  /// The worker's newest confirmed announcement; empty in a new agent process.
  std::optional<WorkerReport> Worker;
  /// When the newest announcement of the worker was applied.
  TimePoint AnnouncedAt{};
  /// The worker's newest known life; 0 while none is known.
  WorkerLife Life;
  /// When this process learned of the known life.
  TimePoint LifeSince{};
  /// Announcements about which the worker has been asked, by its id and life.
  std::map<std::pair<TargetId, WorkerLife>, WorkerAnnouncement> Unconfirmed;
  /// The worker at the address has another id than expected, so the next hold
  /// asks for whichever life is there.
  bool AnyLifeAnswers = false;
  /// Whether the worker has listed its runs in this life.
  bool HasListing = false;
  SequenceNumber Sequence;
  LeaseClock Lease;
  /// Orders of earlier agent processes have no effect after that.
  TimePoint EarlierOrdersEnd;
  TimePoint GrantEnd{};
  /// No lease that was sent to the worker so far ends later.
  TimePoint LeaseBound{};
  bool WorkerSilent = true;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  /// The names in Running and Ended. Load pattern: hundreds of runs and orders
  /// on one worker.
  std::set<RunName> RunningNames;
  std::set<RunName> EndedNames;
  /// The newest listing had no room for all ends, so that a run that it does
  /// not name may have ended.
  bool EndsTruncated = false;
  /// Runs that an earlier listing named and the newest, truncated one does not.
  std::set<RunName> MayHaveEnded;
  EndNumber EndsSeen;
  EndNumber EndsRecorded;
  std::map<RunName, std::shared_ptr<Order>> Orders;
  /// Starts and stops that wait for the worker's answer.
  std::size_t OrdersInFlight = 0;
  /// Orders that wait for an answer to another, oldest first.
  std::deque<RunName> QueuedStarts;
  std::deque<RunName> QueuedStops;
  /// releaseOrder() is sending queued orders.
  bool SendingQueued = false;
  std::map<RunName, RunTraits> TraitsByRun;
  std::map<RunName, ProgressSample> Progress;
  std::vector<RefusedRun> Refused;
  /// The names in Refused.
  std::set<RunName> RefusedNames;
  std::uint64_t LastRefusal = 0;
  /// The newest refusal that the leader has seen.
  std::uint64_t RefusalsSeen = 0;
  std::map<TaskName, RememberedRefusal> RefusedUpTo;
  /// The numbers and tasks of the refusals in RefusedUpTo, oldest first.
  std::deque<std::pair<std::uint64_t, TaskName>> RefusalOrder;
  std::vector<RunName> Stalled;
  /// By serving image on this VM, the pace of the tasks that may disturb it.
  std::map<workload::ImageId, FillPacer> Pacers;
  TailOverrun Overrun;
  /// HoldTimer is set for the next hold.
  bool HoldScheduled = false;
  bool HasChanges = false;
  bool Closed = false;
  ReplyCallback WaitingReply;
  std::unique_ptr<Timer> WaitTimer;
  std::unique_ptr<Timer> HoldTimer;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_RUNNER_AGENTSESSION_H
