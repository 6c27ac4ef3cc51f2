// Declarations shared by the source files of LeaderDuty.
#ifndef DAISYSPOOL_SRC_LEADERSHIP_LEADERSTATE_H
#define DAISYSPOOL_SRC_LEADERSHIP_LEADERSTATE_H

#include "daisyspool/leadership/LeaderDuty.h"

#include <deque>
#include <map>
#include <optional>

namespace daisyspool::leadership {

using scheduling::CommitNumber;
using scheduling::Scheduler;

/// Timeout of one store call; a slow store takes up to 500 ms for one.
inline constexpr Millis CallTimeout{1500};
/// Delay before a failed store call is repeated.
inline constexpr Millis RetryPause{60};

/// Decodes the fence in \p Row; logs an error and returns nothing if it is
/// malformed.
std::optional<Fence> tryDecodeFence(const rows::StoredRow &Row);

/// One transaction of a leader.
struct LeaderDuty::Transaction {
  std::uint64_t Number = 0;
  Fence OwnFence;
  bool RenewsStatus = false;
  rows::RowTransaction Write;
  TimePoint StartedAt{};
};

/// One attempt to become the leader.
struct LeaderDuty::Takeover {
  Fence OwnFence;
  TimePoint StartedAt{};
  /// No grant of an earlier leader ends later.
  TimePoint EarlierGrantsEnd{};
};

struct LeaderDuty::LeaderState {
  LeaderState(EventLoop &Loop, const Scheduler::Options &Scheduling)
      : JobScheduler(Scheduling), WorkTimer(Loop.timer()),
        RetryTimer(Loop.timer()), LoadTimer(Loop.timer()),
        IntakeTimer(Loop.timer()) {}

  Scheduler JobScheduler;
  Fence OwnFence;
  rows::RowVersion FenceVersion;
  /// Start of the newest durable transaction that renewed the status.
  TimePoint LeaseStart{};
  TimePoint EarlierGrantsEnd{};
  bool Loaded = false;
  bool IntakeRead = false;
  bool Committing = false;
  bool WorkScheduled = false;
  /// The store does not accept the row of the tail model.
  bool TailModelRejected = false;
  /// The callback of close(); set while it waits for the transaction in flight.
  std::function<void()> PendingClose;
  /// Rows of the intake that wait to be applied, oldest first.
  std::deque<rows::StoredRow> IntakeQueue;
  std::map<VmId, http::Endpoint> Agents;
  std::unique_ptr<AgentLinks> Links;
  std::unique_ptr<rows::TableWatch> IntakeWatch;
  std::unique_ptr<Timer> WorkTimer;
  std::unique_ptr<Timer> RetryTimer;
  std::unique_ptr<Timer> LoadTimer;
  std::unique_ptr<Timer> IntakeTimer;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_SRC_LEADERSHIP_LEADERSTATE_H
