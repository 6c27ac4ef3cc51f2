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

/// Hash of one record for the comparison of two tables.
struct RecordSummary {
  std::uint32_t Key = 0;
  std::uint32_t Hash = 0;

  auto operator<=>(const RecordSummary &) const = default;
};

/// One process's copy of the membership.
///
/// Updates are ordered by incarnation and then by state, and a record only
/// ever moves up that order, so tables that have seen the same updates are
/// equal whatever the order, loss or duplication. SwimProtocol fills the table
/// from datagrams; readers use find() and forEach().
///
/// Thread safety: one thread at a time.
class MembershipTable {
public:
  static constexpr std::size_t BucketCount = 64;
  using Digest = std::array<std::uint64_t, BucketCount>;
  using Slot = std::uint32_t;
  using Filter = std::function<bool(const Member &)>;

  /// Effect of an update. NeedsInfo: the update is newer but the table lacks
  /// the member's info; for an unknown member nothing was stored.
  enum class Outcome { Stale, Applied, NeedsInfo };

  MembershipTable() = default;
  MembershipTable(const MembershipTable &) = delete;
  MembershipTable &operator=(const MembershipTable &) = delete;

  /// Merges one update.
  Outcome apply(const MemberUpdate &Update, TimePoint Now);

  /// Records the configuration version heard from \p Id, if it is known.
  void heardConfig(const ProcessId &Id, ConfigVersion Version);

  /// Returns null for an unknown member. The pointer is valid until the next
  /// change of the table.
  const Member *find(const ProcessId &Id) const;

  /// The slot of \p Id, which is stable until the member is forgotten.
  std::optional<Slot> slotOf(const ProcessId &Id) const;

  /// Null for a slot that is not in use.
  const Member *at(Slot Index) const;

  /// Calls \p Visit for each record, whatever its state.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const Record &Entry : Records)
      if (!Entry.Value.Id.empty())
        Visit(Entry.Value);
  }

  /// Records of all states.
  std::size_t size() const { return Index.size(); }
  /// Records that are Alive or Suspect.
  std::size_t reachableCount() const { return Reachable; }
  std::size_t entryCount() const { return Entries; }

  /// Up to \p Count distinct members that satisfy \p Accept, at random.
  std::vector<Slot> sample(Random &Rng, std::size_t Count,
                           const Filter &Accept) const;

  /// One hash for each bucket over the reachable records.
  const Digest &digest() const { return Buckets; }

  /// Summaries of one bucket in ascending order, of records of every state.
  std::vector<RecordSummary> summarize(std::size_t Bucket) const;

  /// The record whose summary has \p Key, or null.
  const Member *findKey(std::uint32_t Key) const;

  /// Drops dead and departed members that changed before \p Before, so that
  /// replaced VMs do not fill the table.
  void forget(TimePoint Before);

  static std::size_t bucketOf(const ProcessId &Id);

  /// The key of \p Id in summaries.
  static std::uint32_t keyOf(const ProcessId &Id);

  /// The update that tells a peer about \p Of.
  static MemberUpdate updateOf(const Member &Of, bool WithInfo);

private:
  struct Record {
    Member Value;
    std::uint64_t Key = 0;
  };

  Outcome insert(const MemberUpdate &Update, TimePoint Now);
  void count(const Record &Entry, bool Add);

  std::vector<Record> Records;
  std::vector<Slot> Free;
  std::unordered_map<ProcessId, Slot> Index;
  Digest Buckets{};
  std::size_t Reachable = 0;
  std::size_t Entries = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_MEMBERSHIPTABLE_H
