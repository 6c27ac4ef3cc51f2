#include "daisyspool/scheduling/DrainPlan.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// Time that a stop order takes to reach the worker and to take effect: one
/// sync, and up to 900 ms at the worker.
constexpr Millis StopTime{1000};
/// Forecasts below this are not told apart from 0: listings are that old.
constexpr Millis ForecastMargin{300};

LeavingAction chooseForService(const LeavingRun &Run, Millis TimeLeft) {
  if (TimeLeft <= StopTime)
    return LeavingAction::Move;
  if (!Run.HasRoomElsewhere)
    return LeavingAction::Stay;
  // A step that allows none has to move one at a time: its tasks end with their
  // worker otherwise.
  bool Allowed = !Run.MaxUnavailable ||
                 Run.Unavailable < std::max(*Run.MaxUnavailable, 1U);
  return Allowed ? LeavingAction::Move : LeavingAction::Stay;
}

} // namespace

LeavingAction chooseLeavingAction(const LeavingRun &Run, Millis TimeLeft) {
  if (Run.LongRunning)
    return chooseForService(Run, TimeLeft);
  if (Run.ExpectedRest + ForecastMargin <= TimeLeft)
    return LeavingAction::Stay;
  if (Run.Checkpoints)
    return Run.HasRoomElsewhere || TimeLeft <= StopTime ? LeavingAction::Move
                                                        : LeavingAction::Stay;
  // All work of the run is lost in either case, so it is given up only for a
  // start that can follow at once. One member's stop would end its whole gang.
  return Run.HasRoomElsewhere && !Run.Gang ? LeavingAction::Move
                                           : LeavingAction::Stay;
}

} // namespace daisyspool::scheduling
