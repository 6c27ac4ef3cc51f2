#ifndef DAISYSPOOL_SCHEDULING_VMHISTORY_H
#define DAISYSPOOL_SCHEDULING_VMHISTORY_H

#include "daisyspool/core/Clock.h"

#include <cstdint>

namespace daisyspool::scheduling {

/// What the leader has seen of the lives of a VM's workers.
///
/// Load pattern: some workers go down and up again every second. After each
/// return they look like the VMs with most room, so that the queue goes there
/// and is lost with them, or waits until they answer again.
///
/// A new leader begins without a history: it sees the next loss of a flapping
/// worker within its period, which is sooner than a stored row would be worth
/// its writes.
///
/// Thread safety: one thread at a time. Does no I/O.
class VmHistory {
public:
  /// Records that the worker ended or went silent without having announced it.
  void recordLoss(TimePoint Now);

  /// Records that the VM has a worker again.
  void recordReturn(TimePoint Now);

  /// Whether other VMs are preferred for all tasks. Long-running tasks are
  /// placed here only if they have waited for long.
  bool isUnsteady(TimePoint Now) const { return Now < UnsteadyUntil; }

  /// Whether the VM was lost more than once in a short time.
  bool isFlapping(TimePoint Now) const {
    return RecentLosses > 1 && isUnsteady(Now);
  }

  std::uint32_t recentLosses() const { return RecentLosses; }

private:
  std::uint32_t RecentLosses = 0;
  TimePoint LastLoss{};
  TimePoint UnsteadyUntil{};
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_VMHISTORY_H
