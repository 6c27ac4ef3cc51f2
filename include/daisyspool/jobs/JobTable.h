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

/// A task and its one chain of attempts.
struct TaskState {
  JobId Job;
  TaskSpec Spec;
  TaskPhase Phase = TaskPhase::Waiting;
  /// The newest attempt; zero before the first.
  AttemptNumber Attempt;
  VmId Vm;
  Incarnation Agent;
  /// Where the next attempt resumes.
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

/// The decision is to append these events.
struct Proceed {
  std::vector<Event> Events;
};
/// The same thing was asked for before and is on record.
struct AlreadyDone {};
/// The id belongs to another body or another caller.
struct Conflict {};
/// There is nothing with that id.
struct NotFound {};

using Decision = std::variant<Proceed, AlreadyDone, Conflict, NotFound>;

/// The state of a shard's jobs, tasks and claimed requests.
///
/// State changes only by apply(). Decisions are const: they return the events
/// that the owner appends and applies. See ShardOwner for the order of the two.
///
/// Thread safety: one thread.
class JobTable {
public:
  /// Number of evictions after which a task is left alone.
  static constexpr std::uint32_t MaxEvictions = 3;

  /// Throws InvalidEvent if the event does not follow from the state.
  void apply(const Event &Change);

  /// Accepts a job; a repeat by the same caller with the same body is
  /// AlreadyDone.
  Decision submit(const JobSubmitted &Job) const;

  /// Ends waiting tasks and marks the job, so that live attempts end as
  /// Cancelled once they are known to have stopped.
  Decision cancel(const JobId &Job, const CallerId &By) const;

  /// Starts the next attempt of a waiting task, from its checkpoint.
  /// Precondition: the task is waiting.
  std::vector<Event> intend(const TaskId &Task, const VmId &Vm,
                            Incarnation Agent) const;

  /// Ends the newest attempt and, if no further one is due, the task. Returns
  /// nothing if the attempt is not the live one.
  std::vector<Event> endAttempt(const TaskId &Task, AttemptNumber Attempt,
                                EndReason Reason) const;

  /// Ends a waiting task that cannot run anywhere. Precondition: it is waiting.
  std::vector<Event> endUnrunnable(const TaskId &Task) const;

  /// Whether \p Attempt is the task's newest one and has not ended.
  bool isCurrent(const TaskId &Task, AttemptNumber Attempt) const;

  /// Whether the task may be evicted now.
  bool mayEvict(const TaskId &Task) const;

  /// Claims a request for its one dispatch.
  Decision claim(const RequestClaimed &Claim) const;

  /// Settles a claimed request; empty if it is settled or unknown.
  std::vector<Event> settle(const RequestEnded &End) const;

  /// Whether all tasks of a known job have ended.
  bool hasEnded(const JobId &Job) const;

  /// What may be retired: ended jobs and settled requests.
  Retired retirable() const;

  const TaskState *task(const TaskId &Task) const;
  const JobState *job(const JobId &Job) const;
  const RequestState *request(const RequestId &Request) const;

  /// Task ids by phase, in order.
  const std::set<TaskId> &waiting() const { return Waiting; }
  const std::set<TaskId> &live() const { return Live; }
  const std::set<RequestId> &unsettled() const { return Unsettled; }

  /// The whole state, for a snapshot.
  std::string snapshot() const;
  /// Replaces the state. Throws InvalidEvent.
  void restore(const std::string &Snapshot);

private:
  void on(const JobSubmitted &Change);
  void on(const AttemptIntended &Change);
  void on(const AttemptRunning &Change);
  void on(const CheckpointTaken &Change);
  void on(const AttemptEnded &Change);
  void on(const TaskEnded &Change);
  void on(const JobCancelled &Change);
  void on(const RequestClaimed &Change);
  void on(const RequestEnded &Change);
  void on(const RequestsServed &Change);
  void on(const Retired &Change);
  TaskState &liveTask(const TaskId &Task, AttemptNumber Attempt);
  std::optional<TaskOutcome> outcomeAfter(const TaskState &State,
                                          EndReason Reason) const;
  void index(const TaskId &Task, const TaskState &State);

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
