#include "daisyspool/intake/Layout.h"

namespace daisyspool::intake {

namespace {

constexpr std::string_view JobPrefix = "job-";
constexpr std::string_view CancelPrefix = "cancel-";
constexpr std::string_view AgentPrefix = "agent-";

std::string join(std::string_view Prefix, const std::string &Rest) {
  return std::string(Prefix) + Rest;
}

template <typename Id>
std::optional<Id> strip(std::string_view Prefix, std::string_view Key) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;

  return Id(std::string(Key.substr(Prefix.size())));
}

} // namespace

rows::RowName jobRow(const JobId &Job) {
  return {IntakeTable, IntakePartition, join(JobPrefix, Job.str())};
}

rows::RowName cancelRow(const JobId &Job) {
  return {IntakeTable, IntakePartition, join(CancelPrefix, Job.str())};
}

rows::RowName agentRow(const VmId &Vm) {
  return {IntakeTable, IntakePartition, join(AgentPrefix, Vm.str())};
}

rows::RowName progressRow(const JobId &Job) {
  return {ProgressTable, LeaderPartition, Job.str()};
}

rows::RowName fenceRow() { return {FenceTable, LeaderPartition, "fence"}; }

rows::RowName leaderRow() { return {LeaderTable, LeaderPartition, "leader"}; }

std::optional<JobId> jobOfKey(std::string_view Key) {
  return strip<JobId>(JobPrefix, Key);
}

std::optional<JobId> cancelOfKey(std::string_view Key) {
  return strip<JobId>(CancelPrefix, Key);
}

std::optional<VmId> agentOfKey(std::string_view Key) {
  return strip<VmId>(AgentPrefix, Key);
}

} // namespace daisyspool::intake
