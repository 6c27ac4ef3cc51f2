#include "daisyspool/intake/RefusalAdvice.h"

#include <algorithm>
#include <cstddef>

namespace daisyspool::intake {

namespace {

/// The usual deadline of a caller: a job that was refused earlier is not
/// retried any more.
constexpr Millis Memory{3000};
constexpr std::size_t MaxRefusals = 256;
/// Lets a caller with four retries reach the end of its usual deadline.
constexpr Millis WidespreadDelay{1000};

} // namespace

Millis RefusalAdvice::onRefused(const JobId &Job, TimePoint Now) {
  while (!Recent.empty() &&
         (Now - Recent.front().At > Memory || Recent.size() >= MaxRefusals))
    Recent.pop_front();
  if (std::any_of(Recent.begin(), Recent.end(),
                  [&Job](const Refusal &Each) { return Each.Job == Job; }))
    ReturnedAt = Now;
  Recent.push_back({Job, Now});
  return retryAfter(Now);
}

Millis RefusalAdvice::retryAfter(TimePoint Now) const {
  bool Widespread = ReturnedAt && Now - *ReturnedAt <= Memory;
  return Widespread ? WidespreadDelay : Millis(0);
}

} // namespace daisyspool::intake
