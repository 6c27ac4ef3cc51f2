#include "daisyspool/runner/Sync.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"

namespace daisyspool::wire {

template <>
inline constexpr int LastEnumerator<runner::EndCause> =
    runner::EndCauseCount - 1;
template <>
inline constexpr int LastEnumerator<runner::RefusalReason> =
    runner::RefusalReasonCount - 1;

} // namespace daisyspool::wire

namespace daisyspool::workload {

static auto fields(TaskName &Value) {
  return std::tie(Value.Job, Value.Occurrence, Value.Step, Value.Index);
}

} // namespace daisyspool::workload

namespace daisyspool::runner {

static auto fields(RunName &Value) { return std::tie(Value.Task, Value.Run); }

static auto fields(StartOrder &Value) {
  return std::tie(Value.Name, Value.Life, Value.Spec, Value.Checkpoint,
                  Value.Image, Value.FillsIdleCpu, Value.TailTarget,
                  Value.StallAfter, Value.HarmlessTo);
}

static auto fields(WorkerReport &Value) {
  return std::tie(Value.Life, Value.Id, Value.Service, Value.FailureDomain,
                  Value.Capacity, Value.Labels, Value.Draining,
                  Value.Remaining);
}

static auto fields(RunningTask &Value) {
  return std::tie(Value.Name, Value.Checkpoint, Value.Percent, Value.Load);
}

static auto fields(EndedTask &Value) {
  return std::tie(Value.Number, Value.Name, Value.Cause, Value.Checkpoint);
}

static auto fields(RefusedRun &Value) {
  return std::tie(Value.Number, Value.Name, Value.Reason);
}

static auto fields(SyncRequest &Value) {
  return std::tie(Value.Leader, Value.Number, Value.EchoedStamp,
                  Value.StampedBy, Value.Grant, Value.EndsLife,
                  Value.EndsRecorded, Value.RefusalsSeen, Value.Starts,
                  Value.Stops, Value.Wait);
}

static auto fields(SyncReply &Value) {
  return std::tie(Value.Accepted, Value.Newest, Value.AgentIncarnation,
                  Value.Stamp, Value.GrantLeft, Value.LeaseExpired,
                  Value.Worker, Value.Running, Value.Starting, Value.Ended,
                  Value.Refused, Value.Stalled);
}

namespace {

/// Incremented with every change of the message format.
constexpr int SyncProtocolVersion = 2;

// Without limits a forged array header reserves gigabytes before the first
// element is read.
constexpr std::size_t MaxElements = 100000;
constexpr std::size_t MaxBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxDepth = 16;

template <typename T> std::string pack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(SyncProtocolVersion);
  Packer.pack(Value);
  return {Buffer.data(), Buffer.size()};
}

template <typename T> T unpack(std::string_view Bytes) {
  try {
    msgpack::unpack_limit Limit(MaxElements, 0, MaxBytes, MaxBytes, 0,
                                MaxDepth);
    auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    const msgpack::object &Message = Handle.get();
    if (Message.type != msgpack::type::ARRAY || Message.via.array.size != 2)
      throw ProtocolError("sync: message is not an array of two elements");
    if (Message.via.array.ptr[0].as<int>() != SyncProtocolVersion)
      throw ProtocolError("sync: unsupported protocol version");
    return Message.via.array.ptr[1].as<T>();
  } catch (const msgpack::type_error &) {
    throw ProtocolError("sync: a field has the wrong type");
  } catch (const msgpack::unpack_error &) {
    throw ProtocolError("sync: not valid MessagePack");
  }
}

} // namespace

std::string encode(const SyncRequest &Request) { return pack(Request); }

std::string encode(const SyncReply &Reply) { return pack(Reply); }

SyncRequest decodeSyncRequest(std::string_view Bytes) {
  return unpack<SyncRequest>(Bytes);
}

SyncReply decodeSyncReply(std::string_view Bytes) {
  return unpack<SyncReply>(Bytes);
}

} // namespace daisyspool::runner
