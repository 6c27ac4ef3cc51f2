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

static auto fields(TaskName &Of) {
  return std::tie(Of.Job, Of.Occurrence, Of.Step, Of.Index);
}

} // namespace daisyspool::workload

namespace daisyspool::runner {

static auto fields(RunName &Of) { return std::tie(Of.Task, Of.Run); }

static auto fields(StartOrder &Of) {
  return std::tie(Of.Name, Of.Life, Of.Spec, Of.Checkpoint, Of.Image,
                  Of.FillsIdleCpu, Of.TailTarget, Of.StallAfter, Of.HarmlessTo);
}

static auto fields(WorkerReport &Of) {
  return std::tie(Of.Life, Of.Id, Of.Service, Of.FailureDomain, Of.Capacity,
                  Of.Labels, Of.Draining, Of.Remaining);
}

static auto fields(RunningTask &Of) {
  return std::tie(Of.Name, Of.Checkpoint, Of.Percent, Of.Load);
}

static auto fields(EndedTask &Of) {
  return std::tie(Of.Number, Of.Name, Of.Cause, Of.Checkpoint);
}

static auto fields(RefusedRun &Of) {
  return std::tie(Of.Number, Of.Name, Of.Reason);
}

static auto fields(SyncRequest &Of) {
  return std::tie(Of.Leader, Of.Number, Of.EchoedStamp, Of.StampedBy, Of.Grant,
                  Of.EndsLife, Of.EndsRecorded, Of.RefusalsSeen, Of.Starts,
                  Of.Stops, Of.Wait);
}

static auto fields(SyncReply &Of) {
  return std::tie(Of.Accepted, Of.Newest, Of.AgentIncarnation, Of.Stamp,
                  Of.GrantLeft, Of.LeaseExpired, Of.Worker, Of.Running,
                  Of.Starting, Of.Ended, Of.Refused, Of.Stalled);
}

namespace {

/// Raised with every change of the messages' form.
constexpr int SyncProtocolVersion = 2;

// Without limits a forged array header reserves gigabytes before the first
// element is read.
constexpr std::size_t MaxElements = 100000;
constexpr std::size_t MaxBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxDepth = 16;

template <typename T> std::string pack(const T &What) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(SyncProtocolVersion);
  Packer.pack(What);
  return {Buffer.data(), Buffer.size()};
}

template <typename T> T unpack(std::string_view Bytes) {
  try {
    msgpack::unpack_limit Limit(MaxElements, 0, MaxBytes, MaxBytes, 0,
                                MaxDepth);
    auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    const msgpack::object &Whole = Handle.get();
    if (Whole.type != msgpack::type::ARRAY || Whole.via.array.size != 2)
      throw ProtocolError("sync: not a message");
    if (Whole.via.array.ptr[0].as<int>() != SyncProtocolVersion)
      throw ProtocolError("sync: another protocol version");
    return Whole.via.array.ptr[1].as<T>();
  } catch (const msgpack::type_error &) {
    throw ProtocolError("sync: a field has the wrong type");
  } catch (const msgpack::unpack_error &) {
    throw ProtocolError("sync: not valid MessagePack");
  }
}

} // namespace

std::string encode(const SyncRequest &What) { return pack(What); }

std::string encode(const SyncReply &What) { return pack(What); }

SyncRequest decodeSyncRequest(std::string_view Bytes) {
  return unpack<SyncRequest>(Bytes);
}

SyncReply decodeSyncReply(std::string_view Bytes) {
  return unpack<SyncReply>(Bytes);
}

} // namespace daisyspool::runner
