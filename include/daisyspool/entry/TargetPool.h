#ifndef DAISYSPOOL_ENTRY_TARGETPOOL_H
#define DAISYSPOOL_ENTRY_TARGETPOOL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/transport/Link.h"
#include "daisyspool/wire/Announcement.h"
#include "daisyspool/wire/Messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace daisyspool {

/// A target that was announced, and the link to its agent.
struct PooledTarget {
  TargetId Id;
  wire::Announcement Announced;
  TimePoint LastHeard;
  std::unique_ptr<Link> Connection;
};

/// The targets that this entry knows and the links to their agents.
///
/// A target is added by an announcement. It takes no new work once it announces
/// that it is leaving, and is removed when its link is down and it has been
/// silent for the expiry time. A new incarnation replaces the link, because the
/// outcome of attempts sent to the old one is unknown.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class TargetPool {
public:
  struct Callbacks {
    std::function<void(const PooledTarget &)> OnUp;
    /// The link is down or the target has a new incarnation; the outcome of
    /// attempts sent to it is unknown.
    std::function<void(const PooledTarget &)> OnDown;
    std::function<void(const PooledTarget &)> OnLeaving;
    /// A target was added, replaced or removed, or is leaving.
    std::function<void()> OnFleetChanged;
    std::function<void(const PooledTarget &, wire::Envelope)> OnMessage;
  };

  TargetPool(boost::asio::io_context &Io, const Clock &Time, Millis ExpiryTime,
             Callbacks Hooks);
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /// Adds or refreshes a target. Stale incarnations are ignored.
  void announce(const wire::Announcement &Received);

  /// Marks the target as leaving, because membership reports that its
  /// incarnation \p Number takes no new work.
  void markLeaving(const TargetId &Id, Incarnation Number);

  /// Removes targets that are not connected and have been silent for the expiry
  /// time.
  void expire();

  /// The target \p Id, or null.
  PooledTarget *find(const TargetId &Id);

  /// The target on \p Vm, or null.
  PooledTarget *findVm(const VmId &Vm);

  const std::map<TargetId, std::unique_ptr<PooledTarget>> &targets() const {
    return Targets;
  }

private:
  void connect(PooledTarget &Target);

  boost::asio::io_context &Io;
  const Clock &Time;
  Millis ExpiryTime;
  Callbacks Hooks;
  std::map<TargetId, std::unique_ptr<PooledTarget>> Targets;
  std::map<VmId, TargetId> TargetByVm;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_TARGETPOOL_H
