#ifndef DAISYSPOOL_WORKLOAD_LIMITS_H
#define DAISYSPOOL_WORKLOAD_LIMITS_H

#include <cstddef>
#include <cstdint>

/// Limits of the numbers that other processes send. They are far above those of
/// real machines and jobs, and small enough that sums over the fleet and
/// conversions to nanoseconds do not overflow.
namespace daisyspool::workload {

/// A million cores, a pebibyte and a million accelerators.
inline constexpr std::int64_t MaxMilliCores = 1'000'000'000;
inline constexpr std::int64_t MaxMebiBytes = 1'000'000'000;
inline constexpr std::int64_t MaxAccelerators = 1'000'000;
/// Of one duration and of the estimates of all steps of a job: 115 days. A job
/// counts as useful up to 3 * (MaxSlackFactor + 1) times as long, which fits in
/// 64 bits as nanoseconds.
inline constexpr std::int64_t MaxDurationMillis = 10'000'000'000;
inline constexpr double MaxSlackFactor = 100;
/// Of a clock reading in milliseconds, such as the Unix time: the year 5138.
inline constexpr std::int64_t MaxClockMillis = 100'000'000'000'000;
/// Of the text that is passed to each task of a job.
inline constexpr std::size_t MaxSpecBytes = 4000;
/// The largest known jobs have 160 tasks.
inline constexpr std::uint32_t MaxTasks = 5000;
inline constexpr std::size_t MaxSteps = 100;
/// Of all occurrences of a job together; each takes some 120 bytes of memory in
/// the leader.
inline constexpr std::uint64_t MaxTaskOccurrences = 100'000;

} // namespace daisyspool::workload

#endif // DAISYSPOOL_WORKLOAD_LIMITS_H
