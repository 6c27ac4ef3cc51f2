#include "daisyspool/membership/MembershipTable.h"

#include "daisyspool/core/Hash.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace daisyspool {

namespace {

std::uint64_t recordKey(const ProcessId &Id) { return stableHash(Id.str()); }

std::uint64_t combineHashes(std::uint64_t Key, std::uint64_t Value) {
  const std::array<std::uint64_t, 2> Words{Key, Value};
  return stableHash(
      {reinterpret_cast<const char *>(Words.data()), sizeof(Words)});
}

std::uint64_t versionHash(const Member &Subject, std::uint64_t Key) {
  return combineHashes(combineHashes(Key, Subject.Number.value()),
                       Subject.InfoNumber.value());
}

// Alive and Suspect hash alike: a suspicion is short-lived, and its outcome
// changes the hash.
std::uint32_t recordHash(const Member &Subject, std::uint64_t Key) {
  const std::uint64_t State =
      Subject.reachable() ? 0 : static_cast<std::uint64_t>(Subject.State);
  return static_cast<std::uint32_t>(
      combineHashes(versionHash(Subject, Key), State));
}

std::uint32_t summaryKey(std::uint64_t Key) {
  return static_cast<std::uint32_t>(Key >> 32);
}

} // namespace

const char *toString(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "unknown";
}

const char *toString(MemberRole Role) {
  return Role == MemberRole::Entry ? "entry" : "agent";
}

std::size_t MembershipTable::bucketOf(const ProcessId &Id) {
  return recordKey(Id) % BucketCount;
}

std::uint32_t MembershipTable::keyOf(const ProcessId &Id) {
  return summaryKey(recordKey(Id));
}

MemberUpdate MembershipTable::updateOf(const Member &Subject, bool WithInfo) {
  MemberUpdate Update{Subject.Id, Subject.State, Subject.Number,
                      Subject.InfoNumber, std::nullopt};
  if (WithInfo)
    Update.Info = Subject.Info;
  return Update;
}

void MembershipTable::updateTotals(const Record &Changed, bool Add) {
  if (!Changed.Value.reachable())
    return;

  const std::uint64_t Hash = versionHash(Changed.Value, Changed.Key);
  std::uint64_t &Bucket = Buckets[Changed.Key % BucketCount];
  Bucket = Add ? Bucket + Hash : Bucket - Hash;
  Reachable = Add ? Reachable + 1 : Reachable - 1;
  if (Changed.Value.Info.Role == MemberRole::Entry)
    ReachableEntries = Add ? ReachableEntries + 1 : ReachableEntries - 1;
}

MembershipTable::Outcome MembershipTable::insert(const MemberUpdate &Update,
                                                 TimePoint Now) {
  // A member that is already dead is not added. Otherwise peers that remove
  // records at different times would return them to each other endlessly.
  if (Update.State == MemberState::Dead || Update.State == MemberState::Left)
    return Outcome::Stale;
  if (!Update.Info)
    return Outcome::NeedsInfo;

  Record Added{{Update.Id, Update.State, Update.Number, Update.InfoNumber,
                *Update.Info, ConfigVersion(), Now},
               recordKey(Update.Id)};
  updateTotals(Added, true);

  Slot Position = static_cast<Slot>(Records.size());
  if (FreeSlots.empty()) {
    Records.push_back(std::move(Added));
  } else {
    Position = FreeSlots.back();
    FreeSlots.pop_back();
    Records[Position] = std::move(Added);
  }
  Index.emplace(Update.Id, Position);

  return Outcome::Applied;
}

MembershipTable::Outcome MembershipTable::apply(const MemberUpdate &Update,
                                                TimePoint Now) {
  const auto Found = Index.find(Update.Id);
  if (Found == Index.end())
    return insert(Update, Now);

  Record &Stored = Records[Found->second];
  Member &Known = Stored.Value;
  const bool NewState = std::tie(Update.Number, Update.State) >
                        std::tie(Known.Number, Known.State);
  const bool NewInfo = Update.InfoNumber > Known.InfoNumber;
  if (!NewState && !NewInfo)
    return Outcome::Stale;

  updateTotals(Stored, false);
  if (NewState) {
    if (Known.State != Update.State)
      Known.Since = Now;
    Known.Number = Update.Number;
    Known.State = Update.State;
  }
  if (NewInfo && Update.Info) {
    Known.InfoNumber = Update.InfoNumber;
    Known.Info = *Update.Info;
  }
  updateTotals(Stored, true);

  if (NewInfo && !Update.Info)
    return Outcome::NeedsInfo;
  return Outcome::Applied;
}

void MembershipTable::setConfigVersion(const ProcessId &Id,
                                       ConfigVersion Version) {
  const auto Found = Index.find(Id);
  if (Found != Index.end())
    Records[Found->second].Value.Config = Version;
}

const Member *MembershipTable::find(const ProcessId &Id) const {
  const auto Found = Index.find(Id);
  return Found == Index.end() ? nullptr : &Records[Found->second].Value;
}

std::optional<MembershipTable::Slot>
MembershipTable::slotOf(const ProcessId &Id) const {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return std::nullopt;
  return Found->second;
}

const Member *MembershipTable::at(Slot Position) const {
  if (Position >= Records.size() || Records[Position].Value.Id.empty())
    return nullptr;
  return &Records[Position].Value;
}

std::vector<MembershipTable::Slot>
MembershipTable::sample(Random &Rng, std::size_t Count,
                        const Filter &Accept) const {
  std::vector<Slot> Chosen;
  if (Records.empty() || Count == 0)
    return Chosen;

  const auto AddIfAccepted = [&](std::size_t Position) {
    const auto Candidate = static_cast<Slot>(Position);
    const Member *Value = at(Candidate);
    if (Value && Accept(*Value) &&
        std::find(Chosen.begin(), Chosen.end(), Candidate) == Chosen.end())
      Chosen.push_back(Candidate);
  };

  // Random probing finds enough members unless few qualify; the scan from a
  // random start finds those.
  const std::size_t Tries = 8 * Count;
  for (std::size_t Try = 0; Try < Tries && Chosen.size() < Count; ++Try)
    AddIfAccepted(Rng.below(Records.size()));
  const std::size_t Start = Rng.below(Records.size());
  for (std::size_t Step = 0; Step < Records.size() && Chosen.size() < Count;
       ++Step)
    AddIfAccepted((Start + Step) % Records.size());

  return Chosen;
}

std::vector<RecordSummary>
MembershipTable::summarize(std::size_t Bucket) const {
  assert(Bucket < BucketCount);
  std::vector<RecordSummary> Summaries;
  for (const Record &Each : Records)
    if (!Each.Value.Id.empty() && Each.Key % BucketCount == Bucket)
      Summaries.push_back(
          {summaryKey(Each.Key), recordHash(Each.Value, Each.Key)});

  std::sort(Summaries.begin(), Summaries.end());
  return Summaries;
}

const Member *MembershipTable::findKey(std::uint32_t Key) const {
  for (const Record &Each : Records)
    if (summaryKey(Each.Key) == Key && !Each.Value.Id.empty())
      return &Each.Value;
  return nullptr;
}

void MembershipTable::forget(TimePoint Before) {
  for (std::size_t Position = 0; Position < Records.size(); ++Position) {
    Member &Known = Records[Position].Value;
    if (Known.Id.empty() || Known.reachable() || Known.Since >= Before)
      continue;
    Index.erase(Known.Id);
    Known = Member();
    FreeSlots.push_back(static_cast<Slot>(Position));
  }
}

} // namespace daisyspool
