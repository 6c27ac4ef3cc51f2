#ifndef DAISYSPOOL_REPLAY_JUDGE_H
#define DAISYSPOOL_REPLAY_JUDGE_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/replay/Outcome.h"
#include "daisyspool/replay/Trace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// How a piece of work ended for its caller.
enum class Ending {
  /// The whole answer arrived: a 2xx status, all events, all tasks succeeded.
  Answered,
  /// Refused with the statement that it was not run.
  Refused,
  /// A definite failure, for example a status from the target.
  Failed,
  /// The caller gave up without knowing whether it was run.
  Unknown
};

const char *toString(Ending Value);

/// What one caller saw.
struct ItemResult {
  Ending End = Ending::Unknown;
  Millis Took{};
  /// Offset from the start of the replay at which the caller had its result.
  Millis EndedAt{};
  /// The answer names another request.
  bool WrongAnswer = false;
  /// An event of a stream was missing or came twice.
  bool BrokenStream = false;
  std::uint32_t Attempts = 0;
  /// The last problem or broken connection.
  std::string Detail;
};

/// A replay as the judge sees it.
struct ReplayRecord {
  std::vector<TraceItem> Items;
  /// One for each item, in the same order.
  std::vector<ItemResult> Results;
  /// How often the targets ran each request id; unset if no target was asked.
  std::optional<std::map<std::string, std::uint64_t>> Executions;
};

struct Verdict {
  /// Unset if nothing was selected or the record lacks what is measured.
  std::optional<double> Measured;
  bool Passed = false;
};

/// Compares a record with \p Required. An outcome that cannot be measured
/// fails.
///
/// Precondition: one result for each item. Thread safety: safe from any thread.
Verdict judge(const Outcome &Required, const ReplayRecord &Record);

/// The line `outcome=NAME deployment=... target=... measured=... verdict=...`.
std::string toLine(const Outcome &Required, const Verdict &Result);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_JUDGE_H
