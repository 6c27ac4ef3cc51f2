#ifndef DAISYSPOOL_CORE_IDS_H
#define DAISYSPOOL_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace daisyspool {

/// A text identifier that does not convert to other identifier types.
///
/// Each kind of object has its own alias, so that a job id cannot be passed
/// where a task id is expected. Thread safety: a value type, as safe as
/// std::string.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const StrongId &) const = default;

private:
  std::string Text;
};

/// A number that does not convert to other number types: epochs, versions,
/// incarnations and sequence numbers.
///
/// Thread safety: a value type, as safe as std::uint64_t.
template <typename Tag> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t Number) : Number(Number) {}

  constexpr std::uint64_t value() const { return Number; }
  constexpr StrongNumber next() const { return StrongNumber(Number + 1); }

  constexpr auto operator<=>(const StrongNumber &) const = default;

private:
  std::uint64_t Number = 0;
};

using VmId = StrongId<struct VmTag>;
using RackId = StrongId<struct RackTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using RegionId = StrongId<struct RegionTag>;
using ServiceId = StrongId<struct ServiceTag>;
using JobId = StrongId<struct JobTag>;
using TaskId = StrongId<struct TaskTag>;
using TeamId = StrongId<struct TeamTag>;
using CallerId = StrongId<struct CallerTag>;
using RequestId = StrongId<struct RequestTag>;
using TargetId = StrongId<struct TargetTag>;
using ProcessId = StrongId<struct ProcessTag>;
using OperatorId = StrongId<struct OperatorTag>;
using CheckpointId = StrongId<struct CheckpointTag>;
using ChangeId = StrongId<struct ChangeTag>;

using Epoch = StrongNumber<struct EpochTag>;
using Incarnation = StrongNumber<struct IncarnationTag>;
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
using SequenceNumber = StrongNumber<struct SequenceNumberTag>;
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;
using ShardId = StrongNumber<struct ShardTag>;

} // namespace daisyspool

template <typename Tag> struct std::hash<daisyspool::StrongId<Tag>> {
  std::size_t operator()(const daisyspool::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.str());
  }
};

template <typename Tag> struct std::hash<daisyspool::StrongNumber<Tag>> {
  std::size_t operator()(daisyspool::StrongNumber<Tag> Number) const noexcept {
    return std::hash<std::uint64_t>{}(Number.value());
  }
};

#endif // DAISYSPOOL_CORE_IDS_H
