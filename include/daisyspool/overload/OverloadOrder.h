#ifndef DAISYSPOOL_OVERLOAD_OVERLOADORDER_H
#define DAISYSPOOL_OVERLOAD_OVERLOADORDER_H

#include "daisyspool/overload/JobDemand.h"

#include <deque>
#include <map>
#include <vector>

namespace daisyspool::overload {

/// In which order jobs get room.
enum class JobOrder : std::uint8_t {
  /// By priority, then first in, first out.
  Arrival,
  /// By priority, then services, lateness and remaining work.
  Work,
  /// By priority, then by the time that is left to start in time.
  Deadline,
  /// As Work while there is room for all; else what costs callers least waits.
  Cost
};

/// Why a job has its place in the order.
enum class TurnCause : std::uint8_t {
  /// There is room for all that wait.
  Ample,
  /// It has waited for the longest time that its queue may have to wait.
  WaitedLongest,
  /// It is the large job of its queue whose turn it is.
  LargeTurn,
  AtRisk,
  InTime,
  Late,
  Useless
};
const char *toString(TurnCause Cause);

/// The decision on one job. Jobs earlier in the list get room first.
struct Turn {
  /// Position in the list of demands.
  std::size_t Job = 0;
  /// The job waits for free room: it preempts nothing.
  bool Later = false;
  TurnCause Cause = TurnCause::Ample;
};

/// Decides which waiting jobs get the room that there is.
///
/// Load pattern: more work than the fleet can do in time. Work whose result is
/// of no use any more gives way to work of any priority, and preempts nothing.
/// Within a priority, services go first, then what can be in time, then what
/// takes least. One job of a queue's largest tenth at a time goes first in its
/// priority once it has waited for half of the time after which its result is
/// of no use; one job a second goes first of all that has waited for twice that
/// time. While there is room, the order is that of Work.
///
/// Thread safety: one thread at a time. Does no I/O; time is a parameter.
class OverloadOrder {
public:
  explicit OverloadOrder(JobOrder Kind) : Kind(Kind) {}

  /// Records the work of a job that was accepted.
  void observe(const workload::QueueId &Queue, std::int64_t Work);

  /// Whether \p Work is more than that of nine tenths of the queue's newest
  /// jobs.
  bool isLarge(const workload::QueueId &Queue, std::int64_t Work) const;

  /// Updates the regime. \p TaskWithoutVm says whether the last pass had a task
  /// that found no VM.
  void updateRegime(const std::vector<JobDemand> &Jobs, bool TaskWithoutVm,
                    TimePoint Now);

  /// Whether there is too little room for the work that waits.
  bool isScarce() const { return Scarce; }

  /// Returns the jobs that have ready tasks, in the order in which they get
  /// room.
  std::vector<Turn> decide(const std::vector<JobDemand> &Jobs, TimePoint Now);

private:
  struct QueueWork {
    std::deque<std::int64_t> Newest;
    /// The work that nine tenths of them do not exceed.
    std::int64_t NineTenths = 0;
  };

  std::vector<Turn> decideByCost(const std::vector<JobDemand> &Jobs,
                                 TimePoint Now);
  /// Selects for each queue the large job that goes first in its priority.
  void updateLargeTurns(const std::vector<JobDemand> &Jobs, TimePoint Now);
  /// The job that goes first because it has waited for too long; its position,
  /// or the number of jobs if there is none.
  std::size_t longestWaiting(const std::vector<JobDemand> &Jobs, TimePoint Now);

  JobOrder Kind;
  std::map<workload::QueueId, QueueWork> Queues;
  bool Scarce = false;
  TimePoint RegimeSince{};
  /// By queue, the large job that goes first until it is done or useless, as
  /// half of its tasks would be of no use to its caller.
  std::map<workload::QueueId, JobId> LargeTurns;
  /// The job that goes first because it has waited for too long, and since
  /// when.
  JobId FirstTurnOf;
  TimePoint FirstTurnSince{};
};

} // namespace daisyspool::overload

#endif // DAISYSPOOL_OVERLOAD_OVERLOADORDER_H
