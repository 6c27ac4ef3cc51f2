#ifndef DAISYSPOOL_WIRE_MESSAGES_H
#define DAISYSPOOL_WIRE_MESSAGES_H

#include "daisyspool/commitments/Orders.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/core/WorkClass.h"
#include "daisyspool/wire/Adaptors.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

template <>
inline constexpr int daisyspool::wire::LastEnumerator<daisyspool::WorkClass> =
    static_cast<int>(daisyspool::WorkClass::Batch);

namespace daisyspool::wire {

/// Identifies one dispatch among all dispatches of the same sender process.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// The fields of the W3C trace context that are sent between processes.
struct TraceContext {
  std::string TraceId;
  std::string ParentSpanId;
  bool Sampled = false;
  MSGPACK_DEFINE_ARRAY(TraceId, ParentSpanId, Sampled)
};

/// Sent periodically on a link, whether idle or busy, to check its connection.
struct Heartbeat {
  std::uint64_t Sequence = 0;
  MSGPACK_DEFINE_ARRAY(Sequence)
};

struct HeartbeatReply {
  std::uint64_t Sequence = 0;
  MSGPACK_DEFINE_ARRAY(Sequence)
};

/// One idempotent request, to be executed by the receiver's target. Requests
/// that are not idempotent are sent as RunOrder.
struct ServeRequest {
  AttemptId Attempt;
  /// Incarnation of the agent that the request is for; zero means any. An agent
  /// of another incarnation refuses, because it does not know which requests
  /// the earlier one executed.
  Incarnation ReceiverIncarnation;
  RequestId Request;
  ServiceId Service;
  TeamId Team;
  CallerId Caller;
  WorkClass Class = WorkClass::Standard;
  /// Whether the answer is sent as several replies.
  bool Streamed = false;
  /// Time left until the deadline. Sent instead of the deadline itself, because
  /// the clocks of the processes differ.
  Duration Remaining{};
  TraceContext Trace;
  /// Id of the last event that the caller of a resumed stream has received;
  /// empty for a new stream.
  std::string LastEvent;
  std::string Method;
  std::string Path;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Attempt, ReceiverIncarnation, Request, Service, Team,
                       Caller, Class, Streamed, Remaining, Trace, LastEvent,
                       Method, Path, Body)
};

/// Utilization of a target. Every reply carries it, so that the cost of
/// reporting it is proportional to the traffic.
struct TargetLoad {
  std::uint32_t BusySlots = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Connections = 0;
  /// The share of BusySlots and Connections that is held for the receiver of
  /// the reply.
  std::uint32_t OwnSlots = 0;
  std::uint32_t OwnConnections = 0;
  /// Time from the request's arrival at the agent to this reply.
  Duration AtTarget{};
  bool Draining = false;

  MSGPACK_DEFINE_ARRAY(BusySlots, Queued, Connections, OwnSlots, OwnConnections,
                       AtTarget, Draining)
};

enum class ServeOutcome {
  /// The target answered; Status and Body hold its answer.
  Served,
  /// Refused before execution; the request was not and will not be executed.
  Refused,
  /// The target may have executed the request; its answer is not known.
  Failed
};

template <>
inline constexpr int
    LastEnumerator<ServeOutcome> = static_cast<int>(ServeOutcome::Failed);

enum class RefusalReason {
  None,
  NoFreeSlot,
  DeadlineTooClose,
  Draining,
  UnknownService,
  Duplicate,
  Overloaded,
  TargetUnreachable,
  WrongIncarnation
};

template <>
inline constexpr int LastEnumerator<RefusalReason> =
    static_cast<int>(RefusalReason::WrongIncarnation);

/// The answer to a ServeRequest, or one frame of it.
struct ServeReply {
  AttemptId Attempt;
  ServeOutcome Outcome = ServeOutcome::Failed;
  RefusalReason Reason = RefusalReason::None;
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// Index of this frame within the answer, from zero, to detect missing
  /// frames.
  std::uint32_t Frame = 0;
  bool Last = true;
  TargetLoad Load;
  MSGPACK_DEFINE_ARRAY(Attempt, Outcome, Reason, Status, ContentType, Body,
                       Frame, Last, Load)
};

/// Cancels an attempt whose answer is not needed any more, because the caller
/// disconnected or another attempt answered first.
struct CancelAttempt {
  AttemptId Attempt;
  MSGPACK_DEFINE_ARRAY(Attempt)
};

/// Lists the shards that the sending entry owns, so that the agent renews the
/// leases of a shard's tasks with that entry. Sent when a link comes up and
/// when the list changes.
struct ShardNotice {
  std::vector<ShardId> Owned;

  MSGPACK_DEFINE_ARRAY(Owned)
};

/// A caller's request, forwarded to the entry that owns the shard of its id.
struct ForwardRequest {
  AttemptId Attempt;
  Duration Remaining{};
  std::string Method;
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Attempt, Remaining, Method, Path, Headers, Body)
};

/// The HTTP answer to a ForwardRequest.
struct ForwardReply {
  AttemptId Attempt;
  int Status = 0;
  std::string ContentType;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Attempt, Status, ContentType, Body)
};

using Message =
    std::variant<Heartbeat, HeartbeatReply, ServeRequest, ServeReply,
                 CancelAttempt, ForwardRequest, ForwardReply, ShardNotice,
                 StartOrder, StartReply, StopOrder, StopReply, RenewalRequest,
                 RenewalReply, RunOrder, QueryOrder, RequestReport>;

/// A message with the fields that every message carries.
struct Envelope {
  ProcessId From;
  Incarnation SenderIncarnation;
  ConfigVersion Config;
  Message Content;
};

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_MESSAGES_H
