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

  std::uint32_t Next = Percent;
  if (WorstTail > SlowDownAt)
    Next = Percent / 2 < LeastPercent ? 0 : Percent / 2;
  else if (WorstTail < SpeedUpBelow)
    Next = std::min(100U, Percent + Step);
  if (Next != Percent) {
    Percent = Next;
    LastChange = Now;
  }
  return Percent;
}

} // namespace daisyspool::runner
