#ifndef DAISYSPOOL_MEMBERSHIP_DATAGRAM_H
#define DAISYSPOOL_MEMBERSHIP_DATAGRAM_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/membership/MembershipTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisyspool {

/// Largest datagram sent, below the smallest MTU of the links in use.
constexpr std::size_t MaxDatagramBytes = 1200;

/// Version of the gossip protocol.
constexpr std::uint64_t GossipVersion = 1;

/// A datagram that is not a valid message of this protocol.
class MalformedDatagram : public ProtocolError {
  using ProtocolError::ProtocolError;
};

/// A datagram of another protocol version.
class UnsupportedVersion : public ProtocolError {
public:
  UnsupportedVersion(std::uint64_t Version, bool IsRefusal);

  std::uint64_t version() const { return Version; }
  /// Whether the datagram itself refuses our version; it must not be answered,
  /// or two versions would refuse each other for ever.
  bool isRefusal() const { return IsRefusal; }

private:
  std::uint64_t Version;
  bool IsRefusal;
};

struct Probe {
  std::uint64_t Sequence = 0;
};

struct ProbeAck {
  std::uint64_t Sequence = 0;
};

/// Asks the receiver to probe \c Target and to pass its answer on.
struct ProbeRequest {
  std::uint64_t Sequence = 0;
  ProcessId Target;
  MemberAddress Address;
};

/// Only the updates of the datagram matter: leave, drain, refutation.
struct Notice {};

struct SyncDigest {
  MembershipTable::Digest Hashes{};
};

/// Summaries of all records of one bucket whose keys lie in [First, Last].
struct BucketPart {
  std::uint8_t Bucket = 0;
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
  std::vector<RecordSummary> Records;
};

struct SyncBuckets {
  std::vector<BucketPart> Parts;
};

/// Answers SyncBuckets: the datagram's updates are what the sender has, Wanted
/// are the keys of records that it asks for.
struct SyncRecords {
  std::vector<std::uint32_t> Wanted;
};

/// Bytes of another module for the receiver's process.
struct Payload {
  std::string Bytes;
};

/// Tells the sender of another protocol version that it was not understood.
struct VersionRefusal {};

using DatagramBody =
    std::variant<Probe, ProbeAck, ProbeRequest, Notice, SyncDigest, SyncBuckets,
                 SyncRecords, Payload, VersionRefusal>;

/// One message between two members.
struct Datagram {
  ProcessId Sender;
  Incarnation Number;
  ConfigStamp Config;
  DatagramBody Body;
  std::vector<MemberUpdate> Updates;
};

/// Encodes as a MessagePack array.
std::string encode(const Datagram &Message);

/// Bytes that \p Update adds to a datagram.
std::size_t encodedSize(const MemberUpdate &Update);

/// Throws MalformedDatagram or UnsupportedVersion.
Datagram decode(std::string_view Bytes);

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_DATAGRAM_H
