#include "daisyspool/runner/FillPacer.h"

#include <algorithm>

namespace daisyspool::runner {

std::uint32_t FillPacer::update(double WorstTail, TimePoint Now) {
  if (WorstTail == 0) {
    Percent = 100;
    return Percent;
  }
  if (Now - LastChange < EffectDelay)
    return Percent;

  double Next = Percent;
  if (WorstTail > SlowDownAt)
    Next *= std::max(Aim / WorstTail, LeastFactor);
  else if (WorstTail < SpeedUpBelow)
    Next += std::min(MaxStep, (Aim - WorstTail) * StepPerTail);
  if (Next < LeastPercent && WorstTail > SlowDownAt)
    Next = 0;
  Next = std::clamp(Next, 0.0, 100.0);
  if (static_cast<std::uint32_t>(Next) != Percent) {
    Percent = static_cast<std::uint32_t>(Next);
    LastChange = Now;
  }
  return Percent;
}

TailOverrun::Stop TailOverrun::update(double WorstTail, TimePoint Now) {
  if (WorstTail <= 1)
    Since.reset();
  else if (!Since)
    Since = Now;
  if (Since && Now - *Since > MaxOverBesideSuspects)
    Level = Stop::All;
  else if (Since && Now - *Since > MaxOver)
    Level = std::max(Level, Stop::Suspects);
  else if (WorstTail < EndsBelow)
    Level = Stop::None;
  return Level;
}

} // namespace daisyspool::runner
