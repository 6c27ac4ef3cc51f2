// The callers' HTTP port: service requests, announcements and health.
#ifndef DAISYSPOOL_SRC_ENTRY_CALLERPORT_H
#define DAISYSPOOL_SRC_ENTRY_CALLERPORT_H

#include "daisyspool/core/Random.h"
#include "daisyspool/entry/RequestFlow.h"
#include "daisyspool/entry/RequestMetrics.h"
#include "daisyspool/entry/TargetPool.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/settings/EntrySettings.h"
#include "entry/JobPort.h"

#include <functional>
#include <memory>

namespace daisyspool {

class CallerPort {
public:
  CallerPort(boost::asio::io_context &Io, const EntrySettings &Settings,
             Incarnation Number, TargetPool &Pool, RequestFlow &Flow,
             JobPort &Jobs, RequestMetrics &Counters);
  CallerPort(const CallerPort &) = delete;
  CallerPort &operator=(const CallerPort &) = delete;

  void drain(std::function<void()> Done);

  /// Handles a request from a caller, or one that another entry forwarded.
  void handle(http::Request Received, std::shared_ptr<http::Exchange> Answer);

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  void handleAnnouncement(const http::Request &Received,
                          http::Exchange &Answer);
  void handleService(http::Request Received, const ExchangePtr &Answer);

  const EntrySettings &Settings;
  TargetPool &Pool;
  RequestFlow &Flow;
  JobPort &Jobs;
  RequestMetrics &Counters;
  Random Source;
  http::Server Server;
  bool Draining = false;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_ENTRY_CALLERPORT_H
