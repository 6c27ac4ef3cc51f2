#include "daisyspool/record/RunRecord.h"

#include "LineBuilder.h"

#include <cstdlib>
#include <map>
#include <set>

namespace daisyspool {

namespace {

constexpr const char *ServedLogs = "served-logs";
constexpr const char *EntryPrefix = "entry/";
/// Below every process id; the table service takes no empty sort key.
constexpr const char *LowestSort = "!";
constexpr std::size_t PageRows = 100;

bool matches(const RecordLine &Line, const RecordQuery &Query) {
  return (!Query.Request || Line.Request == *Query.Request) &&
         (!Query.Caller || Line.Caller == *Query.Caller) &&
         (!Query.From || Line.At >= *Query.From) &&
         (!Query.To || Line.At < *Query.To);
}

bool isEntry(const Row &Found) {
  return Found.Key.Sort.starts_with(EntryPrefix);
}

/// Checks the rows of a log one after the other.
class ChainCheck {
public:
  void onRow(const Row &Found) {
    const SequenceNumber Place = placeOf(Found);
    for (; Expected < Place; Expected = Expected.next()) {
      note(Damage::Missing, Expected);
      PreviousMissing = true;
    }

    ++Report.Entries;
    check(Found, Place);
    Previous = sha256(Found.Value);
    Hashes[Place] = Previous;
    Expected = Place.next();
  }

  /// \p Before and \p After are the heads read before and after the rows:
  /// entries between the two were appended meanwhile.
  VerifyReport finish(const std::optional<JournalHead> &Before,
                      const std::optional<JournalHead> &After,
                      const std::optional<RecordAnchor> &Known) {
    const SequenceNumber First(1);
    const SequenceNumber End = Before ? Before->Next : First;
    const SequenceNumber Limit = After ? After->Next : First;
    Report.End = {last(), Previous};
    for (; Expected < End; Expected = Expected.next())
      note(Damage::Missing, Expected);
    if (Expected > Limit && Report.Findings.empty())
      note(Damage::Altered, Limit);

    if (End > First)
      compare({SequenceNumber(End.value() - 1), Before->LastHash});
    if (Known && Known->Sequence >= First)
      compare(*Known);
    return std::move(Report);
  }

private:
  static SequenceNumber placeOf(const Row &Found) {
    return SequenceNumber(std::strtoull(
        Found.Key.Sort.c_str() + std::string(EntryPrefix).size(), nullptr, 10));
  }

  void check(const Row &Found, SequenceNumber Place) {
    JournalEntry Entry;
    try {
      Entry = decodeEntry(Found.Value);
    } catch (const JournalCorrupt &) {
      note(Damage::Altered, Place);
      PreviousMissing = true;
      return;
    }

    const bool New = Batches.insert(Entry.BatchId).second;
    if (!New)
      note(Damage::Repeated, Place);
    else if (Entry.Sequence != Place)
      note(Damage::Reordered, Place);
    else if (!PreviousMissing && Entry.PreviousHash != Previous)
      note(Damage::Altered, Place.value() == 1 ? Place : last());
    // The chain starts over after damage, so that one fault is reported once.
    PreviousMissing = !New || Entry.Sequence != Place;
  }

  void compare(const RecordAnchor &Known) {
    auto Found = Hashes.find(Known.Sequence);
    if (Report.Findings.empty() &&
        (Found == Hashes.end() || Found->second != Known.Hash))
      note(Damage::Altered, Known.Sequence);
  }

  SequenceNumber last() const { return SequenceNumber(Expected.value() - 1); }

  void note(Damage Kind, SequenceNumber Sequence) {
    Report.Findings.push_back({Kind, Sequence});
  }

  SequenceNumber Expected{1};
  std::string Previous;
  bool PreviousMissing = false;
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
  Table.commit({"served-" + Process.str(),
                {PutRow{{ServedLogs, Process.str()}, 1, {}, Unconditional{}}}});
}

std::vector<std::string> RunRecord::partitions(std::uint64_t ShardCount) {
  std::vector<std::string> Result;
  for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard)
    Result.push_back(shardPartition(ShardId(Shard)));
  forEachRow(ServedLogs, LowestSort, [&Result](const Row &Found) {
    Result.push_back(servedPartition(ProcessId(Found.Key.Sort)));
  });
  return Result;
}

void RunRecord::forEachRow(const std::string &Partition,
                           const std::string &FromSort,
                           const std::function<void(const Row &)> &Visit) {
  std::string From = FromSort;
  std::string Last;
  for (;;) {
    const std::vector<Row> Page = Table.query(Partition, From, PageRows);
    for (const Row &Found : Page)
      if (Found.Key.Sort != Last)
        Visit(Found);
    if (Page.size() < PageRows)
      return;

    // A page starts with the last row of the one before.
    Last = Page.back().Key.Sort;
    From = Last;
  }
}

std::vector<RecordLine> RunRecord::find(const std::string &Partition,
                                        const RecordQuery &Query) {
  std::vector<RecordLine> Result;
  LineBuilder Builder;
  forEachRow(Partition, EntryPrefix, [&](const Row &Found) {
    if (!isEntry(Found))
      return;
    try {
      const JournalEntry Entry = decodeEntry(Found.Value);
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
                               const std::optional<RecordAnchor> &Known) {
  const std::optional<JournalHead> Before = readHead(Partition);
  ChainCheck Check;
  forEachRow(Partition, EntryPrefix, [&](const Row &Found) {
    if (isEntry(Found))
      Check.onRow(Found);
  });
  return Check.finish(Before, readHead(Partition), Known);
}

std::optional<JournalHead> RunRecord::readHead(const std::string &Partition) {
  if (std::optional<Row> Found = Table.read({Partition, HeadSortKey}))
    return decodeHead(Found->Value);

  return std::nullopt;
}

} // namespace daisyspool
