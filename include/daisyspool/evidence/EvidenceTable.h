#ifndef DAISYSPOOL_EVIDENCE_EVIDENCETABLE_H
#define DAISYSPOOL_EVIDENCE_EVIDENCETABLE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/placement/Handles.h"
#include "daisyspool/placement/Rules.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace daisyspool::evidence {

using placement::VmIndex;

/// A task across all its attempts, unlike placement::TaskIndex, which
/// identifies one running attempt and is reused.
using TaskHandle = placement::Handle<struct TaskHandleTag, std::uint32_t>;

/// Tasks submitted together.
using JobIndex = placement::Handle<struct JobIndexTag, std::uint32_t>;

enum class Outcome : std::uint8_t { Succeeded, Failed, Lost, Cancelled };

/// The end of one attempt. Evictions say nothing about the task or the worker
/// and are not recorded.
struct AttemptEnd {
  TaskHandle Task;
  JobIndex Job;
  VmIndex Worker;
  Outcome Result = Outcome::Succeeded;
};

/// The task failed on several workers where other tasks succeed.
struct Unrunnable {
  std::uint32_t Workers = 0;
};

/// The tasks of the job that ended so far were all unrunnable.
struct JobUnrunnable {
  std::uint32_t TasksEnded = 0;
};

/// The task reached its limit of attempts, but its failures do not show that it
/// is unrunnable.
struct AttemptsExhausted {
  std::uint32_t Failed = 0;
  std::uint32_t Lost = 0;
};

/// The task's job was cancelled.
struct CancelledByCaller {};

/// Why a task is not attempted again.
using TaskEnd = std::variant<Unrunnable, JobUnrunnable, AttemptsExhausted,
                             CancelledByCaller, placement::NeverFits,
                             placement::RulesUnsatisfiable>;

/// A worker that gets no tasks until \p Until, and the failures that led to it.
struct Quarantine {
  VmIndex Worker;
  std::uint32_t DistinctTasks = 0;
  std::uint32_t DistinctJobs = 0;
  TimePoint Until;
};

/// What follows from the end of an attempt.
struct Finding {
  std::optional<TaskEnd> End;
  std::vector<Quarantine> Quarantined;
  /// Workers on which the task failed and should not run again.
  std::vector<VmIndex> Avoid;
};

/// Distinguishes failing tasks from failing workers by recording failures per
/// task and worker. Use it for every ended attempt of a batch task.
///
/// A task is ended after it failed on several workers where others succeed. A
/// worker is quarantined when most of its latest attempts failed and several of
/// the tasks, or other tasks of their jobs, succeed elsewhere. Cancelled
/// attempts count for neither.
///
/// Thread safety: one thread at a time.
class EvidenceTable {
public:
  struct Options {
    std::uint32_t DistinctWorkers = 3;
    std::uint32_t DistinctTasks = 3;
    std::uint32_t DistinctJobs = 2;
    /// Fraction of a worker's latest attempts that must have failed.
    double FailingShare = 0.75;
    std::uint32_t MaxFailures = 6;
    std::uint32_t MaxLost = 5;
    std::uint32_t UnrunnableTasksToEndJob = 3;
    /// Largest fraction of the workers that may be in quarantine.
    double QuarantineCap = 0.2;
    Millis FirstQuarantine{300000};
    Millis LongestQuarantine{3600000};
  };

  explicit EvidenceTable(Options Config) : Config(Config) {}
  EvidenceTable() : EvidenceTable(Options{}) {}

  /// Sets the number of workers that QuarantineCap refers to.
  void setWorkerCount(std::uint32_t Count) { Workers = Count; }

  /// Records the end of an attempt and returns what follows from it.
  Finding record(const AttemptEnd &Ended, TimePoint Now);

  /// Records that a task that failed before runs on \p Worker for longer than
  /// its failures took. This shows much earlier than its success that the other
  /// workers caused the failures. May be called repeatedly.
  Finding outlived(TaskHandle Task, VmIndex Worker, TimePoint Now);

  /// Marks a job as cancelled. Later failures of its tasks count as
  /// cancellations.
  void cancelJob(JobIndex Job);

  /// Removes the records of a job whose tasks have all ended.
  void forgetJob(JobIndex Job);

  /// Ends expired quarantines and returns their workers. A worker that
  /// fails again returns to quarantine for twice as long.
  std::vector<VmIndex> release(TimePoint Now);

  bool quarantined(VmIndex Worker) const;
  std::size_t quarantinedCount() const { return InQuarantine; }
  std::size_t bytes() const;

private:
  static constexpr std::size_t MaxFailureRecords = 8;
  /// A failure of a task that succeeds on another worker, or another task of
  /// its job does.
  struct FailureRecord {
    TaskHandle Task;
    JobIndex Job;
  };
  struct WorkerRecord {
    std::array<FailureRecord, MaxFailureRecords> Failures{};
    /// Bit set of the latest attempts, newest in the lowest bit; 1 is a
    /// failure.
    std::uint8_t Recent = 0;
    std::uint8_t RecentCount = 0;
    std::uint8_t NextFailure = 0;
    std::uint8_t QuarantineCount = 0;
    bool Quarantined = false;
    bool EverSucceeded = false;
    TimePoint Until;
  };
  struct TaskRecord {
    JobIndex Job;
    std::vector<VmIndex> FailedOn;
    std::uint32_t Failures = 0;
    std::uint32_t Lost = 0;
  };
  struct JobRecord {
    /// Not valid before the first success.
    VmIndex SucceededOn;
    bool SucceededOnSeveralWorkers = false;
    std::uint32_t Unrunnable = 0;
    bool Cancelled = false;

    bool succeededElsewhere(VmIndex Worker) const {
      return SucceededOnSeveralWorkers ||
             (SucceededOn.valid() && SucceededOn != Worker);
    }
  };

  WorkerRecord &workerRecord(VmIndex Worker);
  static void recordAttempt(WorkerRecord &Record, bool Failed);
  void onSuccess(const AttemptEnd &Ended, TimePoint Now, Finding &Conclusion);
  void onFailure(const AttemptEnd &Ended, TimePoint Now, Finding &Conclusion);
  std::optional<TaskEnd> decideTaskEnd(const TaskRecord &Task, JobRecord &Job);
  void recordFailuresOf(const TaskRecord &Failed, TaskHandle Task,
                        VmIndex WorkingOn, TimePoint Now, Finding &Conclusion);
  void recordFailure(VmIndex Worker, TaskHandle Task, JobIndex Job);
  void quarantineIfFailing(VmIndex Worker, TimePoint Now, Finding &Conclusion);

  Options Config;
  std::uint32_t Workers = 0;
  std::size_t InQuarantine = 0;
  std::vector<WorkerRecord> WorkerRecords;
  std::unordered_map<TaskHandle, TaskRecord> Tasks;
  std::unordered_map<JobIndex, JobRecord> Jobs;
};

} // namespace daisyspool::evidence

#endif // DAISYSPOOL_EVIDENCE_EVIDENCETABLE_H
