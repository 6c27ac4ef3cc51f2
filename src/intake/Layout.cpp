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

/// Carries 14 submissions a second when each takes 400 ms.
constexpr unsigned IntakePartitionCount = 8;

std::string partitionName(unsigned Number) {
  return "intake" + std::to_string(Number);
}

std::string partitionOf(const JobId &Job) {
  unsigned Last =
      Job.empty() ? 0 : static_cast<unsigned char>(Job.str().back());
  return partitionName(Last % IntakePartitionCount);
}

} // namespace

std::vector<std::string> intakePartitions() {
  std::vector<std::string> Result;
  for (unsigned I = 0; I < IntakePartitionCount; ++I)
    Result.push_back(partitionName(I));

  return Result;
}

rows::RowName jobRow(const JobId &Job) {
  return {IntakeTable, partitionOf(Job), join(JobPrefix, Job.str())};
}

rows::RowName cancelRow(const JobId &Job) {
  return {IntakeTable, partitionOf(Job), join(CancelPrefix, Job.str())};
}

rows::RowName agentRow(const VmId &Vm) {
  return {IntakeTable, partitionName(0), join(AgentPrefix, Vm.str())};
}

rows::RowName progressRow(const JobId &Job) {
  return {ProgressTable, LeaderPartition, Job.str()};
}

rows::RowName fenceRow() { return {FenceTable, LeaderPartition, "fence"}; }

rows::RowName tailModelRow() {
  return {TailModelTable, LeaderPartition, "tails"};
}

rows::RowName leaderRow() { return {LeaderTable, LeaderPartition, "leader"}; }

std::optional<JobId> jobIdFromKey(std::string_view Key) {
  return strip<JobId>(JobPrefix, Key);
}

std::optional<JobId> cancelledJobIdFromKey(std::string_view Key) {
  return strip<JobId>(CancelPrefix, Key);
}

std::optional<VmId> agentVmIdFromKey(std::string_view Key) {
  return strip<VmId>(AgentPrefix, Key);
}

} // namespace daisyspool::intake
