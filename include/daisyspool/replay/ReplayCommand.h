#ifndef DAISYSPOOL_REPLAY_REPLAYCOMMAND_H
#define DAISYSPOOL_REPLAY_REPLAYCOMMAND_H

#include <string>
#include <vector>

namespace daisyspool {

/// The flags of `daisyspool replay`.
struct ReplayFlags {
  std::string Trace;
  std::string Outcomes;
  std::string Entry;
  /// Addresses of target stand-ins that report their executions.
  std::vector<std::string> Executions;
  /// Files with the saved reports of targets that stopped before the end of the
  /// replay.
  std::vector<std::string> SavedExecutions;
};

/// Replays a trace, prints a summary of each group and one line for each
/// outcome, and returns the exit code: 0 if all outcomes pass, else 1.
///
/// Errors: throws SettingsError for an invalid file or flag, and
/// http::ClientError if a target does not report its executions.
int runReplay(const ReplayFlags &Flags);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_REPLAYCOMMAND_H
