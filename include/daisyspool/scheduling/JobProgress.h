#ifndef DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
#define DAISYSPOOL_SCHEDULING_JOBPROGRESS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::scheduling {

using runner::RunNumber;
using runner::WorkerLife;
using workload::TaskName;

enum class JobStatus : std::uint8_t {
  Queued,
  Active,
  Completed,
  Failed,
  Cancelled
};
inline constexpr int JobStatusCount = 5;

/// Whether no task of the job will be started again.
constexpr bool isFinal(JobStatus Status) {
  return Status >= JobStatus::Completed;
}

enum class TaskPhase : std::uint8_t { Waiting, Assigned, Done };

struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  /// The newest run, 0 before the first.
  RunNumber LastRun;
  std::uint32_t Failures = 0;
  std::string Checkpoint;
  /// VM and worker life of the newest run; valid while Assigned.
  VmId Vm;
  WorkerLife Life;
  /// Earliest next start, after a failure.
  TimePoint NotBefore{};
  /// When the newest run ended or this process learned of the task.
  TimePoint WaitingSince{};
  /// VMs on which the task failed or stalled, or that turned it away.
  std::set<VmId> AvoidedVms;
};

struct StepProgress {
  std::vector<TaskProgress> Tasks;
  std::uint32_t Done = 0;

  bool isComplete() const { return Done == Tasks.size(); }
};

struct OccurrenceProgress {
  std::vector<StepProgress> Steps;
};

/// An accepted job and the progress of its tasks.
struct JobProgress {
  workload::JobRecord Record;
  JobStatus Status = JobStatus::Queued;
  /// The occurrences that are due so far.
  std::vector<OccurrenceProgress> Occurrences;
  /// When the job was accepted and when it should be complete, on this
  /// process's clock.
  TimePoint Arrival{};
  TimePoint TargetCompletion{};
  /// Number of tasks with a run, and when it last became 0.
  std::uint32_t AssignedTasks = 0;
  TimePoint IdleSince{};
  bool Dirty = false;
  /// Number of waiting tasks whose earlier steps are complete.
  std::uint32_t ReadyTasks = 0;
  /// remainingCriticalPath() and remainingWork(), as of the last
  /// updateDerivedFields().
  Millis RemainingCriticalPath{0};
  std::int64_t RemainingWork = 0;

  const workload::StepDefinition &stepDefinition(const TaskName &Task) const {
    return Record.Definition.Steps[Task.Step];
  }
  /// Null if the job has no such task.
  TaskProgress *findTask(const TaskName &Task);
};

/// Adds an occurrence with all tasks waiting.
void addOccurrence(JobProgress &Job);

/// Recomputes the derived fields after tasks were done or added.
void updateDerivedFields(JobProgress &Job);

/// Whether all steps that must precede \p Step are complete.
bool isStepReady(const JobProgress &Job, const OccurrenceProgress &Occurrence,
                 std::size_t Step);

/// The tasks with a run, in order.
std::vector<TaskName> assignedTasks(const JobProgress &Job);

/// Whether every task of every repetition is done.
bool isComplete(const JobProgress &Job);

/// The estimated duration of the longest chain of incomplete steps.
Millis remainingCriticalPath(const JobProgress &Job);

/// The estimated work of the tasks that are not done, in
/// millicore-milliseconds; the largest value if it is more.
std::int64_t remainingWork(const JobProgress &Job);

/// Serializes the progress, which is stored beside the job's record.
std::string encodeProgress(const JobProgress &Job);

/// Restores what encodeProgress() wrote. Errors: throws ProtocolError and
/// leaves \p Job unchanged.
void decodeProgress(JobProgress &Job, std::string_view Bytes);

/// Decodes only the status, for callers' requests. Errors: throws
/// ProtocolError.
JobStatus decodeStatus(std::string_view Bytes);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
