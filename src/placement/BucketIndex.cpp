#include "daisyspool/placement/BucketIndex.h"

#include <cassert>

namespace daisyspool::placement {

void BucketIndex::update(VmIndex Vm, DomainIndex Domain, int Level) {
  assert(Level >= 0 && Level < Levels);
  if (Vm.index() >= Slots.size())
    Slots.resize(Vm.index() + 1);
  std::size_t Wanted =
      Domain.index() * Levels + static_cast<std::size_t>(Level);
  if (Slots[Vm.index()].Bucket == Wanted)
    return;

  remove(Vm);
  if (Buckets.size() < (Domain.index() + 1) * Levels)
    Buckets.resize((Domain.index() + 1) * Levels);
  auto &Bucket = Buckets[Wanted];
  Slots[Vm.index()] = {static_cast<std::uint32_t>(Wanted),
                       static_cast<std::uint32_t>(Bucket.size())};
  Bucket.push_back(Vm);
  ++VmsAtLevel[static_cast<std::size_t>(Level)];
}

void BucketIndex::remove(VmIndex Vm) {
  if (Vm.index() >= Slots.size() || Slots[Vm.index()].Bucket == Absent)
    return;

  Slot &Old = Slots[Vm.index()];
  auto &Bucket = Buckets[Old.Bucket];
  VmIndex Last = Bucket.back();
  Bucket[Old.Position] = Last;
  Slots[Last.index()].Position = Old.Position;
  Bucket.pop_back();
  --VmsAtLevel[Old.Bucket % Levels];
  Old.Bucket = Absent;
}

std::size_t BucketIndex::bytes() const {
  std::size_t Sum = Slots.capacity() * sizeof(Slot) +
                    Buckets.capacity() * sizeof(std::vector<VmIndex>);
  for (const auto &Bucket : Buckets)
    Sum += Bucket.capacity() * sizeof(VmIndex);

  return Sum;
}

} // namespace daisyspool::placement
