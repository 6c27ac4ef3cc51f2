#include "daisyspool/scheduling/VmState.h"

namespace daisyspool::scheduling {

void VmState::assign(const TaskName &Task, const Assignment &What) {
  Assigned.emplace(Task, What);
  dropExpectedTails();
  Held = Held + What.Held;
  Filling += What.Filling;
  if (What.TailTarget > Millis(0))
    ServingHeld += What.Held.Cpu;
}

void VmState::release(const TaskName &Task) {
  auto Found = Assigned.find(Task);
  if (Found == Assigned.end())
    return;

  dropExpectedTails();
  Held = Held - Found->second.Held;
  Filling -= Found->second.Filling;
  if (Found->second.TailTarget > Millis(0))
    ServingHeld -= Found->second.Held.Cpu;
  Assigned.erase(Found);
}

} // namespace daisyspool::scheduling
