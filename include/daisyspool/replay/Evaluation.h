#ifndef DAISYSPOOL_REPLAY_EVALUATION_H
#define DAISYSPOOL_REPLAY_EVALUATION_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/replay/Outcome.h"
#include "daisyspool/replay/Trace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// The result of a request, stream or job as its caller saw it.
enum class ItemStatus {
  /// The whole answer arrived: a 2xx status, all events, or all tasks
  /// succeeded.
  Answered,
  /// Refused by an answer that states that it was not run.
  Refused,
  /// A definite failure, for example a status from the target.
  Failed,
  /// The caller timed out without knowing whether it was run.
  Unknown
};

const char *toString(ItemStatus Value);

/// The result of one trace item as its caller saw it.
struct ItemResult {
  ItemStatus Status = ItemStatus::Unknown;
  Millis Took{};
  /// Offset from the start of the replay at which the caller had its result.
  Millis EndedAt{};
  /// The answer does not name this request or does not echo its body.
  bool WrongAnswer = false;
  /// An event of a stream was missing or repeated.
  bool BrokenStream = false;
  std::uint32_t Attempts = 0;
  /// The last error answer or connection error.
  std::string Detail;
};

/// The recorded results of a replay, from which outcomes are evaluated.
struct ReplayRecord {
  std::vector<TraceItem> Items;
  /// One for each item, in the same order.
  std::vector<ItemResult> Results;
  /// Executions on the targets by request id; unset if they were not collected.
  std::optional<std::map<std::string, std::uint64_t>> Executions;
};

struct Verdict {
  /// Unset if no item was selected or the record lacks the required data.
  std::optional<double> Measured;
  bool Passed = false;
};

/// Measures the metric of \p Required and compares it with its limit. An
/// outcome that cannot be measured fails.
///
/// Precondition: one result for each item. Thread safety: safe from any thread.
Verdict evaluate(const Outcome &Required, const ReplayRecord &Record);

/// The line `outcome=NAME deployment=... target=... measured=... verdict=...`.
std::string toLine(const Outcome &Required, const Verdict &Result);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_EVALUATION_H
