#ifndef DAISYSPOOL_ROWS_STOREACCESS_H
#define DAISYSPOOL_ROWS_STOREACCESS_H

#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool::rows {

/// Whether the store serves this process, concluded from all of its calls.
///
/// Load pattern: the store turns some machines away, or no longer answers them,
/// and serves the others. Callers of such a machine are served sooner by
/// another entry, so they must not wait for calls whose failure is predictable.
///
/// Access counts as lost after several failures without an answer in between.
/// Single failures do not count, because a store that limits the rate of writes
/// or loses answers still serves the process.
///
/// Thread safety: for one thread only.
class StoreAccess {
public:
  /// Records that the store executed or examined a call that was sent at
  /// \p SentAt. An answer to a call that was sent before the first failed one,
  /// such as a feed that was waiting, does not show that access is regained.
  void onAnswer(TimePoint SentAt);

  /// Records at \p Now that a call sent at \p SentAt was turned away or got no
  /// answer.
  void onFailure(TimePoint SentAt, TimePoint Now);

  /// Whether a call made at \p Now is expected to fail.
  bool isLost(TimePoint Now) const;

  /// Whether a call may be made at \p Now to find out if access is regained,
  /// although it is lost. Each call that returns true counts as a probe.
  bool tryBeginProbe(TimePoint Now);

private:
  struct Failures {
    TimePoint FirstSentAt{};
    TimePoint FirstAt{};
    TimePoint LastAt{};
    std::uint64_t Count = 0;
  };

  std::optional<Failures> SinceAnswer;
  std::optional<TimePoint> LastProbeAt;
};

} // namespace daisyspool::rows

#endif // DAISYSPOOL_ROWS_STOREACCESS_H
