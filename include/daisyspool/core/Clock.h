#ifndef DAISYSPOOL_CORE_CLOCK_H
#define DAISYSPOOL_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace daisyspool {

using Duration = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;

struct MonotonicTag {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
};

/// A point on one process's monotonic clock. Time points of different processes
/// are not comparable, so processes send each other durations instead.
using TimePoint = std::chrono::time_point<MonotonicTag, Duration>;

/// Milliseconds since the Unix epoch, for records and logs. Never used to
/// decide whether a lease is valid.
using WallMillis = std::chrono::duration<std::int64_t, std::milli>;

/// Source of time, so that the same code runs in real time and in the virtual
/// time of tests and simulations.
///
/// Thread safety: implementations are safe to call from any thread.
class Clock {
public:
  Clock() = default;
  Clock(const Clock &) = delete;
  Clock &operator=(const Clock &) = delete;
  virtual ~Clock() = default;

  /// Monotonic time that includes time during which the VM was suspended, so
  /// that a lease expires while its holder is paused.
  virtual TimePoint now() const = 0;

  /// Wall-clock time, for records only.
  virtual WallMillis wallNow() const = 0;
};

/// Real time from CLOCK_BOOTTIME.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallMillis wallNow() const override;
};

/// Virtual time that a test or a benchmark advances explicitly.
///
/// Thread safety: for one thread only.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Current; }
  WallMillis wallNow() const override {
    return std::chrono::duration_cast<WallMillis>(Current.time_since_epoch());
  }

  /// Moves time forward. Precondition: \p Step is not negative.
  void advance(Duration Step);

private:
  TimePoint Current{};
};

} // namespace daisyspool

#endif // DAISYSPOOL_CORE_CLOCK_H
