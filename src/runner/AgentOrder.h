// Declarations shared by the source files of AgentSession.
#ifndef DAISYSPOOL_SRC_RUNNER_AGENTORDER_H
#define DAISYSPOOL_SRC_RUNNER_AGENTORDER_H

#include "daisyspool/runner/AgentSession.h"

namespace daisyspool::runner {

/// Delay after a hold that failed, or that the worker answered at once with
/// nothing new.
inline constexpr Millis HoldPause{100};
/// Delay before an order without an answer is repeated.
inline constexpr Millis OrderPause{60};

/// One start or stop that is not settled.
struct AgentSession::Order {
  explicit Order(EventLoop &Loop) : RetryTimer(Loop.timer()) {}

  StartOrder Definition;
  bool HasStart = false;
  bool StartAccepted = false;
  /// The worker declined the start because it already had this run or a later
  /// one.
  bool DeclinedAsOld = false;
  TimePoint AcceptedAt{};
  /// A start that the worker has not accepted by then is ruled out by a stop.
  TimePoint StartDeadline{};
  int BusyAnswers = 0;
  int UnansweredStarts = 0;
  /// The worker may still carry out a start that got no answer, from this agent
  /// process or an earlier one. The run is refused only after a stop.
  bool MayStartLate = false;
  /// Reported once a stop has ruled the run out.
  RefusalReason ReasonAfterStop = RefusalReason::Cancelled;
  bool StopWanted = false;
  bool StopAccepted = false;
  bool InFlight = false;
  /// Waits for other orders to be answered.
  bool Queued = false;
  std::unique_ptr<Timer> RetryTimer;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_SRC_RUNNER_AGENTORDER_H
