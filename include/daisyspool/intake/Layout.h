#ifndef DAISYSPOOL_INTAKE_LAYOUT_H
#define DAISYSPOOL_INTAKE_LAYOUT_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/rows/RowStore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::intake {

// The project's rows. Each partition is written one transaction at a time, so
// what any entry writes is apart from what the leader alone writes.

/// Written by every entry and agent: accepted jobs, cancellations, agents.
inline constexpr const char *IntakeTable = "intake";
/// A partition takes one transaction after the other, each of up to half a
/// second in a slow store; jobs are spread over several by their id.
std::vector<std::string> intakePartitions();

/// Written by the leader alone, each time under the fence's condition.
inline constexpr const char *LeaderPartition = "lead";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *FenceTable = "fence";
inline constexpr const char *TailModelTable = "learned";
/// Who leads, and what every entry needs to know of it. Followed by entries.
inline constexpr const char *LeaderTable = "leader";

rows::RowName jobRow(const JobId &Job);
rows::RowName cancelRow(const JobId &Job);
rows::RowName agentRow(const VmId &Vm);
rows::RowName progressRow(const JobId &Job);
rows::RowName fenceRow();
rows::RowName tailModelRow();
rows::RowName leaderRow();

/// The job or VM of a row's key with the given kind, or nothing.
std::optional<JobId> jobIdFromKey(std::string_view Key);
std::optional<JobId> cancelledJobIdFromKey(std::string_view Key);
std::optional<VmId> agentVmIdFromKey(std::string_view Key);

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_LAYOUT_H
