#ifndef DAISYSPOOL_JOBS_EVENTS_H
#define DAISYSPOOL_JOBS_EVENTS_H

#include "daisyspool/commitments/Orders.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisyspool {

/// Thrown for an event that contradicts the state left by the events before it,
/// or that cannot be decoded.
class InvalidEvent : public Error {
  using Error::Error;
};

struct TaskSpec {
  Resources Need;
  std::string Command;

  MSGPACK_DEFINE_ARRAY(Need, Command)
};

/// A job that a caller submitted. Its tasks are named `<job>/<index>`.
struct JobSubmitted {
  JobId Job;
  CallerId Caller;
  TeamId Team;
  /// Number of attempts that may fail or be lost while running before a task
  /// ends as AttemptsExhausted.
  std::uint32_t MaxAttempts = 1;
  std::vector<TaskSpec> Tasks;
  std::string BodyDigest;

  MSGPACK_DEFINE_ARRAY(Job, Caller, Team, MaxAttempts, Tasks, BodyDigest)
};

/// Appended before the start order of an attempt is sent.
struct AttemptIntended {
  TaskId Task;
  AttemptNumber Attempt;
  VmId Vm;
  Incarnation Agent;
  CheckpointId ResumeFrom;

  MSGPACK_DEFINE_ARRAY(Task, Attempt, Vm, Agent, ResumeFrom)
};

struct AttemptRunning {
  TaskId Task;
  AttemptNumber Attempt;

  MSGPACK_DEFINE_ARRAY(Task, Attempt)
};

struct CheckpointTaken {
  TaskId Task;
  AttemptNumber Attempt;
  CheckpointId Checkpoint;
  std::uint64_t Number = 0;

  MSGPACK_DEFINE_ARRAY(Task, Attempt, Checkpoint, Number)
};

/// How an attempt ended. Refused: the agent did not start the attempt and never
/// will.
enum class EndReason { Finished, Failed, Evicted, Lost, Cancelled, Refused };

struct AttemptEnded {
  TaskId Task;
  AttemptNumber Attempt;
  EndReason Reason = EndReason::Lost;

  MSGPACK_DEFINE_ARRAY(Task, Attempt, Reason)
};

enum class TaskOutcome { Succeeded, AttemptsExhausted, Cancelled, Unrunnable };

/// Returns the name used in the record and in the state of a job.
const char *toString(TaskOutcome Outcome);

struct TaskEnded {
  TaskId Task;
  TaskOutcome Outcome = TaskOutcome::Succeeded;

  MSGPACK_DEFINE_ARRAY(Task, Outcome)
};

struct JobCancelled {
  JobId Job;
  CallerId By;

  MSGPACK_DEFINE_ARRAY(Job, By)
};

/// A non-idempotent request that may be dispatched once, under this grant.
struct RequestClaimed {
  RequestId Request;
  CallerId Caller;
  ServiceId Service;
  std::string BodyDigest;
  AgentGrant Grant;

  MSGPACK_DEFINE_ARRAY(Request, Caller, Service, BodyDigest, Grant)
};

enum class RequestOutcome { Answered, NotRun, Unknown };

struct RequestEnded {
  RequestId Request;
  RequestOutcome Outcome = RequestOutcome::Unknown;
  int Status = 0;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Request, Outcome, Status, Body)
};

/// One idempotent request that was served, for the record.
struct ServedRequest {
  RequestId Request;
  CallerId Caller;
  ServiceId Service;
  VmId Vm;
  std::int64_t StartedAtMillis = 0;
  std::int64_t MicrosTaken = 0;
  int Status = 0;

  MSGPACK_DEFINE_ARRAY(Request, Caller, Service, Vm, StartedAtMillis,
                       MicrosTaken, Status)
};

struct RequestsServed {
  std::vector<ServedRequest> Requests;

  MSGPACK_DEFINE_ARRAY(Requests)
};

/// Ended jobs and settled requests whose details the owner drops from memory.
/// Their ids cannot be used again, and the record keeps their details.
struct Retired {
  std::vector<JobId> Jobs;
  std::vector<RequestId> Requests;

  MSGPACK_DEFINE_ARRAY(Jobs, Requests)
};

/// An event in the log of a shard. The order of the alternatives is part of the
/// format: add new ones at the end.
using Event =
    std::variant<JobSubmitted, AttemptIntended, AttemptRunning, CheckpointTaken,
                 AttemptEnded, TaskEnded, JobCancelled, RequestClaimed,
                 RequestEnded, RequestsServed, Retired>;

/// Encodes a batch as the body of a journal entry.
std::string encodeEvents(const std::vector<Event> &Events);

/// Decodes the body of a journal entry. Throws InvalidEvent.
std::vector<Event> decodeEvents(const std::string &Body);

} // namespace daisyspool

template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::EndReason> =
    static_cast<int>(daisyspool::EndReason::Refused);
template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::TaskOutcome> =
    static_cast<int>(daisyspool::TaskOutcome::Unrunnable);
template <>
inline constexpr int
    daisyspool::wire::LastEnumerator<daisyspool::RequestOutcome> =
        static_cast<int>(daisyspool::RequestOutcome::Unknown);

#endif // DAISYSPOOL_JOBS_EVENTS_H
