#ifndef DAISYSPOOL_CORE_RANDOM_H
#define DAISYSPOOL_CORE_RANDOM_H

#include <cassert>
#include <cstdint>
#include <random>

namespace daisyspool {

/// Seeded random source. The same seed gives the same values on every run,
/// which the distributions of the standard library do not guarantee across
/// implementations.
///
/// Thread safety: one thread at a time.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  std::uint64_t next() { return Engine(); }

  /// Uniform in [0, Bound). Precondition: \p Bound is not zero.
  std::uint64_t below(std::uint64_t Bound) {
    assert(Bound != 0);
    return Engine() % Bound;
  }

  /// Uniform in [0, 1).
  double unit() { return static_cast<double>(Engine() >> 11) * 0x1.0p-53; }

private:
  std::mt19937_64 Engine;
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_RANDOM_H
