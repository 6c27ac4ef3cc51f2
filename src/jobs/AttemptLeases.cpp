#include "daisyspool/jobs/AttemptLeases.h"

#include "daisyspool/journal/Lease.h"

#include <algorithm>

namespace daisyspool {

void AttemptLeases::assumeAllGranted(TimePoint Now) {
  AssumedGranted = Now;
  LastGranted.clear();
}

bool AttemptLeases::hasExpired(const TaskId &Task, TimePoint Now) const {
  TimePoint Granted = AssumedGranted;
  auto Found = LastGranted.find(Task);
  if (Found != LastGranted.end())
    Granted = std::max(Granted, Found->second);

  return Now >= Granted + takeoverWait(TaskLease);
}

} // namespace daisyspool
