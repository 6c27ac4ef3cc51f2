#include "daisyspool/runner/LeaseClock.h"

namespace daisyspool::runner {

void LeaseClock::observe(WorkerClock Reading, TimePoint ReceivedAt) {
  Newest = Observation{Reading, ReceivedAt};
}

std::optional<WorkerClock> LeaseClock::toWorkerClock(TimePoint End) const {
  if (!Newest)
    return std::nullopt;

  auto Ahead = std::chrono::duration_cast<Millis>(End - Newest->ReceivedAt);
  return Newest->Reading +
         WorkerClock(Ahead.count() * (1000 - MaxSlowPerMille) / 1000);
}

} // namespace daisyspool::runner
