#ifndef DAISYSPOOL_SCHEDULING_DRAINPLAN_H
#define DAISYSPOOL_SCHEDULING_DRAINPLAN_H

#include "daisyspool/core/Clock.h"

#include <cstdint>
#include <optional>

namespace daisyspool::scheduling {

/// A run on a worker that has announced that it leaves.
struct LeavingRun {
  bool LongRunning = false;
  bool Checkpoints = false;
  bool Gang = false;
  /// Expected time until the run ends; not used for a long-running task.
  Millis ExpectedRest{0};
  /// Another VM has room for the task now.
  bool HasRoomElsewhere = false;
  /// Of a long-running task: how many tasks of its step are not at work, and
  /// how many may be because of the scheduler's own actions.
  std::uint32_t Unavailable = 0;
  std::optional<std::uint32_t> MaxUnavailable;
};

enum class LeavingAction : std::uint8_t {
  /// The run goes on where it is.
  Stay,
  /// The run is stopped, with a checkpoint if it has any, and starts elsewhere.
  Move
};

/// Decides what happens to a run while its worker has \p TimeLeft at least.
///
/// Load pattern: a release drains a tenth of a nearly full fleet at once. Runs
/// that end in time are left alone. A long-running task leaves only for a VM
/// with room, and few tasks of a step leave together, so that its users do not
/// lose the whole service while all its tasks compete for the same room. When
/// the time runs out, what can resume or must restart is moved in any case: a
/// stop keeps all progress, while a run that ends with its worker loses what it
/// has done since its last checkpoint and is missed only seconds later.
LeavingAction chooseLeavingAction(const LeavingRun &Run, Millis TimeLeft);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_DRAINPLAN_H
