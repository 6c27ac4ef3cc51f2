// What the parts of LeaderDuty share.
#ifndef DAISYSPOOL_SRC_LEADERSHIP_REIGN_H
#define DAISYSPOOL_SRC_LEADERSHIP_REIGN_H

#include "daisyspool/leadership/LeaderDuty.h"

#include <map>
#include <optional>

namespace daisyspool::leadership {

using scheduling::CommitNumber;
using scheduling::Scheduler;

/// Bound of one call; a slow store takes up to half a second for one.
inline constexpr Millis CallTimeout{1500};
/// Pause before a call that failed is repeated.
inline constexpr Millis RetryPause{60};

/// The fence in \p Row; nothing, with a log line, if it cannot be read.
std::optional<Fence> readableFence(const rows::StoredRow &Row);

/// One transaction of a leader.
struct LeaderDuty::Batch {
  std::uint64_t Number = 0;
  Fence Mine;
  bool Renews = false;
  rows::RowTransaction Write;
  TimePoint Begun{};
};

struct LeaderDuty::Reign {
  Reign(EventLoop &Loop, const Scheduler::Options &Scheduling)
      : Jobs(Scheduling), Group(Loop.timer()), Retry(Loop.timer()) {}

  Scheduler Jobs;
  Fence Mine;
  rows::RowVersion FenceVersion;
  TimePoint LeaseStart{};
  TimePoint LastRenewal{};
  bool Loaded = false;
  bool IntakeRead = false;
  bool Committing = false;
  bool Poked = false;
  /// Set while a stop waits for the transaction under way.
  std::function<void()> OnSettled;
  std::map<VmId, http::Endpoint> Agents;
  std::unique_ptr<AgentLinks> Links;
  std::unique_ptr<rows::TableWatch> Intake;
  std::unique_ptr<Timer> Group;
  std::unique_ptr<Timer> Retry;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_SRC_LEADERSHIP_REIGN_H
