#ifndef DAISYSPOOL_LEADERSHIP_SUCCESSION_H
#define DAISYSPOOL_LEADERSHIP_SUCCESSION_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/leadership/LeaderRecord.h"

#include <array>
#include <cstddef>
#include <optional>

namespace daisyspool::leadership {

/// How long an entry with \p Own processors waits before it takes over from
/// \p Leader, a leader that has stopped.
///
/// Load pattern: the leader of hundreds of VMs dies and the entries differ in
/// processor share. The first to take over is the nearest to the store, and one
/// with too small a share falls seconds behind. Entries smaller than the last
/// leader therefore give the others time to take over first.
///
/// Thread safety: safe from any thread.
Millis takeoverDelay(MilliCores Own, const LeaderStatus &Leader);

/// Whether an entry with \p Own processors should replace a running leader that
/// reports that it is overloaded.
///
/// Thread safety: safe from any thread.
bool shouldRelieve(MilliCores Own, const LeaderStatus &Leader);

/// Learns how regularly a leader renews its status, so that its loss shows
/// earlier than the limit that a slow store requires.
///
/// Load pattern: the store turns the leader away, or its machine is lost, while
/// work arrives. Nothing starts until another entry leads.
///
/// Thread safety: one thread at a time.
class RenewalRhythm {
public:
  /// Records a renewal by the leader of \p Term received at \p Now, which is
  /// not earlier than in the last call.
  void observe(Epoch Term, TimePoint Now);

  /// How long after its last renewal a leader counts as overdue: a margin
  /// beyond the longest of its recent intervals, and at most \p Limit. \p Limit
  /// while too few intervals are known.
  Millis patience(Millis Limit) const;

private:
  static constexpr std::size_t IntervalCount = 8;

  Epoch Observed;
  std::optional<TimePoint> LastAt;
  /// The newest intervals, in no order.
  std::array<Millis, IntervalCount> Intervals{};
  std::size_t Total = 0;
};

/// Detects that a process no longer keeps up with its work, by how late its
/// periodic timer runs.
///
/// Load pattern: a leader with too little processor time handles each event
/// later than the last, while it still renews its status in time. A single long
/// delay, such as a pause of the machine, does not count.
///
/// Thread safety: one thread at a time.
class LagMonitor {
public:
  /// Records that a timer ran \p Lag after its due time. Precondition: \p Now
  /// is not earlier than in the last call.
  void observe(Millis Lag, TimePoint Now);

  /// Whether the lag has been high for long enough to call it an overload.
  bool isOverloaded(TimePoint Now) const;

  /// The lag, averaged over the last timers.
  Millis lag() const { return Millis(static_cast<std::int64_t>(Smoothed)); }

private:
  /// Weight of a new measurement in the average.
  static constexpr double Gain = 0.3;
  /// A single measurement counts as no more than this, in ms.
  static constexpr double MaxSample = 1000;
  /// Average lag of an overloaded process, in ms. A calm leader stays below 20;
  /// at 100 to 300 a large change feed already takes seconds to read.
  static constexpr double OverloadLag = 100;
  /// How long the average must stay that high.
  static constexpr Millis SustainedFor{1500};

  double Smoothed = 0;
  std::optional<TimePoint> HighSince;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_SUCCESSION_H
