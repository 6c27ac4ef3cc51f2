#ifndef DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
#define DAISYSPOOL_SCHEDULING_JOBPROGRESS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <map>
#include <optional>
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
  /// When the newest started run ended or this process learned of the task.
  TimePoint WaitingSince{};
  /// VMs on which the task failed or stalled, or that turned it away.
  std::set<VmId> AvoidedVms;
};

struct StepProgress {
  std::vector<TaskProgress> Tasks;
  std::uint32_t Done = 0;
  /// All tasks before this one are done.
  std::uint32_t FirstOpen = 0;

  bool isComplete() const { return Done == Tasks.size(); }
};

struct OccurrenceProgress {
  std::vector<StepProgress> Steps;
  /// The estimated duration of the longest chain of incomplete steps.
  Millis RemainingCriticalPath{0};
};

/// Sums over the due occurrences of a job, which may be thousands. Updated with
/// each task that is done and each occurrence that is added.
struct ProgressTotals {
  std::uint64_t DoneTasks = 0;
  /// By step, the number of tasks that are not done.
  std::vector<std::uint64_t> UnfinishedTasks;
  /// The number of occurrences by their remaining critical path.
  std::map<Millis, std::uint32_t> OccurrencesByPath;
};

/// What this process knows about whether any task of a job has started.
enum class StartEvidence : std::uint8_t {
  None,
  /// An earlier leader assigned a run, which no reply has confirmed yet.
  Presumed,
  /// A worker has listed a run or the end of one.
  Seen
};

/// An accepted job and the progress of its tasks.
struct JobProgress {
  workload::JobRecord Record;
  JobStatus Status = JobStatus::Queued;
  StartEvidence Started = StartEvidence::None;
  /// The occurrences that are due so far.
  std::vector<OccurrenceProgress> Occurrences;
  /// All occurrences before this one are complete.
  std::uint32_t FirstOpenOccurrence = 0;
  /// The occurrence with which the next scheduling pass begins, if it is open:
  /// the last pass ended before it.
  std::uint32_t NextOccurrence = 0;
  /// When the job was accepted and when it should be complete, on this
  /// process's clock.
  TimePoint Arrival{};
  TimePoint TargetCompletion{};
  /// When it was accepted: how long it could wait and still be in time, and the
  /// work of all its tasks.
  Millis InitialSlack{0};
  std::int64_t InitialWork = 0;
  /// The job preempts no other.
  bool Yields = false;
  /// Number of tasks with a run, and when a started run last ended.
  std::uint32_t AssignedTasks = 0;
  TimePoint IdleSince{};
  /// Number of tasks in each of the rows that store the tasks, or 0 if one row
  /// stores the whole progress.
  std::uint32_t TasksPerRow = 0;
  bool Dirty = false;
  /// By the number of their first task, the parts of a job in several rows that
  /// have changed since they were last taken for a transaction.
  std::set<std::uint32_t> DirtyParts;
  /// The first part to take next, so that each has its turn if a transaction
  /// takes only some.
  std::uint32_t NextPart = 0;
  /// The status of the newest row that was taken, of a job in several rows.
  std::optional<JobStatus> TakenStatus;
  /// The store rejected the progress; only the status is stored from then on.
  bool StatusOnly = false;
  /// The store rejected even the status.
  bool Unstorable = false;
  /// Number of waiting tasks whose earlier steps are complete.
  std::uint32_t ReadyTasks = 0;
  ProgressTotals Totals;
  /// The estimated duration of the longest chain of incomplete steps.
  Millis RemainingCriticalPath{0};
  /// The estimated work of the tasks that are not done, in
  /// millicore-milliseconds; the largest value if it is more.
  std::int64_t RemainingWork = 0;

  const workload::StepDefinition &stepDefinition(const TaskName &Task) const {
    return Record.Definition.Steps[Task.Step];
  }
  /// Null if the job has no such task.
  TaskProgress *findTask(const TaskName &Task);
};

/// Adds an occurrence with all tasks waiting. The cost does not depend on the
/// number of occurrences.
void addOccurrence(JobProgress &Job);

/// Marks a task as done. The cost depends on the task's occurrence only.
/// Precondition: the job has the task, and it is not done.
void completeTask(JobProgress &Job, const TaskName &Task);

/// Recomputes the totals and the fields that derive from them, after the tasks
/// were changed otherwise.
void updateDerivedFields(JobProgress &Job);

/// Whether all steps that must precede \p Step are complete.
bool isStepReady(const JobProgress &Job, const OccurrenceProgress &Occurrence,
                 std::size_t Step);

/// The tasks with a run, in order.
std::vector<TaskName> assignedTasks(const JobProgress &Job);

/// Whether every task of every repetition is done.
bool isComplete(const JobProgress &Job);

/// Whether every step of the occurrence is complete.
bool isComplete(const OccurrenceProgress &Occurrence);

/// How many tasks of a job fit in one row of at most \p RowBytes, whatever runs
/// they have; checkpoints not included. Precondition: \p RowBytes is at least
/// 1,000.
std::uint32_t tasksPerRow(std::size_t RowBytes);

/// Number of tasks in one occurrence.
std::uint32_t tasksPerOccurrence(const JobProgress &Job);

/// Number of tasks in all occurrences, due or not.
std::uint64_t taskCount(const JobProgress &Job);

/// Number of tasks in the occurrences that are due.
std::uint32_t dueTaskCount(const JobProgress &Job);

/// The position of a task among all tasks of its job, by occurrence and step.
std::uint32_t taskNumber(const JobProgress &Job, const TaskName &Task);

/// Serializes the progress, which is stored beside the job's record; without
/// the tasks of a job in several rows. Checkpoints are left out if the row
/// would exceed \p RowBytes with them: a successor then starts these tasks
/// anew.
std::string encodeProgress(const JobProgress &Job, std::size_t RowBytes);

/// Serializes up to TasksPerRow tasks from number \p FirstTask on, of the
/// occurrences that are due; checkpoints as in encodeProgress(). Precondition:
/// the job is in several rows.
std::string encodePart(const JobProgress &Job, std::uint32_t FirstTask,
                       std::size_t RowBytes);

/// Restores what encodeProgress() wrote. Returns whether that includes the
/// tasks. Errors: throws ProtocolError and leaves \p Job unchanged.
bool decodeProgress(JobProgress &Job, std::string_view Bytes);

/// Restores what encodePart() wrote. The derived fields have to be updated
/// after the last part. Errors: throws ProtocolError and leaves \p Job
/// unchanged.
void decodePart(JobProgress &Job, std::uint32_t FirstTask,
                std::string_view Bytes);

/// Decodes only the status, for callers' requests. Errors: throws
/// ProtocolError.
JobStatus decodeStatus(std::string_view Bytes);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
