#ifndef DAISYSPOOL_WORKER_WORKER_H
#define DAISYSPOOL_WORKER_WORKER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// Thousandths of a task's processor time; 0 suspends it with its memory kept.
using PerMille = Quantity<struct PerMilleTag>;
inline constexpr PerMille FullShare{1000};
inline constexpr PerMille Suspended{0};

/// One attempt to run one task.
struct TaskAttempt {
  TaskId Task;
  AttemptNumber Attempt;

  auto operator<=>(const TaskAttempt &) const = default;
};

struct TaskStart {
  TaskAttempt Id;
  std::string Command;
  Resources Size;
  /// Name of the object to resume from.
  std::optional<CheckpointId> ResumeFrom;
};

enum class WorkerTaskPhase {
  Running,
  /// Throttled to zero, or its lease has lapsed.
  Suspended,
  Finished,
  Failed,
  Stopped
};

/// The value of the field `phase` on the wire.
const char *toString(WorkerTaskPhase Phase);
std::optional<WorkerTaskPhase> parseTaskPhase(const std::string &Text);

/// A task as the worker knows it. Ended tasks are listed until acknowledged.
struct WorkerTask {
  TaskAttempt Id;
  WorkerTaskPhase Phase = WorkerTaskPhase::Running;
  /// Meaningful when Finished or Failed.
  int ExitCode = 0;
  PerMille Share = FullShare;
  Resources Size;
  /// The last checkpoint that is stored, and the last one that failed.
  std::optional<CheckpointId> LastCheckpoint;
  std::optional<CheckpointId> FailedCheckpoint;
};

struct TaskUsage {
  TaskAttempt Id;
  Resources Used;
};

/// What the tasks used some time ago.
struct WorkerUsage {
  std::vector<TaskUsage> Tasks;
  /// Lag of the measurement behind the call.
  Duration Age{};
};

/// No usable answer: the effect of the call is unknown, and tasks() tells it.
class WorkerUnavailable : public Error {
  using Error::Error;
};

/// The worker answered something that its protocol does not allow. The effect
/// of the call is unknown.
class WorkerProtocolError : public Error {
  using Error::Error;
};

/// The worker refused the call; nothing changed.
class WorkerRefused : public Error {
public:
  enum class Reason {
    NoRoom,
    UnknownTask,
    /// The attempt has ended or was stopped, maybe before it started.
    AttemptEnded,
    /// Another attempt of the task is still there.
    AnotherAttempt,
    LeaseLapsed,
    UnknownCheckpoint,
    /// The worker has restarted since its clock was read; repeat the call.
    UnknownClock
  };

  WorkerRefused(Reason Why, const std::string &Detail)
      : Error(Detail), Why(Why) {}

  Reason reason() const { return Why; }

private:
  Reason Why;
};

/// The last segment of the problem type of a refusal.
const char *toString(WorkerRefused::Reason Why);
std::optional<WorkerRefused::Reason>
parseWorkerRefusal(const std::string &Text);

/// Runs batch tasks on one VM.
///
/// Use one per agent. A task runs only while its lease lasts: the worker
/// suspends a task by itself when the lease lapses, so that a dead or paused
/// agent cannot leave it running. Every call may be repeated with the same
/// arguments. See HttpWorker.h for the implementation.
///
/// Every call blocks and may throw WorkerUnavailable, WorkerRefused or
/// WorkerProtocolError. Thread safety: one thread per instance.
class Worker {
public:
  Worker() = default;
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  virtual ~Worker() = default;

  /// Starts a task. \p Lease counts from this call, on the caller's clock; a
  /// call that arrives later does not extend it.
  virtual void run(const TaskStart &What, Duration Lease) = 0;

  /// Sets the rest of the lease, counted in the same way. A task that was
  /// suspended because its lease had lapsed continues.
  virtual void renew(const TaskAttempt &Which, Duration Lease) = 0;

  /// Begins to store a checkpoint as the object \p Name. tasks() shows when it
  /// is stored or has failed.
  virtual void checkpoint(const TaskAttempt &Which,
                          const CheckpointId &Name) = 0;

  /// Limits the processor time. Precondition: \p Share is 0 to 1000.
  virtual void throttle(const TaskAttempt &Which, PerMille Share) = 0;

  /// Returns when the attempt does not run and can never run again, also if it
  /// was unknown: its run() may still be on the way.
  virtual void stop(const TaskAttempt &Which) = 0;

  /// Lets the worker drop an ended attempt from its list. An unknown attempt
  /// is no error.
  virtual void acknowledge(const TaskAttempt &Which) = 0;

  /// All tasks that have not been acknowledged.
  virtual std::vector<WorkerTask> tasks() = 0;

  /// The newest measurement that the worker has.
  virtual WorkerUsage usage() = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_WORKER_WORKER_H
