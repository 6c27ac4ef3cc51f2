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
  /// Part of the window that it ran, times its unthrottled part, in [0, 1].
  double Presence = 0;
  /// Still on the VM.
  bool Current = false;
};

/// Who ran beside whom in the recent past. Reports lag, so a slowdown must be
/// compared with the neighbours of the time it was measured, not of now.
///
/// Thread safety: one thread at a time.
class ColocationHistory {
public:
  /// \p Retention is the greatest age of a report's window that is answered.
  explicit ColocationHistory(Millis Retention) : Retention(Retention) {}

  /// A task starts on \p Vm, or its throttle changes to \p Share of its
  /// processors.
  void enter(VmIndex Vm, TaskIndex Task, KindIndex Kind, TimePoint Now,
             double Share = 1);
  void leave(VmIndex Vm, TaskIndex Task, TimePoint Now);

  /// Tasks on \p Vm between \p From and \p To, one entry for each.
  std::vector<Neighbour> during(VmIndex Vm, TimePoint From, TimePoint To) const;

  std::size_t bytes() const;

private:
  static constexpr std::uint32_t Running = 0xffffffff;
  /// Times are in tenths of a second, the share in 255ths.
  struct Stay {
    TaskIndex Task;
    std::uint32_t From = 0;
    std::uint32_t To = Running;
    KindIndex Kind;
    std::uint8_t Share = 255;
    /// Follows a stay of the same task; handles are used again by later tasks.
    bool Continues = false;
  };

  bool close(VmIndex Vm, TaskIndex Task, TimePoint Now);

  void prune(std::vector<Stay> &Stays, std::uint32_t Now) const;

  Millis Retention;
  std::vector<std::vector<Stay>> Vms;
};

} // namespace daisyspool::interference

#endif // DAISYSPOOL_INTERFERENCE_COLOCATIONHISTORY_H
