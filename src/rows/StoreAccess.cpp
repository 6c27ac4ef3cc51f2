#include "daisyspool/rows/StoreAccess.h"

#include <algorithm>

namespace daisyspool::rows {

namespace {

/// Fewer failures are no evidence, because a store may turn away or lose a
/// single call.
constexpr std::uint64_t MinFailures = 2;
/// The failures must spread over this time; calls made at the same moment fail
/// for the same short disruption.
constexpr Millis MinSpread{100};
/// Older failures say nothing about the next call. Exceeds the timeout of a
/// change feed, which is the only call of an idle entry with a silent store.
constexpr Millis EvidenceLifetime{2500};
/// Delay between probes: short compared with the time that a caller waits for a
/// response, long compared with the response time of the store.
constexpr Millis ProbeInterval{300};

} // namespace

void StoreAccess::onAnswer(TimePoint SentAt) {
  if (SinceAnswer && SentAt >= SinceAnswer->FirstSentAt)
    SinceAnswer.reset();
}

void StoreAccess::onFailure(TimePoint SentAt, TimePoint Now) {
  if (!SinceAnswer || Now - SinceAnswer->LastAt > EvidenceLifetime)
    SinceAnswer = Failures{SentAt, Now, Now, 0};
  SinceAnswer->FirstSentAt = std::min(SinceAnswer->FirstSentAt, SentAt);
  SinceAnswer->LastAt = Now;
  ++SinceAnswer->Count;
}

bool StoreAccess::isLost(TimePoint Now) const {
  return SinceAnswer && SinceAnswer->Count >= MinFailures &&
         SinceAnswer->LastAt - SinceAnswer->FirstAt >= MinSpread &&
         Now - SinceAnswer->LastAt <= EvidenceLifetime;
}

bool StoreAccess::tryBeginProbe(TimePoint Now) {
  if (LastProbeAt && Now - *LastProbeAt < ProbeInterval)
    return false;
  LastProbeAt = Now;
  return true;
}

} // namespace daisyspool::rows
