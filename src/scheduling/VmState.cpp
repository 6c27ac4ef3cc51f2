#include "daisyspool/scheduling/VmState.h"

namespace daisyspool::scheduling {

void VmState::assign(const TaskName &Task, const Assignment &Run) {
  Assigned.emplace(Task, Run);
  clearExpectedTails();
  Preemptible.reset();
  Held = Held + Run.Held;
  BestEffortCpu += Run.BestEffortCpu;
  if (Run.TailTarget > Millis(0))
    ServingHeldCpu += Run.Held.Cpu;
}

void VmState::markStopping(Assignment &Run) {
  Run.Stopping = true;
  if (!Preemptible)
    return;
  Preemptible->StoppingHeld = Preemptible->StoppingHeld + Run.Held;
  if (isPreemptible(Run, Preemptible->Priority))
    Preemptible->Held = Preemptible->Held - Run.Held;
}

void VmState::release(const TaskName &Task) {
  auto Found = Assigned.find(Task);
  if (Found == Assigned.end())
    return;

  clearExpectedTails();
  Preemptible.reset();
  Held = Held - Found->second.Held;
  BestEffortCpu -= Found->second.BestEffortCpu;
  if (Found->second.TailTarget > Millis(0))
    ServingHeldCpu -= Found->second.Held.Cpu;
  Assigned.erase(Found);
}

void VmState::recordEnds(CommitNumber Durable) {
  while (!UnrecordedEnds.empty()) {
    const AppliedEnd &Next = UnrecordedEnds.front();
    if (Next.Commit == CommitNumber{} || Next.Commit > Durable)
      return;
    EndsRecorded = Next.Number;
    UnrecordedEnds.pop_front();
  }
}

} // namespace daisyspool::scheduling
