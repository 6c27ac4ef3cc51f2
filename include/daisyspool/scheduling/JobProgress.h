#ifndef DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
#define DAISYSPOOL_SCHEDULING_JOBPROGRESS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/runner/Sync.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
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
  /// Where the newest run is; meaningful while Assigned.
  VmId Vm;
  WorkerLife Life;
  /// Earliest next start, after a failure.
  TimePoint NotBefore{};
  /// VMs on which the task failed or stood still.
  std::vector<VmId> Avoid;
};

struct StepProgress {
  std::vector<TaskProgress> Tasks;
  std::uint32_t Done = 0;

  bool complete() const { return Done == Tasks.size(); }
};

struct OccurrenceProgress {
  std::vector<StepProgress> Steps;
};

/// One accepted job and how far it is.
struct JobProgress {
  workload::JobRecord Record;
  JobStatus Status = JobStatus::Queued;
  /// Those that are due so far.
  std::vector<OccurrenceProgress> Occurrences;
  /// When the job was accepted and when it should be complete, on this
  /// process's clock.
  TimePoint Arrival{};
  TimePoint Objective{};
  /// Tasks with a run, and since when there is none.
  std::uint32_t AssignedTasks = 0;
  TimePoint IdleSince{};
  bool Dirty = false;
  /// Tasks without a run whose turn has come.
  std::uint32_t ReadyTasks = 0;
  /// remainingChain() and remainingWork(), as of the last recount().
  Millis ChainLeft{0};
  std::int64_t WorkLeft = 0;

  const workload::StepDefinition &definition(const TaskName &Task) const {
    return Record.Definition.Steps[Task.Step];
  }
  /// Null if the job has no such task.
  TaskProgress *find(const TaskName &Task);
};

/// Adds an occurrence with all tasks waiting.
void addOccurrence(JobProgress &Job);

/// Brings the derived figures up to date after tasks were done or added.
void recount(JobProgress &Job);

/// Whether all tasks of the steps before \p Step are done.
bool isReady(const JobProgress &Job, const OccurrenceProgress &Occurrence,
             std::size_t Step);

/// The tasks with a run, in order.
std::vector<TaskName> assignedTasks(const JobProgress &Job);

/// Whether every task of every repetition is done.
bool isComplete(const JobProgress &Job);

/// The estimated time of the longest chain of steps that are not complete.
Millis remainingChain(const JobProgress &Job);

/// The estimated work of the tasks that are not done, in thousandths of
/// core-milliseconds.
std::int64_t remainingWork(const JobProgress &Job);

/// Serializes what the store keeps beside the job's record.
std::string encodeProgress(const JobProgress &Job);

/// Applies what encodeProgress() wrote. Errors: throws ProtocolError.
void decodeProgress(JobProgress &Job, std::string_view Bytes);

/// The status alone, for answering callers. Errors: throws ProtocolError.
JobStatus decodeStatus(std::string_view Bytes);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_JOBPROGRESS_H
