#ifndef DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H
#define DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H

#include "daisyspool/http/Client.h"
#include "daisyspool/leadership/AgentLinks.h"

#include <boost/asio/io_context.hpp>

namespace daisyspool::leadership {

/// Path and content type of a sync between our processes.
inline constexpr const char *SyncPath = "/sync";
inline constexpr const char *SyncContentType = "application/msgpack";

/// Syncs over keep-alive HTTP connections to one agent.
class HttpChannel final : public AgentChannel {
public:
  HttpChannel(boost::asio::io_context &Io, const http::Endpoint &Agent);

  void exchange(const runner::SyncRequest &What, Millis Timeout,
                std::function<void(SyncOutcome)> Done) override;

private:
  http::Client Client;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H
