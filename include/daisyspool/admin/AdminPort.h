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

/// The administration API of an entry, on a port and thread of its own so that
/// it answers while callers flood the entry.
///
/// Every call is identified in one place; changes need the role admin. See
/// docs/admin-api.md for the resources.
///
/// Thread safety: the thread that runs the io_context.
class AdminPort {
public:
  /// Adds the state of requests and shards to a status document. Calls its
  /// argument once, on any thread.
  using StatusSource = std::function<void(std::function<void(std::string)>)>;

  AdminPort(boost::asio::io_context &Io, http::Endpoint Listen,
            OperatorKeys Keys, Metrics &Values, GossipDuty &Gossip,
            ConfigDuty &Config, ServedLogDuty &Record, StatusSource Requests);
  AdminPort(const AdminPort &) = delete;
  AdminPort &operator=(const AdminPort &) = delete;

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  void handle(http::Request Received, ExchangePtr Answer);
  void status(const ExchangePtr &Answer);
  void showRecord(const http::Request &Received, const ExchangePtr &Answer);
  void showConfig(const ExchangePtr &Answer);
  void changeConfig(const http::Request &Received, const OperatorIdentity &Who,
                    const ExchangePtr &Answer);
  /// Answers from another duty's thread.
  std::function<void(http::Response)> answerLater(const ExchangePtr &Answer);

  boost::asio::io_context &Io;
  OperatorKeys Keys;
  Metrics &Values;
  GossipDuty &Gossip;
  ConfigDuty &Config;
  ServedLogDuty &Record;
  StatusSource Requests;
  http::Server Port;
};

} // namespace daisyspool

#endif // DAISYSPOOL_ADMIN_ADMINPORT_H
