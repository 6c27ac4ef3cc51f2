#ifndef DAISYSPOOL_WORKLOAD_JOBDEFINITION_H
#define DAISYSPOOL_WORKLOAD_JOBDEFINITION_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::workload {

using QueueId = StrongId<struct QueueTag>;
using ImageId = StrongId<struct ImageTag>;
using LabelId = StrongId<struct LabelTag>;
/// Number of a run of a task, from 1.
using RunNumber = StrongNumber<struct RunNumberTag>;

/// A group of identical tasks of a job.
struct StepDefinition {
  std::uint32_t Count = 1;
  Resources Needs;
  /// The caller's rough estimate of one task's duration.
  Millis Estimate{0};
  /// Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> After;
  LabelId RequiredLabel;
  /// The rack with the data; tasks take longer on other racks.
  RackId PreferredRack;
  /// Maximum number of tasks of one occurrence on one worker; 0 is no limit.
  std::uint32_t MaxPerVm = 0;
  bool Checkpoints = false;
  bool Gang = false;
  bool SameRack = false;
  bool Speculative = false;
  /// Runs until the job is cancelled.
  bool LongRunning = false;
  /// Best-effort: uses processor time that other tasks leave idle, without
  /// reserving any.
  bool FillsIdleCpu = false;
  ImageId Image;
  /// Upper bound for the tail latency of a serving task; 0 for other tasks.
  Millis TailTarget{0};
  /// How many tasks may be unavailable at once because of the scheduler's own
  /// actions.
  std::optional<std::uint32_t> MaxUnavailable;
};

/// Occurrence K is due at First + K * Interval; Times 0 is one immediate run.
struct Repetition {
  std::uint32_t Times = 0;
  WallMillis First{0};
  Millis Interval{0};
};

struct JobDefinition {
  /// Passed to each task unchanged.
  std::string Spec;
  std::vector<StepDefinition> Steps;
  Repetition Repeats;
};

/// The configured policy for the jobs of one queue.
struct QueuePolicy {
  QueueId Name;
  ServiceId Service;
  /// 0 is the highest priority and may preempt others.
  int Priority = 0;
  std::uint32_t MaxAttempts = 1;
  double SlackFactor = 1;
  Millis LatencyTarget{0};
};

/// An accepted job as it is stored, with the policy when it was accepted.
struct JobRecord {
  JobId Id;
  QueuePolicy Policy;
  JobDefinition Definition;
  WallMillis Accepted{0};
};

/// Checks what concerns several fields: steps refer only to earlier ones, and
/// the numbers of steps and tasks and the sum of the estimates are within the
/// limits of Limits.h. Precondition: each duration is within its limit.
///
/// Thread safety: safe from any thread. Errors: throws ProtocolError.
void validate(const JobDefinition &Job);

/// Serializes a job for the store.
///
/// Thread safety: safe from any thread.
std::string encodeJob(const JobRecord &Job);

/// The reverse of encodeJob(); the job is valid.
///
/// Thread safety: safe from any thread. Errors: throws ProtocolError.
JobRecord decodeJob(std::string_view Bytes);

/// One task of one occurrence of a job.
struct TaskName {
  JobId Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX"
std::string toString(const TaskName &Name);
/// The reverse of toString(); nothing if \p Text has another form.
std::optional<TaskName> parseTaskName(std::string_view Text);

} // namespace daisyspool::workload

#endif // DAISYSPOOL_WORKLOAD_JOBDEFINITION_H
