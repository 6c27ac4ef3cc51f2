#ifndef DAISYSPOOL_COMMITMENTS_ORDERS_H
#define DAISYSPOOL_COMMITMENTS_ORDERS_H

#include "daisyspool/wire/Adaptors.h"

#include <string>
#include <vector>

namespace daisyspool {

/// An agent's permission to start an attempt or request. Stamp is the time on
/// the agent's clock at which it sent the newest renewal that the owner
/// received; only the agent interprets it. A lease counts from the stamp, so
/// that an order that is delayed, repeated or sent by a paused owner expires.
struct AgentGrant {
  VmId Vm;
  Incarnation Agent;
  Duration Stamp{};

  MSGPACK_DEFINE_ARRAY(Vm, Agent, Stamp)
};

/// Owner to agent: run an attempt. Repeated orders carry the grant of the
/// first.
struct StartOrder {
  ShardId Shard;
  Epoch OwnerEpoch;
  TaskId Task;
  AttemptNumber Attempt;
  AgentGrant Grant;
  Resources Need;
  std::string Command;
  CheckpointId ResumeFrom;

  MSGPACK_DEFINE_ARRAY(Shard, OwnerEpoch, Task, Attempt, Grant, Need, Command,
                       ResumeFrom)
};

/// Why an agent refuses to start an attempt, now and for good.
enum class Refusal {
  NoRoom,
  StaleEpoch,
  StaleGrant,
  OtherIncarnation,
  AttemptOver
};

/// Agent to owner. A refused attempt does not run on this VM and never will.
struct StartReply {
  ShardId Shard;
  TaskId Task;
  AttemptNumber Attempt;
  VmId Vm;
  bool Accepted = false;
  Refusal Reason = Refusal::NoRoom;

  MSGPACK_DEFINE_ARRAY(Shard, Task, Attempt, Vm, Accepted, Reason)
};

/// Owner to agent: stop an attempt, or never start it.
struct StopOrder {
  ShardId Shard;
  Epoch OwnerEpoch;
  TaskId Task;
  AttemptNumber Attempt;
  VmId Vm;

  MSGPACK_DEFINE_ARRAY(Shard, OwnerEpoch, Task, Attempt, Vm)
};

/// Agent to owner: the attempt does not run on this VM and never will.
struct StopReply {
  ShardId Shard;
  TaskId Task;
  AttemptNumber Attempt;
  VmId Vm;

  MSGPACK_DEFINE_ARRAY(Shard, Task, Attempt, Vm)
};

/// State of an attempt on its VM. Finished and Failed attempts are reported
/// until the owner decides Stop, which acknowledges the report.
enum class HeldState { Running, Suspended, Finished, Failed };

struct HeldAttempt {
  TaskId Task;
  AttemptNumber Attempt;
  HeldState State = HeldState::Running;
  int ExitCode = 0;
  /// The newest checkpoint that this attempt stored, and its number in the
  /// attempt, which tells it from an older one in a delayed message.
  CheckpointId Checkpoint;
  std::uint64_t CheckpointNumber = 0;

  MSGPACK_DEFINE_ARRAY(Task, Attempt, State, ExitCode, Checkpoint,
                       CheckpointNumber)
};

/// Agent to the owner of a shard, at least every third of the task lease, also
/// when it holds nothing.
struct RenewalRequest {
  ShardId Shard;
  AgentGrant Sender;
  std::vector<HeldAttempt> Held;

  MSGPACK_DEFINE_ARRAY(Shard, Sender, Held)
};

/// What the agent does with an attempt: renew its lease, renew it and take a
/// checkpoint, or stop it.
enum class RenewalDecision { Keep, Checkpoint, Stop };

/// The owner's decision on one attempt that the agent holds.
struct AttemptDecision {
  TaskId Task;
  AttemptNumber Attempt;
  RenewalDecision Decision = RenewalDecision::Keep;

  MSGPACK_DEFINE_ARRAY(Task, Attempt, Decision)
};

/// Owner to agent: the answer to a RenewalRequest, with the request's Sender.
struct RenewalReply {
  ShardId Shard;
  Epoch OwnerEpoch;
  AgentGrant Sender;
  std::vector<AttemptDecision> Decisions;

  MSGPACK_DEFINE_ARRAY(Shard, OwnerEpoch, Sender, Decisions)
};

/// Owner to agent: run a claimed non-idempotent request. Sent once.
struct RunOrder {
  ShardId Shard;
  RequestId Request;
  AgentGrant Grant;
  ServiceId Service;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Shard, Request, Grant, Service, Body)
};

/// Owner to agent: report on a request, and never start it if it has not been
/// started.
struct QueryOrder {
  ShardId Shard;
  RequestId Request;
  AgentGrant Grant;

  MSGPACK_DEFINE_ARRAY(Shard, Request, Grant)
};

enum class RunState { Running, Answered, NotRun, Unknown };

/// Agent to owner: the state of a claimed request.
struct RequestReport {
  ShardId Shard;
  RequestId Request;
  Incarnation Agent;
  RunState State = RunState::Unknown;
  int Status = 0;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Shard, Request, Agent, State, Status, Body)
};

} // namespace daisyspool

template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::Refusal> =
    static_cast<int>(daisyspool::Refusal::AttemptOver);
template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::HeldState> =
    static_cast<int>(daisyspool::HeldState::Failed);
template <>
inline constexpr int
    daisyspool::wire::LastEnumerator<daisyspool::RenewalDecision> =
        static_cast<int>(daisyspool::RenewalDecision::Stop);
template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::RunState> =
    static_cast<int>(daisyspool::RunState::Unknown);

#endif // DAISYSPOOL_COMMITMENTS_ORDERS_H
