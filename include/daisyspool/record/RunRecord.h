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

/// One line of the record.
struct RecordLine {
  std::string Partition;
  SequenceNumber Sequence;
  WallMillis At{};
  CallerId Caller;
  /// Id of the job or request that the caller asked for.
  std::string Request;
  /// What happened: submitted, started, finished, evicted, answered and so on.
  std::string EventName;
  /// The task and attempt, or the service.
  std::string Detail;
  /// Where it ran; empty if that does not apply.
  VmId Vm;
};

/// Which lines to return; an unset field selects all. The period includes From
/// and excludes To.
struct RecordQuery {
  std::optional<std::string> Request;
  std::optional<CallerId> Caller;
  std::optional<WallMillis> From;
  std::optional<WallMillis> To;
};

enum class Damage { Missing, Repeated, Altered, Reordered };

/// Returns the damage in one word.
const char *toString(Damage Value);

struct RecordFinding {
  Damage Kind = Damage::Altered;
  SequenceNumber Sequence;
};

/// The end of a log at some time. Whoever keeps it can later prove that the
/// log up to there is unchanged, even against someone who rewrote every row.
struct RecordAnchor {
  SequenceNumber Sequence;
  std::string Hash;
};

struct VerifyReport {
  std::uint64_t Entries = 0;
  std::vector<RecordFinding> Findings;
  RecordAnchor End;
};

/// The record of what ran, read from the rows of the logs.
///
/// Use it in an entry to answer the operators' `record` command; it needs no
/// shard's lease. ShardJournal writes the rows.
///
/// Thread safety: one thread. Methods throw PlatformUnavailable or
/// PlatformThrottled.
class RunRecord {
public:
  explicit RunRecord(TableService &Table) : Table(Table) {}

  /// Lists a process's log of short requests, so that partitions() finds it.
  /// Call it before the first append to that log.
  void registerServedLog(const ProcessId &Process);

  /// The partitions of all logs of a store with \p ShardCount shards.
  std::vector<std::string> partitions(std::uint64_t ShardCount);

  /// Returns the matching lines of one log, in its order. Rows that cannot be
  /// decoded are left out; verify() reports them.
  std::vector<RecordLine> find(const std::string &Partition,
                               const RecordQuery &Query);

  /// Checks that no entry of a log is missing, repeated, altered or out of
  /// order, also against an anchor kept earlier.
  VerifyReport verify(const std::string &Partition,
                      const std::optional<RecordAnchor> &Known = std::nullopt);

private:
  std::optional<JournalHead> readHead(const std::string &Partition);
  void forEachRow(const std::string &Partition, const std::string &FromSort,
                  const std::function<void(const Row &)> &Visit);

  TableService &Table;
};

} // namespace daisyspool

#endif // DAISYSPOOL_RECORD_RUNRECORD_H
