#ifndef DAISYSPOOL_AGENT_ANNOUNCER_H
#define DAISYSPOOL_AGENT_ANNOUNCER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/http/Client.h"
#include "daisyspool/wire/Announcement.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace daisyspool {

/// Announces the target to any one entry through the balancer, again and
/// again, each time on a new connection so that another entry may hear it.
///
/// Thread safety: call from the I/O thread only.
class Announcer {
public:
  /// Gets the gossip addresses that an entry answered.
  using SeedCallback = std::function<void(std::vector<http::Endpoint>)>;

  Announcer(boost::asio::io_context &Io, http::Endpoint Balancer,
            wire::Announcement What, Millis Interval, SeedCallback OnSeeds);
  Announcer(const Announcer &) = delete;
  Announcer &operator=(const Announcer &) = delete;

  /// Announces at once that the target is leaving, and from then on.
  void leave();

private:
  void onAnswer(const http::Response &Answer);
  void announce();
  void schedule();

  boost::asio::io_context &Io;
  http::Endpoint Balancer;
  wire::Announcement What;
  Millis Interval;
  SeedCallback OnSeeds;
  boost::asio::steady_timer Timer;
  Random Jitter;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_ANNOUNCER_H
