#ifndef DAISYSPOOL_JOBS_ATTEMPTLEASES_H
#define DAISYSPOOL_JOBS_ATTEMPTLEASES_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"

#include <map>

namespace daisyspool {

/// The owner's side of task leases: when a task whose agent is silent may be
/// started again.
///
/// The agent counts a lease from the moment it sent its request, which is
/// before the owner's reply, so that the owner's wait from its own last reply
/// is the longer one. See CommitmentTable for the agent's side.
///
/// Thread safety: one thread. Times are the owner's own.
class AttemptLeases {
public:
  explicit AttemptLeases(Duration TaskLease) : TaskLease(TaskLease) {}

  /// Starts over for a new owner, which does not know what its predecessor
  /// granted last.
  void tookOver(TimePoint Now);

  /// Notes an order or a reply that lets the task run.
  void granted(const TaskId &Task, TimePoint Now) { Last[Task] = Now; }

  /// Drops a task whose attempt has ended.
  void forget(const TaskId &Task) { Last.erase(Task); }

  /// Whether any lease of the task's attempt has ended on its agent's clock.
  bool hasLapsed(const TaskId &Task, TimePoint Now) const;

private:
  Duration TaskLease;
  TimePoint Takeover{};
  std::map<TaskId, TimePoint> Last;
};

} // namespace daisyspool

#endif // DAISYSPOOL_JOBS_ATTEMPTLEASES_H
