#include "daisyspool/scheduling/VmHistory.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// How long a VM counts as unsteady after its first loss; doubled by each
/// further one. Longer than a batch task takes, so that a worker that is lost
/// again soon takes little work with it.
constexpr Millis FirstHold{2000};
constexpr Millis MaxHold{16000};
/// A VM without a loss for this long is as good as any other.
constexpr Millis Memory{20000};

} // namespace

void VmHistory::recordLoss(TimePoint Now) {
  bool Recent = RecentLosses > 0 && Now - LastLoss < Memory;
  RecentLosses = Recent ? RecentLosses + 1 : 1;
  LastLoss = Now;
  recordReturn(Now);
}

void VmHistory::recordReturn(TimePoint Now) {
  if (RecentLosses == 0 || Now - LastLoss >= Memory)
    return;
  std::uint32_t Doublings = std::min<std::uint32_t>(RecentLosses - 1, 8);
  UnsteadyUntil = Now + std::min(FirstHold * (1 << Doublings), MaxHold);
}

} // namespace daisyspool::scheduling
