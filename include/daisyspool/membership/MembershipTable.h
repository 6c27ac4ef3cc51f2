#ifndef DAISYSPOOL_MEMBERSHIP_MEMBERSHIPTABLE_H
#define DAISYSPOOL_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "daisyspool/core/Random.h"
#include "daisyspool/membership/Member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace daisyspool {

/// Key and hash of one record, exchanged to compare two tables.
struct RecordSummary {
  std::uint32_t Key = 0;
  std::uint32_t Hash = 0;

  auto operator<=>(const RecordSummary &) const = default;
};

/// One process's copy of the membership.
///
/// Updates are ordered by incarnation and then by state, and a record only
/// ever moves up that order. Tables that have applied the same updates are
/// therefore equal, regardless of their order, loss or duplication.
/// SwimProtocol applies the updates of datagrams; readers use find() and
/// forEach().
///
/// Thread safety: one thread at a time.
class MembershipTable {
public:
  static constexpr std::size_t BucketCount = 64;
  using Digest = std::array<std::uint64_t, BucketCount>;
  using Slot = std::uint32_t;
  using Filter = std::function<bool(const Member &)>;

  /// Effect of an update. NeedsInfo: the update is newer but carries no info
  /// and the table's is missing or outdated; an unknown member is not stored.
  enum class Outcome { Stale, Applied, NeedsInfo };

  MembershipTable() = default;
  MembershipTable(const MembershipTable &) = delete;
  MembershipTable &operator=(const MembershipTable &) = delete;

  /// Applies one update if it is newer than the record.
  Outcome apply(const MemberUpdate &Update, TimePoint Now);

  /// Stores the configuration version received from \p Id, if it is known.
  void setConfigVersion(const ProcessId &Id, ConfigVersion Version);

  /// Returns null for an unknown member. The pointer is valid until the next
  /// change of the table.
  const Member *find(const ProcessId &Id) const;

  /// The slot of \p Id, which is stable until forget() removes the member.
  std::optional<Slot> slotOf(const ProcessId &Id) const;

  /// The member in a slot, or null if the slot is not in use.
  const Member *at(Slot Index) const;

  /// Calls \p Visit for each record, whatever its state.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const Record &Each : Records)
      if (!Each.Value.Id.empty())
        Visit(Each.Value);
  }

  /// Number of records of all states.
  std::size_t size() const { return Index.size(); }
  /// Number of records that are Alive or Suspect.
  std::size_t reachableCount() const { return Reachable; }
  /// Number of reachable entry processes.
  std::size_t entryCount() const { return ReachableEntries; }

  /// Up to \p Count distinct random members that satisfy \p Accept.
  std::vector<Slot> sample(Random &Rng, std::size_t Count,
                           const Filter &Accept) const;

  /// One hash for each bucket, computed over its reachable records.
  const Digest &digest() const { return Buckets; }

  /// Summaries of the records of all states in one bucket, ascending by key.
  std::vector<RecordSummary> summarize(std::size_t Bucket) const;

  /// The record whose summary has \p Key, or null.
  const Member *findKey(std::uint32_t Key) const;

  /// Removes members that have been Dead or Left since before \p Before, so
  /// that the table does not grow with each replaced VM.
  void forget(TimePoint Before);

  /// The bucket that holds the record of \p Id.
  static std::size_t bucketOf(const ProcessId &Id);

  /// The key of \p Id in summaries.
  static std::uint32_t keyOf(const ProcessId &Id);

  /// The update that describes the record \p Subject.
  static MemberUpdate updateOf(const Member &Subject, bool WithInfo);

private:
  struct Record {
    Member Value;
    std::uint64_t Key = 0;
  };

  Outcome insert(const MemberUpdate &Update, TimePoint Now);
  /// Adds a reachable record to the digest and the counts, or removes it.
  void updateTotals(const Record &Changed, bool Add);

  std::vector<Record> Records;
  std::vector<Slot> FreeSlots;
  std::unordered_map<ProcessId, Slot> Index;
  Digest Buckets{};
  std::size_t Reachable = 0;
  std::size_t ReachableEntries = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_MEMBERSHIPTABLE_H
