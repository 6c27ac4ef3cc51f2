#include "daisyspool/record/RunRecord.h"

#include "LineBuilder.h"

#include <cstdlib>
#include <map>
#include <set>

namespace daisyspool {

namespace {

constexpr const char *ServedLogsPartition = "served-logs";
constexpr const char *EntryPrefix = "entry/";
/// Sorts before every process id; the table service allows no empty sort key.
constexpr const char *LowestSortKey = "!";
constexpr std::size_t PageRows = 100;

bool matches(const RecordLine &Line, const RecordQuery &Query) {
  return (!Query.Request || Line.Request == *Query.Request) &&
         (!Query.Caller || Line.Caller == *Query.Caller) &&
         (!Query.From || Line.At >= *Query.From) &&
         (!Query.To || Line.At < *Query.To);
}

bool isEntry(const Row &Candidate) {
  return Candidate.Key.Sort.starts_with(EntryPrefix);
}

/// Checks the entry rows of a log, which it is passed in the order of their
/// sort keys.
class ChainVerifier {
public:
  void onRow(const Row &EntryRow) {
    const SequenceNumber Sequence = sequenceOf(EntryRow);
    for (; Expected < Sequence; Expected = Expected.next()) {
      addFinding(Damage::Missing, Expected);
      SkipChainCheck = true;
    }

    ++Report.Entries;
    checkEntry(EntryRow, Sequence);
    LastHash = sha256(EntryRow.Value);
    Hashes[Sequence] = LastHash;
    Expected = Sequence.next();
  }

  /// \p Before and \p After are the heads read before and after the rows.
  /// Entries between their ends may have been appended during the check.
  VerifyReport finish(const std::optional<JournalHead> &Before,
                      const std::optional<JournalHead> &After,
                      const std::optional<RecordAnchor> &Anchor) {
    const SequenceNumber First(1);
    const SequenceNumber End = Before ? Before->Next : First;
    const SequenceNumber Limit = After ? After->Next : First;
    Report.End = {lastSequence(), LastHash};
    for (; Expected < End; Expected = Expected.next())
      addFinding(Damage::Missing, Expected);
    if (Expected > Limit && Report.Findings.empty())
      addFinding(Damage::Altered, Limit);

    if (End > First)
      compareWithAnchor({SequenceNumber(End.value() - 1), Before->LastHash});
    if (Anchor && Anchor->Sequence >= First)
      compareWithAnchor(*Anchor);
    return std::move(Report);
  }

private:
  static SequenceNumber sequenceOf(const Row &EntryRow) {
    return SequenceNumber(std::strtoull(EntryRow.Key.Sort.c_str() +
                                            std::string(EntryPrefix).size(),
                                        nullptr, 10));
  }

  void checkEntry(const Row &EntryRow, SequenceNumber Sequence) {
    JournalEntry Entry;
    try {
      Entry = decodeEntry(EntryRow.Value);
    } catch (const JournalCorrupt &) {
      addFinding(Damage::Altered, Sequence);
      SkipChainCheck = true;
      return;
    }

    const bool NewBatch = Batches.insert(Entry.BatchId).second;
    if (!NewBatch)
      addFinding(Damage::Repeated, Sequence);
    else if (Entry.Sequence != Sequence)
      addFinding(Damage::Reordered, Sequence);
    else if (!SkipChainCheck && Entry.PreviousHash != LastHash)
      addFinding(Damage::Altered,
                 Sequence.value() == 1 ? Sequence : lastSequence());
    // The chain restarts after damage, so that each damaged entry is reported
    // only once.
    SkipChainCheck = !NewBatch || Entry.Sequence != Sequence;
  }

  void compareWithAnchor(const RecordAnchor &Anchor) {
    auto Found = Hashes.find(Anchor.Sequence);
    if (Report.Findings.empty() &&
        (Found == Hashes.end() || Found->second != Anchor.Hash))
      addFinding(Damage::Altered, Anchor.Sequence);
  }

  SequenceNumber lastSequence() const {
    return SequenceNumber(Expected.value() - 1);
  }

  void addFinding(Damage Kind, SequenceNumber Sequence) {
    Report.Findings.push_back({Kind, Sequence});
  }

  SequenceNumber Expected{1};
  std::string LastHash;
  bool SkipChainCheck = false;
  std::set<std::string> Batches;
  std::map<SequenceNumber, std::string> Hashes;
  VerifyReport Report;
};

} // namespace

const char *toString(Damage Value) {
  switch (Value) {
  case Damage::Missing:
    return "missing";
  case Damage::Repeated:
    return "repeated";
  case Damage::Altered:
    return "altered";
  case Damage::Reordered:
    return "reordered";
  }
  return "unknown";
}

void RunRecord::registerServedLog(const ProcessId &Process) {
  Table.commit(
      {"served-" + Process.str(),
       {PutRow{{ServedLogsPartition, Process.str()}, 1, {}, Unconditional{}}}});
}

std::vector<std::string> RunRecord::partitions(std::uint64_t ShardCount) {
  std::vector<std::string> Result;
  for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard)
    Result.push_back(shardPartition(ShardId(Shard)));
  forEachRow(ServedLogsPartition, LowestSortKey, [&Result](const Row &Current) {
    Result.push_back(servedPartition(ProcessId(Current.Key.Sort)));
  });
  return Result;
}

void RunRecord::forEachRow(const std::string &Partition,
                           const std::string &FromSortKey,
                           const std::function<void(const Row &)> &Visit) {
  std::string From = FromSortKey;
  std::string Last;
  for (;;) {
    const std::vector<Row> Page = Table.query(Partition, From, PageRows);
    for (const Row &Current : Page)
      if (Current.Key.Sort != Last)
        Visit(Current);
    if (Page.size() < PageRows)
      return;

    // A page starts with the last row of the page before, which is skipped.
    Last = Page.back().Key.Sort;
    From = Last;
  }
}

std::vector<RecordLine> RunRecord::find(const std::string &Partition,
                                        const RecordQuery &Query) {
  std::vector<RecordLine> Result;
  LineBuilder Builder;
  forEachRow(Partition, EntryPrefix, [&](const Row &Current) {
    if (!isEntry(Current))
      return;
    try {
      const JournalEntry Entry = decodeEntry(Current.Value);
      for (const Event &Each : decodeEvents(Entry.Body))
        for (RecordLine &Line : Builder.lines(Partition, Entry, Each))
          if (matches(Line, Query))
            Result.push_back(std::move(Line));
    } catch (const JournalCorrupt &) {
      return;
    } catch (const InvalidEvent &) {
      return;
    }
  });
  return Result;
}

VerifyReport RunRecord::verify(const std::string &Partition,
                               const std::optional<RecordAnchor> &Anchor) {
  const std::optional<JournalHead> Before = readHead(Partition);
  ChainVerifier Verifier;
  forEachRow(Partition, EntryPrefix, [&](const Row &Current) {
    if (isEntry(Current))
      Verifier.onRow(Current);
  });
  return Verifier.finish(Before, readHead(Partition), Anchor);
}

std::optional<JournalHead> RunRecord::readHead(const std::string &Partition) {
  if (std::optional<Row> HeadRow = Table.read({Partition, HeadSortKey}))
    return decodeHead(HeadRow->Value);

  return std::nullopt;
}

} // namespace daisyspool
