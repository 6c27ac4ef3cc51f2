#ifndef DAISYSPOOL_JOBS_ATTEMPTLEASES_H
#define DAISYSPOOL_JOBS_ATTEMPTLEASES_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"

#include <map>

namespace daisyspool {

/// The task leases that a shard owner has granted. They decide when a task
/// whose agent does not respond may be started again.
///
/// An agent counts a lease from the time at which it sent its request. The
/// owner counts it from its own later reply and therefore waits longer. See
/// CommitmentTable for the leases of the agent.
///
/// Thread safety: one thread. Times are the owner's own.
class AttemptLeases {
public:
  explicit AttemptLeases(Duration TaskLease) : TaskLease(TaskLease) {}

  /// Treats every lease as granted at \p Now, for a new owner that does not
  /// know the last grants of its predecessor.
  void assumeAllGranted(TimePoint Now);

  /// Records an order or a reply that lets the task run.
  void recordGrant(const TaskId &Task, TimePoint Now) {
    LastGranted[Task] = Now;
  }

  /// Removes a task whose attempt has ended.
  void remove(const TaskId &Task) { LastGranted.erase(Task); }

  /// Whether every lease granted to the task's attempt has expired on the clock
  /// of its agent.
  bool hasExpired(const TaskId &Task, TimePoint Now) const;

private:
  Duration TaskLease;
  TimePoint AssumedGranted{};
  std::map<TaskId, TimePoint> LastGranted;
};

} // namespace daisyspool

#endif // DAISYSPOOL_JOBS_ATTEMPTLEASES_H
