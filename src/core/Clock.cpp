#include "daisyspool/core/Clock.h"

#include <cassert>
#include <ctime>

namespace daisyspool {

TimePoint SystemClock::now() const {
  // CLOCK_MONOTONIC stops while the VM is suspended, which would let a paused
  // lease holder treat an expired lease as valid.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);

  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

WallMillis SystemClock::wallNow() const {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<WallMillis>(Now);
}

void ManualClock::advance(Duration Step) {
  assert(Step >= Duration::zero());
  Current += Step;
}

} // namespace daisyspool
