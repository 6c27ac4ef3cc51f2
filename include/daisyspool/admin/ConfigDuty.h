#ifndef DAISYSPOOL_ADMIN_CONFIGDUTY_H
#define DAISYSPOOL_ADMIN_CONFIGDUTY_H

#include "daisyspool/config/ConfigFiles.h"
#include "daisyspool/config/ConfigStore.h"
#include "daisyspool/gossip/GossipDuty.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/platform/TableService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace daisyspool {

/// An operator's change, as it arrived.
struct ConfigProposal {
  ConfigVersion Base;
  ChangeOrigin Origin;
  std::vector<ConfigFile> Files;
  bool DryRun = false;
};

/// An entry's access to the durable configuration: proposes operators' changes,
/// reads what other entries accepted, and lists the entries.
///
/// Calls of the table service block, so the duty has a thread of its own.
///
/// Thread safety: propose() from any thread; the callback runs on the duty's
/// thread.
class ConfigDuty {
public:
  struct Options {
    ProcessId Process;
    http::Endpoint Gossip;
    Millis HeadInterval{1500};
    Millis ListInterval{5000};
  };

  using Answer = std::function<void(http::Response)>;

  ConfigDuty(boost::asio::io_context &Io, Options Config,
             std::unique_ptr<TableService> Table, GossipDuty &Gossip);
  ConfigDuty(const ConfigDuty &) = delete;
  ConfigDuty &operator=(const ConfigDuty &) = delete;

  /// Checks, and unless it is a dry run accepts, a change.
  void propose(ConfigProposal Change, Answer Done);

private:
  http::Response decide(const ConfigProposal &Change);
  void readHead();
  void listEntries();
  void catchUp(ConfigVersion From, ConfigVersion To);
  void schedule();

  boost::asio::io_context &Io;
  Options Config;
  std::unique_ptr<TableService> Table;
  ConfigStore Store;
  GossipDuty &Gossip;
  boost::asio::steady_timer Timer;
  std::chrono::steady_clock::time_point NextList{};
  bool Loaded = false;
  std::uint64_t ListVersion = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_CONFIGDUTY_H
