#ifndef DAISYSPOOL_SCHEDULING_VMCHOICE_H
#define DAISYSPOOL_SCHEDULING_VMCHOICE_H

#include "daisyspool/scheduling/JobProgress.h"
#include "daisyspool/scheduling/TailModel.h"
#include "daisyspool/scheduling/VmState.h"

#include <map>
#include <set>
#include <vector>

namespace daisyspool::scheduling {

/// Assumed share of a service's processors that is in use.
inline constexpr std::int64_t ServingCpuUsePercent = 50;

/// The placement requirements of one task.
struct VmRequest {
  const workload::StepDefinition *Step = nullptr;
  ServiceId Service;
  /// VMs on which the task has failed; used only if no other fits.
  const std::set<VmId> *AvoidedVms = nullptr;
  /// Number of tasks of the same step and occurrence, by VM.
  const std::map<VmId, std::uint32_t> *SiblingsByVm = nullptr;
  /// Required for a best-effort step.
  const TailModel *Tails = nullptr;
  /// The job has had no run for a long time: the best VM is used even if a
  /// best-effort task would run slowly there.
  bool Starved = false;
  /// A serving task has found no VM for a while: probation and the share of a
  /// service on one VM are disregarded.
  bool LastResort = false;
};

/// The resources that a task of \p Step holds on its VM; no processors for a
/// best-effort step (FillsIdleCpu).
Resources heldResources(const workload::StepDefinition &Step);

/// Whether \p Vm can take the task now, given \p Free resources.
bool isFeasible(const VmState &Vm, const VmRequest &Request,
                const Resources &Free, TimePoint Now);

/// Selects the VM for a task, or null if none has room.
///
/// Load patterns: short urgent tasks are packed (best fit on processors), so
/// that large ones still find room in a burst of long tasks; serving tasks are
/// grouped by image, so that best-effort batch finds VMs with services that it
/// does not slow down; best-effort tasks go where the expected tail is lowest,
/// then where most processors are idle.
VmState *chooseVm(std::vector<VmState *> &Vms, const VmRequest &Request,
                  TimePoint Now);

/// Selects the VM on which to keep room for a long-running task that fits
/// nowhere: the one with most free processors among those where it fits once
/// the other tasks have ended. Null if there is none, and for tasks that are
/// not long-running. Load pattern: short tasks that use freed resources before
/// these suffice for a service.
VmState *chooseReservation(std::vector<VmState *> &Vms,
                           const VmRequest &Request, TimePoint Now);

/// The runs to preempt on one VM.
struct Preemption {
  VmState *Vm = nullptr;
  std::vector<TaskName> Victims;
};

/// Selects the VM on which the fewest runs of lower priority than \p Priority
/// must be stopped, or a null VM if none can make room. \p PreemptionClaims has
/// the resources already being freed for other tasks. Load pattern: an urgent
/// burst onto a fleet full of long batch tasks.
Preemption choosePreemption(std::vector<VmState *> &Vms,
                            const VmRequest &Request, int Priority,
                            const std::map<VmId, Resources> &PreemptionClaims,
                            TimePoint Now);

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_VMCHOICE_H
