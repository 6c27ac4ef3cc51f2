#ifndef DAISYSPOOL_ADMISSION_WORKCLASS_H
#define DAISYSPOOL_ADMISSION_WORKCLASS_H

#include "daisyspool/core/WorkClass.h"

#include <cstddef>
#include <cstdint>

namespace daisyspool {

/// What a request occupies at its target while it runs. Every request holds a
/// connection; only one that computes also holds a slot.
enum class Occupancy : std::uint8_t { Slot, ConnectionOnly };

inline constexpr std::size_t OccupancyCount = 2;

/// A set of work classes.
///
/// Thread safety: a value type.
class ClassSet {
public:
  static constexpr ClassSet all() { return ClassSet(0xF); }

  constexpr bool contains(WorkClass Class) const { return Bits & bit(Class); }
  constexpr bool empty() const { return Bits == 0; }
  constexpr ClassSet without(WorkClass Class) const {
    return ClassSet(static_cast<std::uint8_t>(Bits & ~bit(Class)));
  }

private:
  constexpr explicit ClassSet(std::uint8_t Bits) : Bits(Bits) {}
  static constexpr std::uint8_t bit(WorkClass Class) {
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(Class));
  }

  std::uint8_t Bits;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMISSION_WORKCLASS_H
