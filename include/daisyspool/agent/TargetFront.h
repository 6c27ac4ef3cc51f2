#ifndef DAISYSPOOL_AGENT_TARGETFRONT_H
#define DAISYSPOOL_AGENT_TARGETFRONT_H

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

/// Names one attempt across all entries and their restarts.
struct AttemptKey {
  ProcessId Origin;
  Incarnation OriginIncarnation;
  wire::AttemptId Attempt;

  auto operator<=>(const AttemptKey &) const = default;
};

/// Whether a request may be sent to the target more than once.
enum class Repeatable { Yes, No };

/// Passes requests to the target within its slots and connections.
///
/// A short request takes a slot and a connection, a session or feed only a
/// connection. Requests over the slots wait in a short queue while their
/// deadline allows; all others are refused unrun at once. That a non-idempotent
/// request comes here only once is kept by RequestLedger.
///
/// Thread safety: call from the I/O thread only.
class TargetFront {
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

  /// Sends one reply to where the attempt came from.
  using Reply = std::function<void(const wire::ServeReply &)>;

  TargetFront(boost::asio::io_context &Io, const Clock &Time, Options Config);
  TargetFront(const TargetFront &) = delete;
  TargetFront &operator=(const TargetFront &) = delete;

  /// Runs, queues or refuses \p What; \p Answer is called for each frame.
  void serve(AttemptKey Key, wire::ServeRequest What, Repeatable Kind,
             Reply Answer);

  /// Drops a queued attempt, or abandons the answer of a running one.
  void cancel(const AttemptKey &Key);

  /// Refuses new work from now on; calls \p Done when nothing is in progress
  /// or after \p Bound, ending open streams at a frame border.
  void drain(Millis Bound, std::function<void()> Done);

  /// How full the target is, and how much of it \p Origin holds.
  wire::TargetLoad load(const ProcessId &Origin = {}) const;

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// What one process holds of the target.
  struct Holding {
    std::uint32_t Slots = 0;
    std::uint32_t Streams = 0;
  };

  wire::RefusalReason admit(const wire::ServeRequest &What) const;
  void refuse(const AttemptKey &Key, wire::RefusalReason Reason,
              const Reply &Answer) const;
  void start(const AttemptPtr &Which);
  void startStream(const AttemptPtr &Which, http::Request Outgoing);
  http::Request toTargetRequest(const Attempt &Which) const;
  void finish(const AttemptPtr &Which, wire::ServeReply Answer);
  void fail(const AttemptPtr &Which, const std::exception_ptr &Failure);
  void enqueue(const AttemptPtr &Which);
  void startQueued();
  void expireQueued();
  void scheduleExpiry();
  void finishDrain();
  wire::TargetLoad loadFor(const Attempt &Which) const;

  const Clock &Time;
  Options Config;
  http::Client Target;
  boost::asio::steady_timer Expiry;
  boost::asio::steady_timer DrainTimer;
  std::map<AttemptKey, AttemptPtr> Open;
  std::deque<AttemptPtr> Queue;
  std::map<ProcessId, Holding> Holdings;
  std::function<void()> OnDrained;
  std::size_t BusySlots = 0;
  std::size_t Streams = 0;
  bool Draining = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_TARGETFRONT_H
