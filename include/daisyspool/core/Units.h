#ifndef DAISYSPOOL_CORE_UNITS_H
#define DAISYSPOOL_CORE_UNITS_H

#include <compare>
#include <cstdint>

namespace daisyspool {

/// An integer amount of one unit; amounts of different units do not convert to
/// each other.
///
/// Thread safety: a value type, as safe as std::int64_t.
template <typename Tag> class Quantity {
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t Amount) : Amount(Amount) {}

  constexpr std::int64_t value() const { return Amount; }

  constexpr Quantity operator+(Quantity Other) const {
    return Quantity(Amount + Other.Amount);
  }
  constexpr Quantity operator-(Quantity Other) const {
    return Quantity(Amount - Other.Amount);
  }
  constexpr Quantity &operator+=(Quantity Other) {
    Amount += Other.Amount;
    return *this;
  }
  constexpr Quantity &operator-=(Quantity Other) {
    Amount -= Other.Amount;
    return *this;
  }

  constexpr auto operator<=>(const Quantity &) const = default;

private:
  std::int64_t Amount = 0;
};

/// CPU capacity in thousandths of a core.
using MilliCores = Quantity<struct MilliCoresTag>;
/// Memory in mebibytes.
using MebiBytes = Quantity<struct MebiBytesTag>;
/// Whole accelerators.
using Accelerators = Quantity<struct AcceleratorsTag>;

/// Resources that a task requires or a VM provides.
struct Resources {
  MilliCores Cpu;
  MebiBytes Memory;
  Accelerators Accelerator;

  constexpr Resources operator+(const Resources &Other) const {
    return {Cpu + Other.Cpu, Memory + Other.Memory,
            Accelerator + Other.Accelerator};
  }
  constexpr Resources operator-(const Resources &Other) const {
    return {Cpu - Other.Cpu, Memory - Other.Memory,
            Accelerator - Other.Accelerator};
  }

  /// Whether every dimension is at most that of \p Capacity.
  constexpr bool fitsIn(const Resources &Capacity) const {
    return Cpu <= Capacity.Cpu && Memory <= Capacity.Memory &&
           Accelerator <= Capacity.Accelerator;
  }

  constexpr bool operator==(const Resources &) const = default;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_UNITS_H
