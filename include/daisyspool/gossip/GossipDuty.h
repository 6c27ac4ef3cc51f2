#ifndef DAISYSPOOL_GOSSIP_GOSSIPDUTY_H
#define DAISYSPOOL_GOSSIP_GOSSIPDUTY_H

#include "daisyspool/config/ConfigSpread.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/membership/UdpDriver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace daisyspool {

/// What one process knows of its peers and of the configuration, for operators.
struct GossipStatus {
  ProcessId Self;
  std::vector<Member> Members;
  ConfigVersion Version;
  bool Confirmed = false;
  ConfigEntries Entries;
};

/// Runs the SwimProtocol and the ConfigSpread of one process.
///
/// Use one per process. The two share datagrams: each carries the sender's
/// configuration version, and a change travels as a payload.
///
/// Thread safety: methods marked "any thread" post to the duty's thread; the
/// callbacks run there.
class GossipDuty {
public:
  struct Options {
    ProcessId Process;
    Incarnation Number;
    http::Endpoint Listen;
    MemberInfo Info;
  };

  struct Callbacks {
    std::function<void(const Member &)> OnMember;
    /// The configuration in force here has changed.
    std::function<void(const ConfigDocument &)> OnConfig;
  };

  /// Binds the socket at once. Throws boost::system::system_error.
  GossipDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
             Callbacks Hooks);
  GossipDuty(const GossipDuty &) = delete;
  GossipDuty &operator=(const GossipDuty &) = delete;

  /// Any thread. Greets gossip addresses learnt from an announcement.
  void greet(std::vector<http::Endpoint> Seeds);

  /// Any thread. Entries that the table service lists.
  void greetListed(std::vector<ListedEntry> Listed);

  /// Any thread. A change that was just accepted or read from the store.
  void adoptAndPush(ConfigChange Change);

  /// Any thread. A whole document read from the store.
  void adopt(ConfigDocument Document);

  /// Any thread. The store's head had \p Version.
  void onStoreHead(ConfigVersion Version);

  /// Any thread. Announces that this process takes no new work.
  void drain();

  /// Any thread. Calls \p Done on the duty's thread with a copy of the state.
  void status(std::function<void(GossipStatus)> Done);

  /// Any thread. The version in force here.
  ConfigVersion version() const { return ConfigVersion(Version.load()); }

  /// Any thread. Whether an entry confirmed that version within its bound.
  bool confirmed() const { return Confirmed.load(); }

private:
  void afterInput();
  void send(const std::vector<ConfigOutgoing> &Messages);
  void stamp();
  void schedule();

  boost::asio::io_context &Io;
  const Clock &Time;
  MemberInfo Info;
  Callbacks Hooks;
  SwimProtocol Machine;
  ConfigSpread Spread;
  UdpDriver Driver;
  boost::asio::steady_timer Timer;
  ConfigVersion Published;
  std::atomic<std::uint64_t> Version{0};
  std::atomic<bool> Confirmed{false};
};

} // namespace daisyspool

#endif // DAISYSPOOL_GOSSIP_GOSSIPDUTY_H
