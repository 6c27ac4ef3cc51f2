#ifndef DAISYSPOOL_JOURNAL_ENTRY_H
#define DAISYSPOOL_JOURNAL_ENTRY_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool {

/// Thrown for a row of a log that cannot be decoded or does not continue the
/// hash chain.
class JournalCorrupt : public Error {
  using Error::Error;
};

/// The `head` row of a log: its owner, its end and its newest snapshot.
struct JournalHead {
  Epoch OwnerEpoch;
  ProcessId Owner;
  std::string OwnerAddress;
  SequenceNumber Next{1};
  std::string LastHash;

  /// Last entry that the snapshot covers; replay starts after it. Zero means
  /// that there is no snapshot.
  SequenceNumber SnapshotSequence;
  std::string SnapshotKey;
  std::string SnapshotHash;
  /// Hash of the entry SnapshotSequence, which the next entry continues.
  std::string SnapshotChainHash;

  MSGPACK_DEFINE_ARRAY(OwnerEpoch, Owner, OwnerAddress, Next, LastHash,
                       SnapshotSequence, SnapshotKey, SnapshotHash,
                       SnapshotChainHash)
};

/// An `entry/<sequence>` row of a log: one group-committed batch.
struct JournalEntry {
  SequenceNumber Sequence;
  Epoch OwnerEpoch;
  /// Unique per appended batch. An owner tells by it whether an entry whose
  /// write had no answer is its own.
  std::string BatchId;
  std::int64_t WrittenAtMillis = 0;
  std::string PreviousHash;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Sequence, OwnerEpoch, BatchId, WrittenAtMillis,
                       PreviousHash, Body)
};

/// Returns the SHA-256 of \p Bytes as 32 bytes.
std::string sha256(std::string_view Bytes);

std::string encodeHead(const JournalHead &Head);
/// Throws JournalCorrupt.
JournalHead decodeHead(const std::string &Value);

std::string encodeEntry(const JournalEntry &Entry);
/// Throws JournalCorrupt.
JournalEntry decodeEntry(const std::string &Value);

/// Sort key of an entry row. Byte order of the keys equals numeric order of the
/// sequence numbers.
std::string entrySortKey(SequenceNumber Sequence);

/// Sort key of the head row.
inline constexpr const char *HeadSortKey = "head";

/// Partition of the log of a shard.
std::string shardPartition(ShardId Shard);

/// Partition of the log of the short requests that a process served.
std::string servedPartition(const ProcessId &Process);

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_ENTRY_H
