#ifndef DAISYSPOOL_REPLAY_OUTCOME_H
#define DAISYSPOOL_REPLAY_OUTCOME_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/WorkClass.h"
#include "daisyspool/replay/Trace.h"

#include <optional>
#include <string>
#include <vector>

namespace daisyspool {

/// The metric of an outcome; docs/replay.md defines each one.
enum class MetricKind {
  OnTimeShare,
  OnTimeOrRefusedShare,
  P99Ms,
  P99Ratio,
  GoodputShare,
  Lost,
  WrongAnswers,
  Duplicated,
  RefusedButRun,
  WholeStreamShare,
  JobsEndedShare
};

enum class BoundKind { AtLeast, AtMost };

/// One required outcome of a replay.
///
/// Filled by parseOutcomes(). Unset selectors match every item.
struct Outcome {
  std::string Name;
  std::string Deployment;
  MetricKind Metric = MetricKind::OnTimeShare;
  std::optional<WorkClass> Class;
  std::optional<TraceKind> Kind;
  std::optional<bool> Idempotent;
  std::string Group;
  /// P99Ratio: the group whose p99 is the divisor.
  std::string Baseline;
  /// GoodputShare: the slots of the fleet, and the time window of the replay in
  /// which answers count.
  std::int64_t Slots = 0;
  Millis From{};
  Millis To{};
  BoundKind Bound = BoundKind::AtLeast;
  double Limit = 0;
};

/// Parses the JSON lines of an outcomes file.
///
/// \p File is the file name in error messages. Thread safety: safe from any
/// thread. Errors: throws SettingsError with file, line, field and the value
/// found.
std::vector<Outcome> parseOutcomes(const std::string &File,
                                   const std::string &Text);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_OUTCOME_H
