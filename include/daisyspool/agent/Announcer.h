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

/// Announces the target to an entry through the balancer at each interval. Each
/// announcement uses a new connection, so that the balancer may choose another
/// entry.
///
/// Thread safety: call from the I/O thread only.
class Announcer {
public:
  /// Receives the gossip addresses from an entry's answer.
  using SeedCallback = std::function<void(std::vector<http::Endpoint>)>;

  Announcer(boost::asio::io_context &Io, http::Endpoint Balancer,
            wire::Announcement Content, Millis Interval, SeedCallback OnSeeds);
  Announcer(const Announcer &) = delete;
  Announcer &operator=(const Announcer &) = delete;

  /// Announces at once, and in all later announcements, that the target is
  /// leaving.
  void leave();

private:
  void onAnswer(const http::Response &Answer);
  void announce();
  void schedule();

  boost::asio::io_context &Io;
  http::Endpoint Balancer;
  wire::Announcement Content;
  Millis Interval;
  SeedCallback OnSeeds;
  boost::asio::steady_timer Timer;
  Random Jitter;
};

} // namespace daisyspool

#endif // DAISYSPOOL_AGENT_ANNOUNCER_H
