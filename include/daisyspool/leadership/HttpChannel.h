#ifndef DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H
#define DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H

#include "daisyspool/http/Client.h"
#include "daisyspool/leadership/AgentLinks.h"

#include <boost/asio/io_context.hpp>

namespace daisyspool::leadership {

/// Path and content type of a sync request.
inline constexpr const char *SyncPath = "/sync";
inline constexpr const char *SyncContentType = "application/msgpack";

/// Sends sync requests to one agent over keep-alive HTTP connections.
class HttpChannel final : public AgentChannel {
public:
  HttpChannel(boost::asio::io_context &Io, const http::Endpoint &Agent);

  void exchange(const runner::SyncRequest &Request, Millis Timeout,
                std::function<void(SyncOutcome)> Done) override;

private:
  http::Client Client;
};

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_HTTPCHANNEL_H
