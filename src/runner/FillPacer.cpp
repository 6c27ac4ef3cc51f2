#include "daisyspool/runner/FillPacer.h"

#include <algorithm>

namespace daisyspool::runner {

std::uint32_t FillPacer::update(double WorstTailRatio, TimePoint Now) {
  TailRatio = WorstTailRatio;
  if (WorstTailRatio == 0) {
    Percent = 100;
    return Percent;
  }
  if (Now - LastChange < EffectDelay)
    return Percent;

  double Next = Percent;
  if (WorstTailRatio > SlowDownAt)
    Next *= std::max(SetPoint / WorstTailRatio, MinDecreaseFactor);
  else if (WorstTailRatio < SpeedUpBelow)
    Next += std::min(MaxStep, (SetPoint - WorstTailRatio) * StepPerRatio);
  if (Next < MinPercent && WorstTailRatio > SlowDownAt)
    Next = 0;
  Next = std::clamp(Next, 0.0, 100.0);
  if (static_cast<std::uint32_t>(Next) != Percent) {
    Percent = static_cast<std::uint32_t>(Next);
    LastChange = Now;
  }
  return Percent;
}

TailOverrun::Stop TailOverrun::update(double WorstTailRatio, TimePoint Now) {
  if (WorstTailRatio <= 1)
    AboveTargetSince.reset();
  else if (!AboveTargetSince)
    AboveTargetSince = Now;
  if (AboveTargetSince &&
      Now - *AboveTargetSince > MaxAboveTargetWithoutSuspects)
    Level = Stop::All;
  else if (AboveTargetSince && Now - *AboveTargetSince > MaxAboveTarget)
    Level = std::max(Level, Stop::Suspects);
  else if (WorstTailRatio < ResumeBelow)
    Level = Stop::None;
  return Level;
}

} // namespace daisyspool::runner
