#ifndef DAISYSPOOL_ENTRY_TASKPLACER_H
#define DAISYSPOOL_ENTRY_TASKPLACER_H

#include "daisyspool/commitments/Orders.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/jobs/JobTable.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyspool {

/// A VM that was announced and is not leaving.
struct PlaceableVm {
  VmId Vm;
  RackId Rack;
  FailureDomainId Domain;
  Resources Capacity;
};

/// Selects the VM for a task of one shard.
///
/// It counts what this shard has placed on each VM; what other shards placed
/// is known only to the VM's agent, which refuses what does not fit. A VM that
/// refused is not chosen again for a while.
///
/// Thread safety: one thread.
class TaskPlacer {
public:
  void setFleet(std::vector<PlaceableVm> Vms);

  /// Sums the resources that the live tasks of \p Table hold on each VM. Call
  /// it before a round of chooseVm().
  void countHeld(const JobTable &Table);

  /// Returns the VM with a grant whose scarcest resource keeps the largest free
  /// share after \p Need, or nothing. Counts \p Need as held there.
  std::optional<VmId> chooseVm(const Resources &Need,
                               const std::map<VmId, AgentGrant> &Grants);

private:
  std::map<VmId, PlaceableVm> Fleet;
  std::map<VmId, Resources> Held;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_TASKPLACER_H
