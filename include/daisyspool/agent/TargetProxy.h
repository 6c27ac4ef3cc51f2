#ifndef DAISYSPOOL_AGENT_TARGETPROXY_H
#define DAISYSPOOL_AGENT_TARGETPROXY_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Client.h"
#include "daisyspool/wire/Messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <compare>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace daisyspool {

/// Identifies one attempt across all entries and their restarts.
struct AttemptKey {
  ProcessId Origin;
  Incarnation OriginIncarnation;
  wire::AttemptId Attempt;

  auto operator<=>(const AttemptKey &) const = default;
};

/// Whether a request may be sent to the target more than once.
enum class Repeatable { Yes, No };

/// Forwards requests to the target within its slots and connections.
///
/// A short request takes a slot and a connection, a session or feed only a
/// connection. Requests beyond the slots wait in a short queue while their
/// deadline allows; all others are refused at once without being run.
/// RequestLedger ensures that a non-idempotent request comes here only once.
///
/// Thread safety: call from the I/O thread only.
class TargetProxy {
public:
  struct Options {
    ServiceId Service;
    http::Endpoint Target;
    std::size_t Slots = 8;
    std::size_t Connections = 64;
    std::size_t QueueLimit = 16;
    /// A stream without a frame for this long counts as silent.
    Millis StreamSilence{15000};
  };

  /// Sends one reply to the origin of the attempt.
  using ReplySender = std::function<void(const wire::ServeReply &)>;

  TargetProxy(boost::asio::io_context &Io, const Clock &Time, Options Config);
  TargetProxy(const TargetProxy &) = delete;
  TargetProxy &operator=(const TargetProxy &) = delete;

  /// Runs, queues or refuses \p Request. Calls \p SendReply for each frame.
  void serve(AttemptKey Key, wire::ServeRequest Request, Repeatable CanRepeat,
             ReplySender SendReply);

  /// Drops a queued attempt, or discards the answer of a running one.
  void cancel(const AttemptKey &Key);

  /// Refuses new work from now on and calls \p Done when nothing is in
  /// progress. After \p Bound, open streams end at their next frame and \p Done
  /// is called after one more second at the latest.
  void drain(Millis Bound, std::function<void()> Done);

  /// The load of the target, and the part of it that \p Origin causes.
  wire::TargetLoad load(const ProcessId &Origin = {}) const;

private:
  struct OpenAttempt;
  using OpenAttemptPtr = std::shared_ptr<OpenAttempt>;

  /// The slots and streams of the target that one process uses.
  struct OriginUsage {
    std::uint32_t Slots = 0;
    std::uint32_t Streams = 0;
  };

  wire::RefusalReason refusalReasonFor(const wire::ServeRequest &Request) const;
  void refuse(const AttemptKey &Key, wire::RefusalReason Reason,
              const ReplySender &SendReply) const;
  void start(const OpenAttemptPtr &Attempt);
  void startStream(const OpenAttemptPtr &Attempt, http::Request Outgoing);
  http::Request toTargetRequest(const OpenAttempt &Attempt) const;
  void finish(const OpenAttemptPtr &Attempt, wire::ServeReply Answer);
  void finishFailed(const OpenAttemptPtr &Attempt,
                    const std::exception_ptr &Failure);
  void enqueue(const OpenAttemptPtr &Attempt);
  void startQueued();
  void expireQueued();
  void scheduleExpiry();
  void finishDrainIfIdle();
  wire::TargetLoad loadFor(const OpenAttempt &Attempt) const;

  const Clock &Time;
  Options Config;
  http::Client Target;
  boost::asio::steady_timer ExpiryTimer;
  boost::asio::steady_timer DrainTimer;
  std::map<AttemptKey, OpenAttemptPtr> OpenAttempts;
  std::deque<OpenAttemptPtr> Queue;
  std::map<ProcessId, OriginUsage> UsageByOrigin;
  std::function<void()> OnDrained;
  std::size_t BusySlots = 0;
  std::size_t Streams = 0;
  bool Draining = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_TARGETPROXY_H
