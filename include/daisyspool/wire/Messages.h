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

/// Distinguishes one dispatch from every other of the same sender process.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// The parts of W3C trace context that travel between processes.
struct TraceContext {
  std::string TraceId;
  std::string ParentSpanId;
  bool Sampled = false;
  MSGPACK_DEFINE_ARRAY(TraceId, ParentSpanId, Sampled)
};

/// Sent on an idle or busy link to prove that this very connection works.
struct Heartbeat {
  std::uint64_t Sequence = 0;
  MSGPACK_DEFINE_ARRAY(Sequence)
};

struct HeartbeatReply {
  std::uint64_t Sequence = 0;
  MSGPACK_DEFINE_ARRAY(Sequence)
};

/// One idempotent request for an execution by the receiver's target. Requests
/// that are not idempotent travel as RunOrder.
struct ServeRequest {
  AttemptId Attempt;
  /// The agent incarnation that the sender means; zero means any. Another one
  /// refuses, as it cannot vouch for what an earlier one ran.
  Incarnation ReceiverIncarnation;
  RequestId Request;
  ServiceId Service;
  TeamId Team;
  CallerId Caller;
  WorkClass Class = WorkClass::Standard;
  /// A streamed answer arrives as several replies.
  bool Streamed = false;
  /// Time left to answer, as clocks are not shared.
  Duration Remaining{};
  TraceContext Trace;
  /// The last event that the caller of a resumed stream has; else empty.
  std::string LastEvent;
  std::string Method;
  std::string Path;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Attempt, ReceiverIncarnation, Request, Service, Team,
                       Caller, Class, Streamed, Remaining, Trace, LastEvent,
                       Method, Path, Body)
};

/// How full a target is; carried on every reply, so its cost follows traffic.
struct TargetLoad {
  std::uint32_t BusySlots = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Connections = 0;
  /// Of the above, those held for the process that the reply goes to.
  std::uint32_t OwnSlots = 0;
  std::uint32_t OwnConnections = 0;
  /// Time from the request's arrival at the agent to this reply.
  Duration AtTarget{};
  bool Draining = false;

  MSGPACK_DEFINE_ARRAY(BusySlots, Queued, Connections, OwnSlots, OwnConnections,
                       AtTarget, Draining)
};

enum class ServeOutcome {
  /// The target answered; Status and Body are its answer.
  Served,
  /// Refused before execution; it was not run and never will be.
  Refused,
  /// The target may have run it; no answer is known.
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
  /// Frames of one answer count from zero, so that a missing one is noticed.
  std::uint32_t Frame = 0;
  bool Last = true;
  TargetLoad Load;
  MSGPACK_DEFINE_ARRAY(Attempt, Outcome, Reason, Status, ContentType, Body,
                       Frame, Last, Load)
};

/// The caller left or another attempt won; the answer is no longer wanted.
struct CancelAttempt {
  AttemptId Attempt;
  MSGPACK_DEFINE_ARRAY(Attempt)
};

/// Tells an agent which shards the sending entry owns, so that it renews the
/// leases of a shard's tasks there. Sent when a link comes up and on a change.
struct ShardNotice {
  std::vector<ShardId> Owned;

  MSGPACK_DEFINE_ARRAY(Owned)
};

/// A caller's request passed to the entry that owns the shard of its id.
struct ForwardRequest {
  AttemptId Attempt;
  Duration Remaining{};
  std::string Method;
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Attempt, Remaining, Method, Path, Headers, Body)
};

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
