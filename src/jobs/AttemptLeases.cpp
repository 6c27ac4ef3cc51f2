#include "daisyspool/jobs/AttemptLeases.h"

#include "daisyspool/journal/Lease.h"

#include <algorithm>

namespace daisyspool {

void AttemptLeases::tookOver(TimePoint Now) {
  Takeover = Now;
  Last.clear();
}

bool AttemptLeases::hasLapsed(const TaskId &Task, TimePoint Now) const {
  TimePoint Granted = Takeover;
  auto Found = Last.find(Task);
  if (Found != Last.end())
    Granted = std::max(Granted, Found->second);

  return Now >= Granted + takeoverWait(TaskLease);
}

} // namespace daisyspool
