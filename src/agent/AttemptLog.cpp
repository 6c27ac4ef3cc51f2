#include "daisyspool/agent/AttemptLog.h"

#include <cassert>
#include <utility>

namespace daisyspool {

bool AttemptLog::begin(const AttemptKey &Key) {
  return Attempts.try_emplace(Key, Running{}).second;
}

void AttemptLog::finish(const AttemptKey &Key, wire::ServeReply Answer,
                        TimePoint Now) {
  auto Found = Attempts.find(Key);
  assert(Found != Attempts.end());
  Found->second = Finished{std::move(Answer)};
  Expiries.push_back({Now + Retention, Key});
}

AttemptLog::State AttemptLog::query(const AttemptKey &Key, TimePoint Now) {
  auto [Found, Unknown] = Attempts.try_emplace(Key, Barred{});
  if (Unknown)
    Expiries.push_back({Now + Retention, Key});

  return Found->second;
}

void AttemptLog::expire(TimePoint Now) {
  while (!Expiries.empty() && Expiries.front().At <= Now) {
    Attempts.erase(Expiries.front().Key);
    Expiries.pop_front();
  }
}

} // namespace daisyspool
