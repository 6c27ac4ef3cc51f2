#ifndef DAISYSPOOL_INTAKE_LAYOUT_H
#define DAISYSPOOL_INTAKE_LAYOUT_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/rows/RowStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::intake {

// Tables and rows in the store. The transactions of a partition are applied one
// at a time, so rows that any entry writes are in other partitions than those
// that only the leader writes.

/// Accepted jobs, cancellations and agents; written by every entry and agent.
inline constexpr const char *IntakeTable = "intake";
/// The partitions of IntakeTable and WithdrawnTable. Jobs are spread over them
/// by id, as a partition applies one transaction at a time, each of up to half
/// a second in a slow store.
std::vector<std::string> intakePartitions();

/// Ids under which no job may be stored, each in the partition of the id's job;
/// written by every entry. No process follows this table, so that a leader and
/// a takeover do not depend on how many ids callers withdraw.
inline constexpr const char *WithdrawnTable = "withdrawn";

/// Written only by the leader, always on condition that the fence row is
/// unchanged.
inline constexpr const char *LeaderPartition = "lead";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *FenceTable = "fence";
inline constexpr const char *TailModelTable = "learned";
/// The current leader and its status; every entry watches this table.
inline constexpr const char *LeaderTable = "leader";

rows::RowName jobRow(const JobId &Job);
rows::RowName cancelRow(const JobId &Job);
rows::RowName withdrawnRow(const JobId &Job);
rows::RowName agentRow(const VmId &Vm);
rows::RowName progressRow(const JobId &Job);
/// The row with the tasks of \p Job from the number \p FirstTask on, of a job
/// whose progress does not fit in one row. Sorts after progressRow().
rows::RowName progressPartRow(const JobId &Job, std::uint32_t FirstTask);
rows::RowName fenceRow();
rows::RowName tailModelRow();
rows::RowName leaderRow();

/// The job or VM that a key of the given kind names; nothing for other keys.
std::optional<JobId> jobIdFromKey(std::string_view Key);
std::optional<JobId> cancelledJobIdFromKey(std::string_view Key);
std::optional<VmId> agentVmIdFromKey(std::string_view Key);

/// The job, and the first task of a part, that the key of a progress row names.
struct ProgressKey {
  JobId Job;
  std::optional<std::uint32_t> FirstTask;
};
/// Errors: throws ProtocolError if the number of the first task is malformed.
ProgressKey parseProgressKey(std::string_view Key);

} // namespace daisyspool::intake

#endif // DAISYSPOOL_INTAKE_LAYOUT_H
