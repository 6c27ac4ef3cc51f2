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

/// One target that was announced and the link to its agent.
struct PooledTarget {
  TargetId Id;
  wire::Announcement About;
  TimePoint LastHeard;
  std::unique_ptr<Link> Connection;
};

/// The targets that this entry knows and the links to their agents.
///
/// A target enters by an announcement and leaves when it says so or has not
/// been heard of for the expiry. A new incarnation replaces the link, as
/// attempts of the old one cannot be vouched for.
///
/// Thread safety: call from the I/O thread only; callbacks run there.
class TargetPool {
public:
  struct Callbacks {
    std::function<void(const PooledTarget &)> OnUp;
    /// The link is down or the target left; attempts sent to it are unsettled.
    std::function<void(const PooledTarget &)> OnDown;
    std::function<void(const PooledTarget &)> OnLeaving;
    /// A target was added, replaced or removed.
    std::function<void()> OnFleetChanged;
    std::function<void(const PooledTarget &, wire::Envelope)> OnMessage;
  };

  TargetPool(boost::asio::io_context &Io, const Clock &Time, Millis Expiry,
             Callbacks Hooks);
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /// Adds or refreshes a target. Stale incarnations are ignored.
  void announce(const wire::Announcement &What);

  /// Membership says that the target's incarnation \p Number takes no new work.
  void leaving(const TargetId &Id, Incarnation Number);

  /// Removes targets that have not been heard of for the expiry.
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
  Millis Expiry;
  Callbacks Hooks;
  std::map<TargetId, std::unique_ptr<PooledTarget>> Targets;
  std::map<VmId, TargetId> ByVm;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ENTRY_TARGETPOOL_H
