#ifndef DAISYSPOOL_JOURNAL_ENTRY_H
#define DAISYSPOOL_JOURNAL_ENTRY_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisyspool {

/// A row of a log that cannot be decoded or does not continue the hash chain.
class JournalCorrupt : public Error {
  using Error::Error;
};

/// The `head` row of a log: who owns it and where it ends.
struct JournalHead {
  Epoch OwnerEpoch;
  ProcessId Owner;
  std::string OwnerAddress;
  SequenceNumber Next{1};
  std::string LastHash;

  /// Replay starts after this entry; zero means without a snapshot.
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
  std::string Batch;
  std::int64_t WrittenAtMillis = 0;
  std::string PreviousHash;
  std::string Body;

  MSGPACK_DEFINE_ARRAY(Sequence, OwnerEpoch, Batch, WrittenAtMillis,
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

/// Sort key of an entry row; keys sort as their numbers do.
std::string entrySortKey(SequenceNumber Sequence);

/// Sort key of the head row.
inline constexpr const char *HeadSortKey = "head";

/// Partition of the log of a shard, and of the log of the short requests that
/// a process served.
std::string shardPartition(ShardId Shard);
std::string servedPartition(const ProcessId &Process);

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_ENTRY_H
