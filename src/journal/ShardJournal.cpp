#include "daisyspool/journal/ShardJournal.h"

#include <cassert>
#include <cstdio>

namespace daisyspool {

namespace {

constexpr std::size_t ReplayPageRows = 100;

} // namespace

ShardJournal::ShardJournal(std::string Partition, ProcessId Self,
                           std::string Address, TableService &Table,
                           ObjectStore &Objects, const Clock &Time,
                           JournalSettings Settings)
    : Partition(std::move(Partition)), Self(std::move(Self)),
      Address(std::move(Address)), Table(Table), Objects(Objects), Time(Time),
      Settings(Settings) {}

Epoch ShardJournal::epoch() const {
  assert(Owned);
  return LastHead->OwnerEpoch;
}

bool ShardJournal::hasValidLease() const {
  return Owned && Time.now() < LeaseStart + holderTime(Settings.Lease);
}

std::string ShardJournal::newToken() const {
  // DynamoDB accepts tokens of at most 36 characters.
  std::string Seed = Partition + '/' + Self.str() + '/' +
                     std::to_string(++TokensIssued) + '/' +
                     std::to_string(Time.now().time_since_epoch().count());
  std::string Digest = sha256(Seed);
  std::string Token;
  for (std::size_t Index = 0; Index < 16; ++Index) {
    char Hex[3];
    std::snprintf(Hex, sizeof(Hex), "%02x",
                  static_cast<unsigned char>(Digest[Index]));
    Token += Hex;
  }
  return Token;
}

bool ShardJournal::tryAcquire() {
  assert(!Owned);
  std::optional<Row> HeadRow = Table.read(headKey());

  const bool HeadChanged = !HeadUnchangedSince ||
                           HeadRow.has_value() != LastHead.has_value() ||
                           (HeadRow && HeadRow->Version != HeadVersion);
  if (HeadRow)
    LastHead = decodeHead(HeadRow->Value);
  if (HeadChanged) {
    HeadVersion = HeadRow ? HeadRow->Version : 0;
    // Counted from after the read, which is later than the start of the
    // owner's lease.
    HeadUnchangedSince = Time.now();
  }

  const bool OwnerSilent =
      Time.now() - *HeadUnchangedSince >= takeoverWait(Settings.Lease);
  if (HeadRow && !OwnerSilent)
    return false;

  return takeOver(HeadRow);
}

bool ShardJournal::takeOver(const std::optional<Row> &HeadRow) {
  JournalHead NewHead = HeadRow ? *LastHead : JournalHead{};
  NewHead.OwnerEpoch = NewHead.OwnerEpoch.next();
  NewHead.Owner = Self;
  NewHead.OwnerAddress = Address;

  const TimePoint Started = Time.now();
  const std::uint64_t NewVersion = HeadVersion + 1;
  Condition Require = MustNotExist{};
  if (HeadRow)
    Require = MustHaveVersion{HeadVersion};
  Transaction Request{
      newToken(),
      {PutRow{headKey(), NewVersion, encodeHead(NewHead), Require}}};

  // If the answer is lost, later calls treat the head as another owner's and
  // take the log over again with the next epoch.
  try {
    Table.commit(Request);
  } catch (const ConditionFailed &) {
    HeadUnchangedSince.reset();
    return false;
  }

  Owned = true;
  LastHead = NewHead;
  HeadVersion = NewVersion;
  LeaseStart = Started;
  return true;
}

ReplayResult ShardJournal::replay() {
  assert(Owned);
  ReplayResult Result;
  SequenceNumber Next(1);
  std::string Chain;

  if (LastHead->SnapshotSequence.value() != 0) {
    std::optional<std::string> Bytes = Objects.get(LastHead->SnapshotKey);
    // Entries are kept, so a lost or altered snapshot only makes replay slower.
    if (Bytes && sha256(*Bytes) == LastHead->SnapshotHash) {
      Result.Snapshot = std::move(Bytes);
      Next = LastHead->SnapshotSequence.next();
      Chain = LastHead->SnapshotChainHash;
    }
  }

  while (Next < LastHead->Next) {
    std::vector<Row> Page =
        Table.query(Partition, entrySortKey(Next), ReplayPageRows);
    if (Page.empty())
      throw JournalCorrupt(Partition + ": the table has no entry " +
                           std::to_string(Next.value()));

    for (const Row &EntryRow : Page) {
      if (Next == LastHead->Next)
        break;

      JournalEntry Entry = decodeEntry(EntryRow.Value);
      if (EntryRow.Key.Sort != entrySortKey(Next) || Entry.Sequence != Next ||
          Entry.PreviousHash != Chain)
        throw JournalCorrupt(Partition + ": entry " +
                             std::to_string(Next.value()) +
                             " does not continue the hash chain");
      Chain = sha256(EntryRow.Value);
      Next = Next.next();
      Result.Entries.push_back(std::move(Entry));
    }
  }

  if (Chain != LastHead->LastHash)
    throw JournalCorrupt(
        Partition + ": the hash of the last entry differs from the head row");
  return Result;
}

bool ShardJournal::append(std::string Body) {
  assert(Owned && !Pending);
  JournalEntry Entry;
  Entry.Sequence = LastHead->Next;
  Entry.OwnerEpoch = LastHead->OwnerEpoch;
  Entry.BatchId = newToken();
  Entry.WrittenAtMillis = Time.wallNow().count();
  Entry.PreviousHash = LastHead->LastHash;
  Entry.Body = std::move(Body);

  JournalHead NewHead = *LastHead;
  NewHead.Next = Entry.Sequence.next();
  NewHead.LastHash = sha256(encodeEntry(Entry));
  return startWrite(std::move(NewHead), std::move(Entry));
}

void ShardJournal::renewIfDue() {
  assert(Owned && !Pending);
  if (Time.now() - LeaseStart < Settings.Lease / 3)
    return;

  startWrite(*LastHead, std::nullopt);
}

bool ShardJournal::startWrite(JournalHead NewHead,
                              std::optional<JournalEntry> Entry) {
  PendingWrite Write{{}, std::move(NewHead), std::move(Entry), Time.now()};
  buildTransaction(Write);
  Pending = std::move(Write);
  return commitPending();
}

void ShardJournal::buildTransaction(PendingWrite &Write) const {
  Write.Request.Token = newToken();
  Write.Request.Writes.clear();
  if (Write.Entry)
    Write.Request.Writes.emplace_back(
        PutRow{{Partition, entrySortKey(Write.Entry->Sequence)},
               1,
               encodeEntry(*Write.Entry),
               MustNotExist{}});
  Write.Request.Writes.emplace_back(PutRow{headKey(), HeadVersion + 1,
                                           encodeHead(Write.NewHead),
                                           MustHaveVersion{HeadVersion}});
}

bool ShardJournal::commitPending() {
  try {
    Table.commit(Pending->Request);
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  } catch (const ConditionFailed &) {
    // An earlier attempt may have taken effect after its answer was lost.
    return readBack() && !Pending;
  }
  onPendingDurable();
  return true;
}

bool ShardJournal::resolvePendingWrite() {
  assert(Owned);
  if (!Pending)
    return true;

  if (!readBack())
    return false;
  return !Pending || commitPending();
}

bool ShardJournal::readBack() {
  std::optional<Row> HeadRow;
  std::optional<Row> EntryRow;
  try {
    // The entry first: if it is there, the head read next is not older.
    if (Pending->Entry)
      EntryRow =
          Table.read({Partition, entrySortKey(Pending->Entry->Sequence)});
    HeadRow = Table.read(headKey());
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  }

  if (!HeadRow)
    loseOwnership("the head row was deleted");
  JournalHead Current = decodeHead(HeadRow->Value);
  if (EntryRow &&
      decodeEntry(EntryRow->Value).BatchId != Pending->Entry->BatchId)
    loseOwnership("the entry row holds another batch");
  if (Current.OwnerEpoch != LastHead->OwnerEpoch || Current.Owner != Self)
    loseOwnership("the head row names another owner");

  const bool Durable = Pending->Entry ? EntryRow.has_value()
                                      : HeadRow->Version == HeadVersion + 1;
  if (Durable) {
    HeadVersion = HeadRow->Version - 1;
    onPendingDurable();
    return true;
  }

  // The conditions of the transaction still hold, so it is repeated unchanged,
  // with the same token.
  if (HeadRow->Version == HeadVersion)
    return true;

  // The write took effect between the two reads; the next commit fails its
  // condition and reads it back.
  HeadVersion = HeadRow->Version;
  buildTransaction(*Pending);
  return true;
}

void ShardJournal::onPendingDurable() {
  HeadVersion += 1;
  LastHead = std::move(Pending->NewHead);
  LeaseStart = Pending->Started;
  Pending.reset();
}

void ShardJournal::loseOwnership(const char *Reason) {
  Owned = false;
  Pending.reset();
  HeadUnchangedSince.reset();
  throw FencedOff(Partition + ": " + Reason);
}

bool ShardJournal::snapshotDue() const {
  return Owned &&
         LastHead->Next.value() - 1 >=
             LastHead->SnapshotSequence.value() + Settings.EntriesPerSnapshot;
}

bool ShardJournal::saveSnapshot(const std::string &State) {
  assert(Owned && !Pending);
  JournalHead NewHead = *LastHead;
  const std::string OldKey = LastHead->SnapshotKey;
  NewHead.SnapshotSequence = SequenceNumber(LastHead->Next.value() - 1);
  // With the epoch in the key, a paused former owner cannot overwrite a newer
  // snapshot.
  NewHead.SnapshotKey = "snapshot/" + Partition + '/' +
                        std::to_string(NewHead.SnapshotSequence.value()) + '-' +
                        std::to_string(LastHead->OwnerEpoch.value());
  NewHead.SnapshotHash = sha256(State);
  NewHead.SnapshotChainHash = LastHead->LastHash;

  try {
    Objects.put(NewHead.SnapshotKey, State);
    if (!startWrite(std::move(NewHead), std::nullopt))
      return false;
    if (!OldKey.empty())
      Objects.remove(OldKey);
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  }
  return true;
}

} // namespace daisyspool
