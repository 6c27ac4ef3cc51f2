#include "daisyspool/membership/MembershipTable.h"

#include "daisyspool/core/Hash.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace daisyspool {

namespace {

std::uint64_t longKey(const ProcessId &Id) { return stableHash(Id.str()); }

std::uint64_t mix(std::uint64_t Key, std::uint64_t Value) {
  const std::array<std::uint64_t, 2> Words{Key, Value};
  return stableHash(
      {reinterpret_cast<const char *>(Words.data()), sizeof(Words)});
}

std::uint64_t versionHash(const Member &Of, std::uint64_t Key) {
  return mix(mix(Key, Of.Number.value()), Of.InfoNumber.value());
}

// Suspicion is left out: it is short-lived and ends in a difference that the
// summary shows.
std::uint32_t recordHash(const Member &Of, std::uint64_t Key) {
  const std::uint64_t State =
      Of.reachable() ? 0 : static_cast<std::uint64_t>(Of.State);
  return static_cast<std::uint32_t>(mix(versionHash(Of, Key), State));
}

std::uint32_t shortKey(std::uint64_t Key) {
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
  return longKey(Id) % BucketCount;
}

std::uint32_t MembershipTable::keyOf(const ProcessId &Id) {
  return shortKey(longKey(Id));
}

MemberUpdate MembershipTable::updateOf(const Member &Of, bool WithInfo) {
  MemberUpdate Update{Of.Id, Of.State, Of.Number, Of.InfoNumber, std::nullopt};
  if (WithInfo)
    Update.Info = Of.Info;
  return Update;
}

void MembershipTable::count(const Record &Entry, bool Add) {
  if (!Entry.Value.reachable())
    return;

  const std::uint64_t Hash = versionHash(Entry.Value, Entry.Key);
  std::uint64_t &Bucket = Buckets[Entry.Key % BucketCount];
  Bucket = Add ? Bucket + Hash : Bucket - Hash;
  Reachable = Add ? Reachable + 1 : Reachable - 1;
  if (Entry.Value.Info.Role == MemberRole::Entry)
    Entries = Add ? Entries + 1 : Entries - 1;
}

MembershipTable::Outcome MembershipTable::insert(const MemberUpdate &Update,
                                                 TimePoint Now) {
  // A record that is already dead is not stored, so that peers that forget at
  // different times do not teach it to each other again and again.
  if (Update.State == MemberState::Dead || Update.State == MemberState::Left)
    return Outcome::Stale;
  if (!Update.Info)
    return Outcome::NeedsInfo;

  Record Entry{{Update.Id, Update.State, Update.Number, Update.InfoNumber,
                *Update.Info, ConfigVersion(), Now},
               longKey(Update.Id)};
  count(Entry, true);

  Slot Place = static_cast<Slot>(Records.size());
  if (Free.empty()) {
    Records.push_back(std::move(Entry));
  } else {
    Place = Free.back();
    Free.pop_back();
    Records[Place] = std::move(Entry);
  }
  Index.emplace(Update.Id, Place);

  return Outcome::Applied;
}

MembershipTable::Outcome MembershipTable::apply(const MemberUpdate &Update,
                                                TimePoint Now) {
  const auto Found = Index.find(Update.Id);
  if (Found == Index.end())
    return insert(Update, Now);

  Record &Entry = Records[Found->second];
  Member &Known = Entry.Value;
  const bool NewState = std::tie(Update.Number, Update.State) >
                        std::tie(Known.Number, Known.State);
  const bool NewInfo = Update.InfoNumber > Known.InfoNumber;
  if (!NewState && !NewInfo)
    return Outcome::Stale;

  count(Entry, false);
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
  count(Entry, true);

  if (NewInfo && !Update.Info)
    return Outcome::NeedsInfo;
  return Outcome::Applied;
}

void MembershipTable::heardConfig(const ProcessId &Id, ConfigVersion Version) {
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

const Member *MembershipTable::at(Slot Place) const {
  if (Place >= Records.size() || Records[Place].Value.Id.empty())
    return nullptr;
  return &Records[Place].Value;
}

std::vector<MembershipTable::Slot>
MembershipTable::sample(Random &Rng, std::size_t Count,
                        const Filter &Accept) const {
  std::vector<Slot> Chosen;
  if (Records.empty() || Count == 0)
    return Chosen;

  const auto Take = [&](std::size_t Place) {
    const auto Candidate = static_cast<Slot>(Place);
    const Member *Value = at(Candidate);
    if (Value && Accept(*Value) &&
        std::find(Chosen.begin(), Chosen.end(), Candidate) == Chosen.end())
      Chosen.push_back(Candidate);
  };

  // Random tries suffice unless few members qualify; then one scan finds them.
  const std::size_t Tries = 8 * Count;
  for (std::size_t Try = 0; Try < Tries && Chosen.size() < Count; ++Try)
    Take(Rng.below(Records.size()));
  const std::size_t Start = Rng.below(Records.size());
  for (std::size_t Step = 0; Step < Records.size() && Chosen.size() < Count;
       ++Step)
    Take((Start + Step) % Records.size());

  return Chosen;
}

std::vector<RecordSummary>
MembershipTable::summarize(std::size_t Bucket) const {
  assert(Bucket < BucketCount);
  std::vector<RecordSummary> Summaries;
  for (const Record &Entry : Records)
    if (!Entry.Value.Id.empty() && Entry.Key % BucketCount == Bucket)
      Summaries.push_back(
          {shortKey(Entry.Key), recordHash(Entry.Value, Entry.Key)});

  std::sort(Summaries.begin(), Summaries.end());
  return Summaries;
}

const Member *MembershipTable::findKey(std::uint32_t Key) const {
  for (const Record &Entry : Records)
    if (shortKey(Entry.Key) == Key && !Entry.Value.Id.empty())
      return &Entry.Value;
  return nullptr;
}

void MembershipTable::forget(TimePoint Before) {
  for (std::size_t Place = 0; Place < Records.size(); ++Place) {
    Member &Known = Records[Place].Value;
    if (Known.Id.empty() || Known.reachable() || Known.Since >= Before)
      continue;
    Index.erase(Known.Id);
    Known = Member();
    Free.push_back(static_cast<Slot>(Place));
  }
}

} // namespace daisyspool
