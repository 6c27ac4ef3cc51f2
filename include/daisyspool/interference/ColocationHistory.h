#ifndef DAISYSPOOL_INTERFERENCE_COLOCATIONHISTORY_H
#define DAISYSPOOL_INTERFERENCE_COLOCATIONHISTORY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/placement/Handles.h"

#include <cstdint>
#include <vector>

namespace daisyspool::interference {

using placement::KindIndex;
using placement::TaskIndex;
using placement::VmIndex;

/// A task that shared a VM during a window.
struct Neighbour {
  TaskIndex Task;
  KindIndex Kind;
  /// Fraction of the window in which it ran, times its unthrottled share of its
  /// processors, in [0, 1].
  double Presence = 0;
  /// Whether the task is still on the VM.
  bool Current = false;
};

/// Records which tasks shared a VM in the recent past. Slowdown reports arrive
/// late, so a slowdown must be attributed to the neighbours at the time of the
/// measurement, not to the current ones.
///
/// Thread safety: one thread at a time.
class ColocationHistory {
public:
  /// \p Retention is the maximum age of a report window whose neighbours are
  /// kept.
  explicit ColocationHistory(Millis Retention) : Retention(Retention) {}

  /// Records that a task starts on \p Vm, or that it now runs with \p Share of
  /// its processors.
  void enter(VmIndex Vm, TaskIndex Task, KindIndex Kind, TimePoint Now,
             double Share = 1);
  void leave(VmIndex Vm, TaskIndex Task, TimePoint Now);

  /// Tasks on \p Vm between \p From and \p To, one entry for each.
  std::vector<Neighbour> neighboursDuring(VmIndex Vm, TimePoint From,
                                          TimePoint To) const;

  std::size_t bytes() const;

private:
  static constexpr std::uint32_t Running = 0xffffffff;
  /// Times are in tenths of a second, the share in 255ths.
  struct Interval {
    TaskIndex Task;
    std::uint32_t From = 0;
    std::uint32_t To = Running;
    KindIndex Kind;
    std::uint8_t Share = 255;
    /// Whether it follows an interval of the same task; handles are reused by
    /// later tasks.
    bool ContinuesPrevious = false;
  };

  bool closeInterval(VmIndex Vm, TaskIndex Task, TimePoint Now);

  void prune(std::vector<Interval> &Intervals, std::uint32_t Now) const;

  Millis Retention;
  std::vector<std::vector<Interval>> Vms;
};

} // namespace daisyspool::interference

#endif // DAISYSPOOL_INTERFERENCE_COLOCATIONHISTORY_H
