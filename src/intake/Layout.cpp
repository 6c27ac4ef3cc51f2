#include "daisyspool/intake/Layout.h"

#include "daisyspool/core/Errors.h"

#include <algorithm>
#include <charconv>

namespace daisyspool::intake {

namespace {

constexpr std::string_view JobPrefix = "job-";
constexpr std::string_view CancelPrefix = "cancel-";
constexpr std::string_view AgentPrefix = "agent-";

std::string prefixedKey(std::string_view Prefix, const std::string &Id) {
  return std::string(Prefix) + Id;
}

/// Does not occur in the id of a job.
constexpr char PartSeparator = '.';

template <typename Id>
std::optional<Id> idFromKey(std::string_view Prefix, std::string_view Key) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;

  return Id(std::string(Key.substr(Prefix.size())));
}

/// Sustains 14 submissions per second if each takes 400 ms.
constexpr unsigned IntakePartitionCount = 8;

std::string partitionName(unsigned Number) {
  return "intake" + std::to_string(Number);
}

std::string partitionOf(const JobId &Job) {
  unsigned LastCharacter =
      Job.empty() ? 0 : static_cast<unsigned char>(Job.str().back());
  return partitionName(LastCharacter % IntakePartitionCount);
}

} // namespace

std::vector<std::string> intakePartitions() {
  std::vector<std::string> Result;
  for (unsigned I = 0; I < IntakePartitionCount; ++I)
    Result.push_back(partitionName(I));

  return Result;
}

rows::RowName jobRow(const JobId &Job) {
  return {IntakeTable, partitionOf(Job), prefixedKey(JobPrefix, Job.str())};
}

rows::RowName cancelRow(const JobId &Job) {
  return {IntakeTable, partitionOf(Job), prefixedKey(CancelPrefix, Job.str())};
}

rows::RowName withdrawnRow(const JobId &Job) {
  return {WithdrawnTable, partitionOf(Job), Job.str()};
}

rows::RowName agentRow(const VmId &Vm) {
  return {IntakeTable, partitionName(0), prefixedKey(AgentPrefix, Vm.str())};
}

rows::RowName progressRow(const JobId &Job) {
  return {ProgressTable, LeaderPartition, Job.str()};
}

rows::RowName progressPartRow(const JobId &Job, std::uint32_t FirstTask) {
  // Padded, so that the parts of a job are read in their order.
  constexpr std::size_t Digits = 6;
  std::string Number = std::to_string(FirstTask);
  Number.insert(0, Digits - std::min(Digits, Number.size()), '0');
  return {ProgressTable, LeaderPartition, Job.str() + PartSeparator + Number};
}

rows::RowName fenceRow() { return {FenceTable, LeaderPartition, "fence"}; }

rows::RowName tailModelRow() {
  return {TailModelTable, LeaderPartition, "tails"};
}

rows::RowName leaderRow() { return {LeaderTable, LeaderPartition, "leader"}; }

std::optional<JobId> jobIdFromKey(std::string_view Key) {
  return idFromKey<JobId>(JobPrefix, Key);
}

std::optional<JobId> cancelledJobIdFromKey(std::string_view Key) {
  return idFromKey<JobId>(CancelPrefix, Key);
}

std::optional<VmId> agentVmIdFromKey(std::string_view Key) {
  return idFromKey<VmId>(AgentPrefix, Key);
}

ProgressKey parseProgressKey(std::string_view Key) {
  std::size_t Separator = Key.find(PartSeparator);
  ProgressKey Result{JobId(std::string(Key.substr(0, Separator))), {}};
  if (Separator == std::string_view::npos)
    return Result;

  std::string_view Text = Key.substr(Separator + 1);
  std::uint32_t Number = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc{} || End != Text.data() + Text.size())
    throw ProtocolError("progress row: malformed key " + std::string(Key));
  Result.FirstTask = Number;
  return Result;
}

} // namespace daisyspool::intake
