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

/// Version of the gossip protocol, the first field of every datagram.
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
  /// Whether the datagram is itself a VersionRefusal. It must not be answered,
  /// or two processes of different versions would refuse each other endlessly.
  bool isRefusal() const { return IsRefusal; }

private:
  std::uint64_t Version;
  bool IsRefusal;
};

/// Asks the receiver for a ProbeAck with the same sequence number.
struct Probe {
  std::uint64_t Sequence = 0;
};

struct ProbeAck {
  std::uint64_t Sequence = 0;
};

/// Asks the receiver to probe \c Target and to forward its ProbeAck.
struct ProbeRequest {
  std::uint64_t Sequence = 0;
  ProcessId Target;
  MemberAddress Address;
};

/// A message without content whose datagram carries the sender's own update,
/// after a leave or a change of its info.
struct Notice {};

/// Starts a table comparison; a receiver whose hashes differ answers with
/// SyncBuckets.
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

/// Answers SyncDigest with the summaries of the buckets that differ.
struct SyncBuckets {
  std::vector<BucketPart> Parts;
};

/// Answers SyncBuckets and requests records. The updates of the datagram are
/// records of the sender; Wanted holds the keys of records that it requests.
struct SyncRecords {
  std::vector<std::uint32_t> Wanted;
};

/// Opaque bytes of another module, delivered through takePayloads().
struct Payload {
  std::string Bytes;
};

/// Answers a datagram of an unsupported protocol version.
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

/// Encoded size of \p Update in bytes.
std::size_t encodedSize(const MemberUpdate &Update);

/// Decodes one datagram. Throws MalformedDatagram or UnsupportedVersion.
Datagram decode(std::string_view Bytes);

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_DATAGRAM_H
