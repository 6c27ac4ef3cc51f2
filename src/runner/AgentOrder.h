// What the parts of AgentSession share.
#ifndef DAISYSPOOL_SRC_RUNNER_AGENTORDER_H
#define DAISYSPOOL_SRC_RUNNER_AGENTORDER_H

#include "daisyspool/runner/AgentSession.h"

namespace daisyspool::runner {

/// Pause after a hold that failed, or that answered at once with nothing new.
inline constexpr Millis HoldPause{100};
/// Pause before an order without an answer is repeated.
inline constexpr Millis OrderPause{60};

/// One start or stop that is not settled.
struct AgentSession::Order {
  explicit Order(EventLoop &Loop) : Pause(Loop.timer()) {}

  StartOrder What;
  bool HasStart = false;
  bool Accepted = false;
  /// The worker declined the start as the run, or a later one, was there.
  bool WasThere = false;
  TimePoint AcceptedAt{};
  /// A start that is not accepted by then is made impossible.
  TimePoint StartBy{};
  int BusyAnswers = 0;
  /// Starts that may still be carried out.
  int Unanswered = 0;
  bool StopWanted = false;
  bool StopAccepted = false;
  bool InFlight = false;
  std::unique_ptr<Timer> Pause;
};

} // namespace daisyspool::runner

#endif // DAISYSPOOL_SRC_RUNNER_AGENTORDER_H
