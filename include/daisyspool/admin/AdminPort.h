#ifndef DAISYSPOOL_ADMIN_ADMINPORT_H
#define DAISYSPOOL_ADMIN_ADMINPORT_H

#include "daisyspool/admin/ConfigDuty.h"
#include "daisyspool/admin/OperatorKeys.h"
#include "daisyspool/entry/ServedLogDuty.h"
#include "daisyspool/gossip/GossipDuty.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/telemetry/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisyspool {

/// Serves the administration API of an entry. Use a separate port and thread,
/// so that it answers while the entry is overloaded by callers.
///
/// All calls except those of /metrics are authenticated in handle(); changes
/// need the role admin. See docs/admin-api.md for the resources.
///
/// Thread safety: use only on the thread that runs the io_context.
class AdminPort {
public:
  /// Passes the state of requests and shards, as a JSON object, to its
  /// argument. Calls it once, on any thread.
  using StatusSource = std::function<void(std::function<void(std::string)>)>;

  AdminPort(boost::asio::io_context &Io, http::Endpoint Listen,
            OperatorKeys Keys, Metrics &Registry, GossipDuty &Gossip,
            ConfigDuty &Config, ServedLogDuty &ServedLog,
            StatusSource RequestStatus);
  AdminPort(const AdminPort &) = delete;
  AdminPort &operator=(const AdminPort &) = delete;

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  void handle(http::Request Received, ExchangePtr Answer);
  void showStatus(const ExchangePtr &Answer);
  void showRecord(const http::Request &Received, const ExchangePtr &Answer);
  void showConfig(const ExchangePtr &Answer);
  void changeConfig(const http::Request &Received,
                    const OperatorIdentity &Operator,
                    const ExchangePtr &Answer);
  /// Returns a function that sends the response from any thread.
  std::function<void(http::Response)> makeResponder(const ExchangePtr &Answer);

  boost::asio::io_context &Io;
  OperatorKeys Keys;
  Metrics &Registry;
  GossipDuty &Gossip;
  ConfigDuty &Config;
  ServedLogDuty &ServedLog;
  StatusSource RequestStatus;
  http::Server Server;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_ADMINPORT_H
