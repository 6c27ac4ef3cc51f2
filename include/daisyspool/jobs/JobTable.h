#ifndef DAISYSPOOL_JOBS_JOBTABLE_H
#define DAISYSPOOL_JOBS_JOBTABLE_H

#include "daisyspool/jobs/Events.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

enum class TaskPhase { Waiting, Intended, Running, Ended };

/// The state of a task. At most one of its attempts is live.
struct TaskState {
  JobId Job;
  TaskSpec Spec;
  TaskPhase Phase = TaskPhase::Waiting;
  /// The newest attempt; zero before the first.
  AttemptNumber Attempt;
  VmId Vm;
  Incarnation Agent;
  /// The checkpoint from which the next attempt resumes.
  CheckpointId Checkpoint;
  /// Number of the newest checkpoint of the newest attempt; zero if none.
  std::uint64_t CheckpointNumber = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Evictions = 0;
  TaskOutcome Outcome = TaskOutcome::Succeeded;

  bool isLive() const {
    return Phase == TaskPhase::Intended || Phase == TaskPhase::Running;
  }

  MSGPACK_DEFINE_ARRAY(Job, Spec, Phase, Attempt, Vm, Agent, Checkpoint,
                       CheckpointNumber, Failures, Evictions, Outcome)
};

/// A retired job keeps its caller and digest, but no tasks.
struct JobState {
  JobSubmitted Spec;
  bool Cancelled = false;
  bool Retired = false;

  MSGPACK_DEFINE_ARRAY(Spec, Cancelled, Retired)
};

/// A claimed request. A retired one is still settled, with an unknown outcome.
struct RequestState {
  RequestClaimed Claim;
  bool Settled = false;
  RequestEnded End;
  bool Retired = false;

  MSGPACK_DEFINE_ARRAY(Claim, Settled, End, Retired)
};

/// The call takes effect by appending these events.
struct Proceed {
  std::vector<Event> Events;
};
/// The same call was made before and has taken effect.
struct AlreadyDone {};
/// The id is in use for another body or by another caller.
struct Conflict {};
/// No job has the id.
struct NotFound {};

using Decision = std::variant<Proceed, AlreadyDone, Conflict, NotFound>;

/// The state of a shard's jobs, tasks and claimed requests.
///
/// Only apply() and restore() change the state. Decisions are const: they
/// return the events that the owner applies and appends. See ShardOwner for the
/// order of the two.
///
/// Thread safety: one thread.
class JobTable {
public:
  /// Number of evictions after which a task is not evicted again.
  static constexpr std::uint32_t MaxEvictions = 3;

  /// Applies an event to the state. Throws InvalidEvent if the event
  /// contradicts the state.
  void apply(const Event &Change);

  /// Accepts a job; a repeat by the same caller with the same body is
  /// AlreadyDone.
  Decision submit(const JobSubmitted &Job) const;

  /// Marks the job as cancelled and ends its waiting tasks. Live attempts end
  /// as Cancelled once they are known to have stopped.
  Decision cancel(const JobId &Job, const CallerId &By) const;

  /// Starts the next attempt of a waiting task, from its checkpoint.
  /// Precondition: the task is waiting.
  std::vector<Event> startAttempt(const TaskId &Task, const VmId &Vm,
                                  Incarnation Agent) const;

  /// Ends an attempt and, if the task gets no further attempt, the task.
  /// Returns no events if the attempt is not live.
  std::vector<Event> endAttempt(const TaskId &Task, AttemptNumber Attempt,
                                EndReason Reason) const;

  /// Ends a waiting task that cannot run anywhere. Precondition: it is waiting.
  std::vector<Event> endUnrunnable(const TaskId &Task) const;

  /// Whether \p Attempt is the task's newest one and has not ended.
  bool isCurrent(const TaskId &Task, AttemptNumber Attempt) const;

  /// Whether the task may be evicted now.
  bool mayEvict(const TaskId &Task) const;

  /// Claims a request for its only dispatch. A repeat by the same caller for
  /// the same service with the same body is AlreadyDone.
  Decision claim(const RequestClaimed &Claim) const;

  /// Settles a claimed request. Returns no events if it is settled or unknown.
  std::vector<Event> settle(const RequestEnded &End) const;

  /// Whether all tasks of a known job have ended.
  bool hasEnded(const JobId &Job) const;

  /// Returns the ended jobs and settled requests that are not yet retired.
  Retired retirable() const;

  const TaskState *task(const TaskId &Task) const;
  const JobState *job(const JobId &Job) const;
  const RequestState *request(const RequestId &Request) const;

  /// Task ids by phase, in order.
  const std::set<TaskId> &waiting() const { return Waiting; }
  const std::set<TaskId> &live() const { return Live; }
  const std::set<RequestId> &unsettled() const { return Unsettled; }

  /// Encodes the whole state.
  std::string snapshot() const;
  /// Replaces the state by an encoded one. Throws InvalidEvent if it cannot be
  /// decoded.
  void restore(const std::string &Snapshot);

private:
  void applyEvent(const JobSubmitted &Change);
  void applyEvent(const AttemptIntended &Change);
  void applyEvent(const AttemptRunning &Change);
  void applyEvent(const CheckpointTaken &Change);
  void applyEvent(const AttemptEnded &Change);
  void applyEvent(const TaskEnded &Change);
  void applyEvent(const JobCancelled &Change);
  void applyEvent(const RequestClaimed &Change);
  void applyEvent(const RequestEnded &Change);
  void applyEvent(const RequestsServed &Change);
  void applyEvent(const Retired &Change);
  TaskState &liveTask(const TaskId &Task, AttemptNumber Attempt);
  std::optional<TaskOutcome> outcomeAfter(const TaskState &State,
                                          EndReason Reason) const;
  void updateIndexes(const TaskId &Task, const TaskState &State);

  std::map<JobId, JobState> Jobs;
  std::map<TaskId, TaskState> Tasks;
  std::map<RequestId, RequestState> Requests;
  std::set<TaskId> Waiting;
  std::set<TaskId> Live;
  std::set<RequestId> Unsettled;
};

/// Name of the task at \p Index of a job.
TaskId taskOf(const JobId &Job, std::size_t Index);

} // namespace daisyspool

template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::TaskPhase> =
    static_cast<int>(daisyspool::TaskPhase::Ended);

#endif // DAISYSPOOL_JOBS_JOBTABLE_H
