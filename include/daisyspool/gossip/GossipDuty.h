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

/// Members and configuration as one process knows them, for the status page of
/// operators.
struct GossipStatus {
  ProcessId Self;
  std::vector<Member> Members;
  ConfigVersion Version;
  bool Confirmed = false;
  ConfigEntries Entries;
};

/// Runs the SwimProtocol and the ConfigSpread of one process.
///
/// Use one per process. Both protocols use the same datagrams: each datagram
/// carries the sender's configuration version, and a configuration change is
/// sent as a payload.
///
/// Thread safety: methods marked "any thread" post their work to the thread of
/// the io_context; the callbacks run there.
class GossipDuty {
public:
  struct Options {
    ProcessId Process;
    Incarnation Number;
    http::Endpoint Listen;
    MemberInfo Info;
  };

  struct Callbacks {
    /// Called when the state or the info of a member has changed.
    std::function<void(const Member &)> OnMember;
    /// Called when the configuration in force in this process has changed.
    std::function<void(const ConfigDocument &)> OnConfig;
  };

  /// Binds the socket. Throws boost::system::system_error if that fails.
  GossipDuty(boost::asio::io_context &Io, const Clock &Time, Options Config,
             Callbacks Hooks);
  GossipDuty(const GossipDuty &) = delete;
  GossipDuty &operator=(const GossipDuty &) = delete;

  /// Any thread. Joins through gossip addresses received as the answer to an
  /// announcement.
  void join(std::vector<http::Endpoint> Seeds);

  /// Any thread. Compares tables with those of the entries listed in the table
  /// service that are not reachable here. See SwimProtocol::syncWithListed().
  void syncWithListed(std::vector<ListedEntry> Listed);

  /// Any thread. Adopts and pushes a change that was just accepted or read from
  /// the store.
  void adoptAndPush(ConfigChange Change);

  /// Any thread. Adopts a whole document read from the store if its version is
  /// higher.
  void adopt(ConfigDocument Document);

  /// Any thread. Reports that the store's head was read and had \p Version,
  /// which confirms the version in force if it is the same.
  void onStoreHead(ConfigVersion Version);

  /// Any thread. Announces that this process takes no new work.
  void drain();

  /// Any thread. Calls \p Done on the thread of the io_context with a copy of
  /// the state.
  void status(std::function<void(GossipStatus)> Done);

  /// Any thread. The configuration version in force in this process.
  ConfigVersion version() const { return ConfigVersion(Version.load()); }

  /// Any thread. Whether that version was confirmed recently enough. See
  /// ConfigSpread::confirmed().
  bool confirmed() const { return Confirmed.load(); }

private:
  void processReceived();
  void send(const std::vector<ConfigOutgoing> &Messages);
  void updateConfigStamp();
  void scheduleHousekeeping();

  boost::asio::io_context &Io;
  const Clock &Time;
  MemberInfo Info;
  Callbacks Hooks;
  SwimProtocol Membership;
  ConfigSpread Spread;
  UdpDriver Driver;
  boost::asio::steady_timer Timer;
  /// The version last passed to OnConfig.
  ConfigVersion ReportedVersion;
  std::atomic<std::uint64_t> Version{0};
  std::atomic<bool> Confirmed{false};
};

} // namespace daisyspool

#endif // DAISYSPOOL_GOSSIP_GOSSIPDUTY_H
