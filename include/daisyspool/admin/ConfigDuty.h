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

/// A change of the configuration that an operator requests.
struct ConfigProposal {
  ConfigVersion Base;
  ChangeOrigin Origin;
  std::vector<ConfigFile> Files;
  bool DryRun = false;
};

/// Connects an entry to the configuration store: proposes operators' changes,
/// reads the changes that other entries accepted, and maintains the list of
/// entries in the table service.
///
/// Calls of the table service block, so the io_context must run on a thread of
/// its own.
///
/// Thread safety: propose() from any thread; the callback runs on the thread of
/// the io_context.
class ConfigDuty {
public:
  struct Options {
    ProcessId Process;
    http::Endpoint GossipEndpoint;
    Millis HeadReadInterval{1500};
    Millis ListInterval{5000};
  };

  using Answer = std::function<void(http::Response)>;

  ConfigDuty(boost::asio::io_context &Io, Options Config,
             std::unique_ptr<TableService> Table, GossipDuty &Gossip);
  ConfigDuty(const ConfigDuty &) = delete;
  ConfigDuty &operator=(const ConfigDuty &) = delete;

  /// Validates a change and, unless it is a dry run, proposes it to the store.
  /// Calls \p Done with the response for the operator.
  void propose(ConfigProposal Change, Answer Done);

private:
  http::Response handleProposal(const ConfigProposal &Change);
  /// Loads the document once, then adopts the changes up to the store's head.
  void readHead();
  /// Writes the row of this entry and passes the other entries to gossip.
  void updateEntryList();
  /// Reads the changes after \p From up to \p To, and adopts and pushes them.
  void adoptChanges(ConfigVersion From, ConfigVersion To);
  /// Runs the periodic work now, and again after each HeadReadInterval.
  void runPeriodic();

  boost::asio::io_context &Io;
  Options Config;
  std::unique_ptr<TableService> Table;
  ConfigStore Store;
  GossipDuty &Gossip;
  boost::asio::steady_timer Timer;
  std::chrono::steady_clock::time_point NextListTime{};
  bool IsLoaded = false;
  std::uint64_t OwnRowVersion = 0;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_CONFIGDUTY_H
