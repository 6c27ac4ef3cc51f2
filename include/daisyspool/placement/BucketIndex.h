#ifndef DAISYSPOOL_PLACEMENT_BUCKETINDEX_H
#define DAISYSPOOL_PLACEMENT_BUCKETINDEX_H

#include "daisyspool/placement/Handles.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisyspool::placement {

/// VMs ordered by their free amount of one resource, in 64 logarithmic levels
/// for each failure domain. An update is O(1), and a search starts at the first
/// level that can hold the demand.
///
/// Thread safety: one thread at a time.
class BucketIndex {
public:
  static constexpr int Levels = 64;

  /// The level of \p Amount, counted in steps of \p Unit. A larger amount
  /// never has a lower level.
  static int levelOf(std::int64_t Amount, std::int64_t Unit) {
    if (Amount <= 0)
      return 0;

    // Four levels for each doubling, which keeps a level within 25%.
    std::uint64_t Steps = static_cast<std::uint64_t>(Amount / Unit) + 4;
    int Log = static_cast<int>(std::bit_width(Steps)) - 1;
    int Level = 1 + (Log - 2) * 4 + static_cast<int>((Steps >> (Log - 2)) & 3);

    return std::min(Level, Levels - 1);
  }

  /// Moves \p Vm to \p Level of \p Domain.
  void update(VmIndex Vm, DomainIndex Domain, int Level);

  /// Removes \p Vm, so that no search finds it.
  void remove(VmIndex Vm);

  /// Calls \p Visit with each VM from \p FromLevel upwards, alternating over
  /// failure domains from \p Rotation, until it returns false.
  template <typename Visitor>
  void ascend(int FromLevel, std::size_t Rotation, Visitor Visit) const {
    for (int Level = FromLevel; Level < Levels; ++Level)
      if (!visitLevel(Level, Rotation, Visit))
        return;
  }

  /// As ascend(), from the highest level down to \p ToLevel.
  template <typename Visitor>
  void descend(int ToLevel, std::size_t Rotation, Visitor Visit) const {
    for (int Level = Levels - 1; Level >= ToLevel; --Level)
      if (!visitLevel(Level, Rotation, Visit))
        return;
  }

  std::size_t bytes() const;

private:
  static constexpr std::uint32_t Absent = 0xffffffff;
  struct Slot {
    std::uint32_t Bucket = Absent;
    std::uint32_t Position = 0;
  };

  template <typename Visitor>
  bool visitLevel(int Level, std::size_t Rotation, Visitor &Visit) const {
    if (VmsAtLevel[static_cast<std::size_t>(Level)] == 0)
      return true;

    std::size_t Domains = Buckets.size() / Levels;
    for (std::size_t I = 0; I < Domains; ++I) {
      std::size_t Domain = (I + Rotation) % Domains;
      const auto &Bucket =
          Buckets[Domain * Levels + static_cast<std::size_t>(Level)];
      for (std::size_t J = 0; J < Bucket.size(); ++J)
        if (!Visit(Bucket[(J + Rotation) % Bucket.size()]))
          return false;
    }
    return true;
  }

  std::vector<std::vector<VmIndex>> Buckets;
  std::vector<Slot> Slots;
  std::array<std::uint32_t, Levels> VmsAtLevel{};
};

} // namespace daisyspool::placement

#endif // DAISYSPOOL_PLACEMENT_BUCKETINDEX_H
