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

/// A task through all its attempts, unlike placement::TaskIndex, which stands
/// for one running attempt and is used again.
using TaskHandle = placement::Handle<struct TaskHandleTag, std::uint32_t>;

/// Tasks submitted together.
using JobIndex = placement::Handle<struct JobIndexTag, std::uint32_t>;

enum class Outcome : std::uint8_t { Succeeded, Failed, Lost, Cancelled };

/// The end of one attempt. Evictions are not evidence and are not recorded.
struct AttemptEnd {
  TaskHandle Task;
  JobIndex Job;
  VmIndex Worker;
  Outcome How = Outcome::Succeeded;
};

/// The task failed on distinct workers where other tasks succeed.
struct Unrunnable {
  std::uint32_t Workers = 0;
};

/// The tasks of the job that ended so far were all unrunnable.
struct JobUnrunnable {
  std::uint32_t TasksEnded = 0;
};

/// The task used up its attempts without enough evidence against it.
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

/// A worker that takes no tasks until \p Until, and the inputs of it.
struct Quarantine {
  VmIndex Worker;
  std::uint32_t DistinctTasks = 0;
  std::uint32_t DistinctJobs = 0;
  TimePoint Until;
};

struct Finding {
  std::optional<TaskEnd> End;
  std::vector<Quarantine> Quarantined;
  /// Workers on which the task failed and should not run again.
  std::vector<VmIndex> Avoid;
};

/// Tells bad tasks from bad workers by the table of failures by task and
/// worker. Use it for every ended attempt of a batch task.
///
/// A task is ended after it failed on several workers where others succeed. A
/// worker is quarantined when most of its latest attempts failed and several of
/// the tasks, or their siblings, succeed elsewhere. Cancelled attempts prove
/// nothing about either.
///
/// Thread safety: one thread at a time.
class EvidenceTable {
public:
  struct Options {
    std::uint32_t DistinctWorkers = 3;
    std::uint32_t DistinctTasks = 3;
    std::uint32_t DistinctJobs = 2;
    /// Part of a worker's latest attempts that must have failed.
    double FailingShare = 0.75;
    std::uint32_t MaxFailures = 6;
    std::uint32_t MaxLost = 5;
    std::uint32_t UnrunnableTasksToEndJob = 3;
    /// Largest part of the workers that is in quarantine.
    double QuarantineCap = 0.2;
    Millis FirstQuarantine{300000};
    Millis LongestQuarantine{3600000};
  };

  explicit EvidenceTable(Options Config) : Config(Config) {}
  EvidenceTable() : EvidenceTable(Options{}) {}

  /// The number of workers that the cap refers to.
  void setWorkerCount(std::uint32_t Count) { Workers = Count; }

  /// Records the end of an attempt and says what follows from it.
  Finding record(const AttemptEnd &Ended, TimePoint Now);

  /// Notes that a task that failed before runs on \p Worker for longer than
  /// its failures took, which shows much earlier than its success that the
  /// other workers were at fault. May be repeated.
  Finding outlived(TaskHandle Task, VmIndex Worker, TimePoint Now);

  /// Failures of the job's tasks from now on are the effect of cancelling.
  void cancelJob(JobIndex Job);

  /// Drops what is known about a job whose tasks have all ended.
  void forgetJob(JobIndex Job);

  /// Ends quarantines that are over and returns their workers. A worker that
  /// fails again returns to quarantine for twice as long.
  std::vector<VmIndex> release(TimePoint Now);

  bool quarantined(VmIndex Worker) const;
  std::size_t quarantinedCount() const { return InQuarantine; }
  std::size_t bytes() const;

private:
  static constexpr std::size_t Remembered = 8;
  /// A failure of a task that, or whose sibling, does well on another worker.
  struct FailureNote {
    TaskHandle Task;
    JobIndex Job;
  };
  struct WorkerNotes {
    std::array<FailureNote, Remembered> Failures{};
    /// The latest attempts, newest in the lowest bit; a failure is set.
    std::uint8_t Recent = 0;
    std::uint8_t RecentCount = 0;
    std::uint8_t Next = 0;
    std::uint8_t Offences = 0;
    bool Quarantined = false;
    bool EverSucceeded = false;
    TimePoint Until;
  };
  struct TaskNotes {
    JobIndex Job;
    std::vector<VmIndex> FailedOn;
    std::uint32_t Failures = 0;
    std::uint32_t Lost = 0;
  };
  struct JobNotes {
    /// Not valid before the first success.
    VmIndex SucceededOn;
    bool SucceededOnSeveral = false;
    std::uint32_t Unrunnable = 0;
    bool Cancelled = false;

    bool succeededBeside(VmIndex Worker) const {
      return SucceededOnSeveral ||
             (SucceededOn.valid() && SucceededOn != Worker);
    }
  };

  WorkerNotes &worker(VmIndex Of);
  static void noteAttempt(WorkerNotes &At, bool Failed);
  void onSuccess(const AttemptEnd &Ended, TimePoint Now, Finding &Found);
  void onFailure(const AttemptEnd &Ended, TimePoint Now, Finding &Found);
  std::optional<TaskEnd> endOf(const TaskNotes &Of, JobNotes &Job);
  void blame(const TaskNotes &Of, TaskHandle Task, VmIndex DoesWellOn,
             TimePoint Now, Finding &Found);
  void addNote(VmIndex Of, TaskHandle Task, JobIndex Job);
  void judgeWorker(VmIndex Of, TimePoint Now, Finding &Found);

  Options Config;
  std::uint32_t Workers = 0;
  std::size_t InQuarantine = 0;
  std::vector<WorkerNotes> Notes;
  std::unordered_map<TaskHandle, TaskNotes> Tasks;
  std::unordered_map<JobIndex, JobNotes> Jobs;
};

} // namespace daisyspool::evidence

#endif // DAISYSPOOL_EVIDENCE_EVIDENCETABLE_H
