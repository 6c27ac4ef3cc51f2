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

/// Share of a task's CPU time in thousandths; 0 suspends the task and keeps its
/// memory.
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
  /// Throttled to zero, or its lease has expired.
  Suspended,
  Finished,
  Failed,
  Stopped
};

/// The value of the field `phase` on the wire.
const char *toString(WorkerTaskPhase Phase);
std::optional<WorkerTaskPhase> parseTaskPhase(const std::string &Text);

/// State of a task as the worker reports it. Ended tasks are listed until they
/// are acknowledged.
struct WorkerTask {
  TaskAttempt Id;
  WorkerTaskPhase Phase = WorkerTaskPhase::Running;
  /// Valid if the phase is Finished or Failed.
  int ExitCode = 0;
  PerMille Share = FullShare;
  Resources Size;
  /// The last checkpoint that was stored, and the last one that failed.
  std::optional<CheckpointId> LastCheckpoint;
  std::optional<CheckpointId> FailedCheckpoint;
};

struct TaskUsage {
  TaskAttempt Id;
  Resources Used;
};

/// Resource usage of the tasks at the time of the last measurement.
struct WorkerUsage {
  std::vector<TaskUsage> Tasks;
  /// Time between the measurement and the call.
  Duration Age{};
};

/// The worker sent no usable response, so the effect of the call is unknown;
/// tasks() shows it.
class WorkerUnavailable : public Error {
  using Error::Error;
};

/// The worker sent a response that violates its protocol. The effect of the
/// call is unknown.
class WorkerProtocolError : public Error {
  using Error::Error;
};

/// The worker refused the call; nothing changed.
class WorkerRefused : public Error {
public:
  enum class Reason {
    NoRoom,
    UnknownTask,
    /// The attempt has ended or was stopped, possibly before it started.
    AttemptEnded,
    /// The worker still lists another attempt of the task.
    AnotherAttempt,
    LeaseLapsed,
    UnknownCheckpoint,
    /// The worker has restarted since its clock was read. The call can be
    /// repeated.
    UnknownClock
  };

  WorkerRefused(Reason Cause, const std::string &Detail)
      : Error(Detail), Cause(Cause) {}

  Reason reason() const { return Cause; }

private:
  Reason Cause;
};

/// The last segment of the problem type of a refusal.
const char *toString(WorkerRefused::Reason Cause);
std::optional<WorkerRefused::Reason>
parseWorkerRefusal(const std::string &Text);

/// Runs batch tasks on one VM.
///
/// Use one per agent. A task runs only while its lease is valid: the worker
/// suspends the task when the lease expires, so that a crashed or paused agent
/// cannot leave it running. Every call may be repeated with the same arguments.
/// See HttpWorker.h for the implementation.
///
/// Every call blocks and may throw WorkerUnavailable, WorkerRefused or
/// WorkerProtocolError. Thread safety: one thread per instance.
class Worker {
public:
  Worker() = default;
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  virtual ~Worker() = default;

  /// Starts a task. \p Lease counts from this call on the caller's clock; a
  /// delay until the call arrives does not extend it.
  virtual void run(const TaskStart &Task, Duration Lease) = 0;

  /// Sets the remaining time of the lease, counted in the same way. A task that
  /// was suspended because its lease had expired continues.
  virtual void renew(const TaskAttempt &Id, Duration Lease) = 0;

  /// Starts to store a checkpoint as the object \p Name. tasks() shows whether
  /// it has been stored or has failed.
  virtual void checkpoint(const TaskAttempt &Id, const CheckpointId &Name) = 0;

  /// Limits the CPU time. Precondition: \p Share is 0 to 1000.
  virtual void throttle(const TaskAttempt &Id, PerMille Share) = 0;

  /// Returns once the attempt does not run and can never run again. This holds
  /// for an unknown attempt too, as its run() call may still be in transit.
  virtual void stop(const TaskAttempt &Id) = 0;

  /// Lets the worker remove an ended attempt from its list. An unknown attempt
  /// is not an error.
  virtual void acknowledge(const TaskAttempt &Id) = 0;

  /// All tasks that have not been acknowledged.
  virtual std::vector<WorkerTask> tasks() = 0;

  /// The worker's latest measurement.
  virtual WorkerUsage usage() = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_WORKER_WORKER_H
