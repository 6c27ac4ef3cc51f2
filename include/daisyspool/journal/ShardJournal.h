#ifndef DAISYSPOOL_JOURNAL_SHARDJOURNAL_H
#define DAISYSPOOL_JOURNAL_SHARDJOURNAL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/journal/Entry.h"
#include "daisyspool/journal/Lease.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/TableService.h"

#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// Lease of a log and how often a snapshot of it is due.
struct JournalSettings {
  Duration Lease = Millis(6000);
  std::uint64_t EntriesPerSnapshot = 500;
};

/// Result of ShardJournal::replay(): the newest snapshot, unless it is missing
/// or altered, and the entries after it.
struct ReplayResult {
  std::optional<std::string> Snapshot;
  std::vector<JournalEntry> Entries;
};

/// One log in the table service, with one owner at a time by epoch.
///
/// Use it for the state of a shard or, with a partition of its own, for the
/// records of one process. While it does not own the log, the process calls
/// tryAcquire() on each duty step, which watches the head and takes the log
/// over when its owner has stopped writing. The owner calls append() with one
/// batch at a time, and acts on the log only while hasValidLease(). See
/// ShardOwner for the state machine on top.
///
/// Thread safety: one thread. Every call may block in the TableService.
/// Precondition: the ProcessId differs for each start of a process.
class ShardJournal {
public:
  ShardJournal(std::string Partition, ProcessId Self, std::string Address,
               TableService &Table, ObjectStore &Objects, const Clock &Time,
               JournalSettings Settings = {});
  ShardJournal(const ShardJournal &) = delete;
  ShardJournal &operator=(const ShardJournal &) = delete;

  /// Reads the head, and takes the log over if it is new or its head has not
  /// changed for takeoverWait(). Returns whether the log was taken over. Throws
  /// PlatformUnavailable or PlatformThrottled; the next call continues.
  /// Precondition: not owns().
  bool tryAcquire();

  /// Whether this process took the log over and has not been fenced since.
  bool owns() const { return Owned; }

  /// Whether the owner may act on the durable entries: less than holderTime()
  /// has passed since it started its last successful write.
  bool hasValidLease() const;

  /// Whether the effect of a write is unknown, so that no batch can be
  /// appended.
  bool hasPendingWrite() const { return Pending.has_value(); }

  /// The head as last read or written by this process, for routing to the
  /// owner of the log.
  const std::optional<JournalHead> &lastHead() const { return LastHead; }

  /// Precondition: owns().
  Epoch epoch() const;

  /// Reads the snapshot and entries of the log. Precondition: owns() and no
  /// append since. Throws PlatformUnavailable, PlatformThrottled or
  /// JournalCorrupt.
  ReplayResult replay();

  /// Appends \p Body as one batch. Returns true if it is durable and false if
  /// that is not known yet; resolvePendingWrite() then continues. Throws
  /// FencedOff if the log has another owner. Precondition: owns() and not
  /// hasPendingWrite().
  bool append(std::string Body);

  /// Reads the pending write back and repeats it if it had no effect. Returns
  /// whether no write is pending any more. Throws FencedOff. Precondition:
  /// owns().
  bool resolvePendingWrite();

  /// Rewrites the head if a third of the lease has passed since the last
  /// successful write. Throws FencedOff. Precondition: owns() and not
  /// hasPendingWrite().
  void renewIfDue();

  /// Whether EntriesPerSnapshot entries were appended since the last snapshot.
  bool snapshotDue() const;

  /// Stores \p State, which must reflect exactly the durable entries, so that
  /// replay starts there. Returns false if the platform did not answer or
  /// throttled the call; no entry is lost. Throws FencedOff. Precondition:
  /// owns() and not hasPendingWrite().
  bool saveSnapshot(const std::string &State);

private:
  /// A write whose effect is not known. Started is the time of its first
  /// attempt, from which the lease counts when it turns out to be durable.
  struct PendingWrite {
    Transaction Request;
    JournalHead NewHead;
    std::optional<JournalEntry> Entry;
    TimePoint Started;
  };

  bool takeOver(const std::optional<Row> &HeadRow);
  bool startWrite(JournalHead NewHead, std::optional<JournalEntry> Entry);
  void buildTransaction(PendingWrite &Write) const;
  /// Commits the pending write. Returns whether it is durable.
  bool commitPending();
  /// Reads the rows of the pending write. Returns false if the platform did not
  /// answer. Throws FencedOff.
  bool readBack();
  void onPendingDurable();
  [[noreturn]] void loseOwnership(const char *Reason);
  std::string newToken() const;
  RowKey headKey() const { return {Partition, HeadSortKey}; }

  std::string Partition;
  ProcessId Self;
  std::string Address;
  TableService &Table;
  ObjectStore &Objects;
  const Clock &Time;
  JournalSettings Settings;

  bool Owned = false;
  std::optional<JournalHead> LastHead;
  std::uint64_t HeadVersion = 0;
  std::optional<TimePoint> HeadUnchangedSince;
  TimePoint LeaseStart{};
  std::optional<PendingWrite> Pending;
  mutable std::uint64_t TokensIssued = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_JOURNAL_SHARDJOURNAL_H
