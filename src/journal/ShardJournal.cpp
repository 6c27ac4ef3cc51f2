#include "daisyspool/journal/ShardJournal.h"

#include <cassert>
#include <cstdio>

namespace daisyspool {

namespace {

constexpr std::size_t ReplayPage = 100;

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
  return Seen->OwnerEpoch;
}

bool ShardJournal::hasValidLease() const {
  return Owned && Time.now() < LeaseStart + holderTime(Settings.Lease);
}

std::string ShardJournal::newToken() const {
  // DynamoDB accepts tokens of at most 36 characters.
  std::string Seed = Partition + '/' + Self.str() + '/' +
                     std::to_string(++Tokens) + '/' +
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
  std::optional<Row> Found = Table.read(headKey());

  const bool Changed = !SeenSince || Found.has_value() != Seen.has_value() ||
                       (Found && Found->Version != HeadVersion);
  if (Found)
    Seen = decodeHead(Found->Value);
  if (Changed) {
    HeadVersion = Found ? Found->Version : 0;
    // The time after the read: the owner's lease started earlier.
    SeenSince = Time.now();
  }

  const bool Silent = Time.now() - *SeenSince >= takeoverWait(Settings.Lease);
  if (Found && !Silent)
    return false;

  return tryTakeover(Found);
}

bool ShardJournal::tryTakeover(const std::optional<Row> &Found) {
  JournalHead NewHead = Found ? *Seen : JournalHead{};
  NewHead.OwnerEpoch = NewHead.OwnerEpoch.next();
  NewHead.Owner = Self;
  NewHead.OwnerAddress = Address;

  const TimePoint Started = Time.now();
  const std::uint64_t NewVersion = HeadVersion + 1;
  Condition Require = MustNotExist{};
  if (Found)
    Require = MustHaveVersion{HeadVersion};
  Transaction Request{
      newToken(),
      {PutRow{headKey(), NewVersion, encodeHead(NewHead), Require}}};

  // If the answer is lost, the head is observed like another owner's and the
  // log is taken over again with the next epoch.
  try {
    Table.commit(Request);
  } catch (const ConditionFailed &) {
    SeenSince.reset();
    return false;
  }

  Owned = true;
  Seen = NewHead;
  HeadVersion = NewVersion;
  LeaseStart = Started;
  return true;
}

ReplayResult ShardJournal::replay() {
  assert(Owned);
  ReplayResult Result;
  SequenceNumber Next(1);
  std::string Chain;

  if (Seen->SnapshotSequence.value() != 0) {
    std::optional<std::string> Bytes = Objects.get(Seen->SnapshotKey);
    // Entries are kept, so that a lost or altered snapshot costs only time.
    if (Bytes && sha256(*Bytes) == Seen->SnapshotHash) {
      Result.Snapshot = std::move(Bytes);
      Next = Seen->SnapshotSequence.next();
      Chain = Seen->SnapshotChainHash;
    }
  }

  while (Next < Seen->Next) {
    std::vector<Row> Page =
        Table.query(Partition, entrySortKey(Next), ReplayPage);
    if (Page.empty())
      throw JournalCorrupt(Partition + ": no entry " +
                           std::to_string(Next.value()));

    for (const Row &Found : Page) {
      if (Next == Seen->Next)
        break;

      JournalEntry Entry = decodeEntry(Found.Value);
      if (Found.Key.Sort != entrySortKey(Next) || Entry.Sequence != Next ||
          Entry.PreviousHash != Chain)
        throw JournalCorrupt(Partition + ": entry " +
                             std::to_string(Next.value()) +
                             " does not continue the chain");
      Chain = sha256(Found.Value);
      Next = Next.next();
      Result.Entries.push_back(std::move(Entry));
    }
  }

  if (Chain != Seen->LastHash)
    throw JournalCorrupt(Partition + ": the last entry differs from the head");
  return Result;
}

bool ShardJournal::append(std::string Body) {
  assert(Owned && !Unsettled);
  JournalEntry Entry;
  Entry.Sequence = Seen->Next;
  Entry.OwnerEpoch = Seen->OwnerEpoch;
  Entry.Batch = newToken();
  Entry.WrittenAtMillis = Time.wallNow().count();
  Entry.PreviousHash = Seen->LastHash;
  Entry.Body = std::move(Body);

  JournalHead NewHead = *Seen;
  NewHead.Next = Entry.Sequence.next();
  NewHead.LastHash = sha256(encodeEntry(Entry));
  return startWrite(std::move(NewHead), std::move(Entry));
}

void ShardJournal::renewIfDue() {
  assert(Owned && !Unsettled);
  if (Time.now() - LeaseStart < Settings.Lease / 3)
    return;

  startWrite(*Seen, std::nullopt);
}

bool ShardJournal::startWrite(JournalHead NewHead,
                              std::optional<JournalEntry> Entry) {
  PendingWrite Write{{}, std::move(NewHead), std::move(Entry), Time.now()};
  buildRequest(Write);
  Unsettled = std::move(Write);
  return attempt();
}

void ShardJournal::buildRequest(PendingWrite &Write) const {
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

bool ShardJournal::attempt() {
  try {
    Table.commit(Unsettled->Request);
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  } catch (const ConditionFailed &) {
    // An earlier attempt may have taken effect after its answer was lost.
    return readBack() && !Unsettled;
  }
  finish();
  return true;
}

bool ShardJournal::resolvePendingWrite() {
  assert(Owned);
  if (!Unsettled)
    return true;

  if (!readBack())
    return false;
  return !Unsettled || attempt();
}

bool ShardJournal::readBack() {
  std::optional<Row> Found;
  std::optional<Row> EntryRow;
  try {
    // The entry first: if it is there, the head read next is not older.
    if (Unsettled->Entry)
      EntryRow =
          Table.read({Partition, entrySortKey(Unsettled->Entry->Sequence)});
    Found = Table.read(headKey());
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  }

  if (!Found)
    fence("the head row is gone");
  JournalHead Current = decodeHead(Found->Value);
  if (EntryRow && decodeEntry(EntryRow->Value).Batch != Unsettled->Entry->Batch)
    fence("the entry has another batch");
  if (Current.OwnerEpoch != Seen->OwnerEpoch || Current.Owner != Self)
    fence("the head has another owner");

  const bool Durable = Unsettled->Entry ? EntryRow.has_value()
                                        : Found->Version == HeadVersion + 1;
  if (Durable) {
    HeadVersion = Found->Version - 1;
    finish();
    return true;
  }

  // The same conditions hold, so that the same request and token are repeated.
  if (Found->Version == HeadVersion)
    return true;

  // The write took effect between the two reads; the repeat finds that out.
  HeadVersion = Found->Version;
  buildRequest(*Unsettled);
  return true;
}

void ShardJournal::finish() {
  HeadVersion += 1;
  Seen = std::move(Unsettled->NewHead);
  LeaseStart = Unsettled->Started;
  Unsettled.reset();
}

void ShardJournal::fence(const char *Why) {
  Owned = false;
  Unsettled.reset();
  SeenSince.reset();
  throw FencedOff(Partition + ": " + Why);
}

bool ShardJournal::snapshotDue() const {
  return Owned && Seen->Next.value() - 1 >= Seen->SnapshotSequence.value() +
                                                Settings.EntriesPerSnapshot;
}

bool ShardJournal::saveSnapshot(const std::string &State) {
  assert(Owned && !Unsettled);
  JournalHead NewHead = *Seen;
  const std::string Older = Seen->SnapshotKey;
  NewHead.SnapshotSequence = SequenceNumber(Seen->Next.value() - 1);
  // The epoch keeps a paused former owner from replacing a newer snapshot.
  NewHead.SnapshotKey = "snapshot/" + Partition + '/' +
                        std::to_string(NewHead.SnapshotSequence.value()) + '-' +
                        std::to_string(Seen->OwnerEpoch.value());
  NewHead.SnapshotHash = sha256(State);
  NewHead.SnapshotChainHash = Seen->LastHash;

  try {
    Objects.put(NewHead.SnapshotKey, State);
    if (!startWrite(std::move(NewHead), std::nullopt))
      return false;
    if (!Older.empty())
      Objects.remove(Older);
  } catch (const PlatformThrottled &) {
    return false;
  } catch (const PlatformUnavailable &) {
    return false;
  }
  return true;
}

} // namespace daisyspool
