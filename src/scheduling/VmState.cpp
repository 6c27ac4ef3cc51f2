#include "daisyspool/scheduling/VmState.h"

namespace daisyspool::scheduling {

void VmState::assign(const TaskName &Task, const Assignment &What) {
  Assigned.emplace(Task, What);
  Held = Held + What.Held;
  Filling += What.Filling;
}

void VmState::release(const TaskName &Task) {
  auto Found = Assigned.find(Task);
  if (Found == Assigned.end())
    return;

  Held = Held - Found->second.Held;
  Filling -= Found->second.Filling;
  Assigned.erase(Found);
}

} // namespace daisyspool::scheduling
