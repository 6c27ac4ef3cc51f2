#ifndef DAISYSPOOL_SCHEDULING_VMCHOICE_H
#define DAISYSPOOL_SCHEDULING_VMCHOICE_H

#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/TailModel.h"
#include "daisyspool/scheduling/VmState.h"

#include <map>
#include <vector>

namespace daisyspool::scheduling {

/// What one task asks of a VM.
struct VmRequest {
  const workload::StepDefinition *Step = nullptr;
  ServiceId Service;
  /// VMs on which the task has failed; used only if no other fits.
  const std::vector<VmId> *Avoid = nullptr;
  /// Tasks of the same step and occurrence by VM.
  const std::map<VmId, std::uint32_t> *Siblings = nullptr;
  /// Needed for a step that fills idle processors.
  const TailModel *Tails = nullptr;
  /// The job has nothing running and has waited long: the best VM will do,
  /// also where a filling task has to work slowly.
  bool Starved = false;
};

/// What a task holds of a VM's capacity: nothing of the processors if it only
/// fills idle ones.
Resources heldBy(const workload::StepDefinition &Step);

/// Whether \p Vm may run the task at all, now and with room.
bool admits(const VmState &Vm, const VmRequest &Request, const Resources &Free,
            TimePoint Now);

/// The VM for a task, or null if none has room.
///
/// Load patterns: short urgent tasks are packed (best fit on processors), so
/// that wide holes stay for the large ones in a burst of long tasks; serving
/// tasks are grouped by image, so that batch that fills finds VMs with services
/// that it leaves alone; filling tasks go where the expected tail is least,
/// then where most processors are idle.
VmState *chooseVm(std::vector<VmState *> &Vms, const VmRequest &Request,
                  TimePoint Now);

/// The VM on which a task of a service that found no room will soonest have
/// it, as other tasks there end by themselves; null if none would, and for
/// other tasks. Load pattern: short tasks that fill each piece of room before
/// the pieces are large enough for a service.
VmState *chooseReservation(std::vector<VmState *> &Vms,
                           const VmRequest &Request, TimePoint Now);

/// Work of lower priority that gives way on one VM.
struct Preemption {
  VmState *Vm = nullptr;
  std::vector<TaskName> Victims;
};

/// The VM on which stopping work of a lower priority than \p Priority loses
/// least, or a null VM if none can make room. Load pattern: an urgent burst
/// onto a fleet that long batch tasks fill.
Preemption choosePreemption(std::vector<VmState *> &Vms,
                            const VmRequest &Request, int Priority,
                            const std::map<VmId, Resources> &Claimed,
                            TimePoint Now);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_VMCHOICE_H
