#ifndef DAISYSPOOL_RECORD_RUNRECORD_H
#define DAISYSPOOL_RECORD_RUNRECORD_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/journal/Entry.h"
#include "daisyspool/platform/TableService.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// One event of the run record, as the logs hold it.
struct RecordLine {
  std::string Partition;
  SequenceNumber Sequence;
  WallMillis At{};
  CallerId Caller;
  /// Id of the job or request that the caller sent.
  std::string Request;
  /// Name of the event, such as submitted, running, finished, evicted or
  /// answered.
  std::string EventName;
  /// Depends on the event: the task and attempt, the service, the team or the
  /// HTTP status.
  std::string Detail;
  /// The VM that ran the attempt or request; empty for events without one.
  VmId Vm;
};

/// Filter for lines; an unset field matches every line. The period includes
/// From and excludes To.
struct RecordQuery {
  std::optional<std::string> Request;
  std::optional<CallerId> Caller;
  std::optional<WallMillis> From;
  std::optional<WallMillis> To;
};

/// How an entry of a log differs from what its owner wrote.
enum class Damage { Missing, Repeated, Altered, Reordered };

/// Returns the kind of damage as one lower-case word.
const char *toString(Damage Value);

/// One damaged or missing entry of a log.
struct RecordFinding {
  Damage Kind = Damage::Altered;
  SequenceNumber Sequence;
};

/// The last entry of a log at some time. An operator who keeps it outside the
/// table can verify later that the log up to it is unchanged, even if every row
/// was rewritten with a consistent hash chain.
struct RecordAnchor {
  SequenceNumber Sequence;
  std::string Hash;
};

/// Result of RunRecord::verify(). \p Entries counts the rows read.
struct VerifyReport {
  std::uint64_t Entries = 0;
  std::vector<RecordFinding> Findings;
  RecordAnchor End;
};

/// Queries over the events of all jobs and requests, read from the rows of the
/// logs.
///
/// Use it in an entry to answer the operators' `record` command; it needs no
/// lease of a shard. ShardJournal writes the rows.
///
/// Thread safety: one thread. Methods throw PlatformUnavailable or
/// PlatformThrottled.
class RunRecord {
public:
  explicit RunRecord(TableService &Table) : Table(Table) {}

  /// Registers the log of the short requests of \p Process, so that
  /// partitions() lists it. Call it before the first append to that log.
  void registerServedLog(const ProcessId &Process);

  /// The partitions of all logs of a store with \p ShardCount shards.
  std::vector<std::string> partitions(std::uint64_t ShardCount);

  /// Returns the matching lines of one log, in log order. Rows that cannot be
  /// decoded are left out; verify() reports them.
  std::vector<RecordLine> find(const std::string &Partition,
                               const RecordQuery &Query);

  /// Checks that no entry of a log is missing, repeated, altered or out of
  /// order, and that the log still holds the entry of \p Anchor if one is
  /// given.
  VerifyReport verify(const std::string &Partition,
                      const std::optional<RecordAnchor> &Anchor = std::nullopt);

private:
  std::optional<JournalHead> readHead(const std::string &Partition);
  void forEachRow(const std::string &Partition, const std::string &FromSortKey,
                  const std::function<void(const Row &)> &Visit);

  TableService &Table;
};

} // namespace daisyspool

#endif // DAISYSPOOL_RECORD_RUNRECORD_H
