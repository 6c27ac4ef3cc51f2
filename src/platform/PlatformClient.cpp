#include "platform/PlatformClient.h"

#include "daisyspool/core/Errors.h"

#include <utility>

namespace daisyspool {

PlatformClient::PlatformClient(http::Endpoint Server,
                               const std::optional<AccessKey> &Key,
                               const std::string &Region,
                               const std::string &Service, Millis Timeout,
                               const Clock &Time)
    : Http(std::move(Server)), Timeout(Timeout), Time(Time) {
  if (Key)
    Signer.emplace(*Key, Region, Service);
}

http::Response PlatformClient::exchange(http::Request Outgoing) {
  if (Signer)
    Signer->sign(Outgoing, Http.host(), Time.wallNow());

  try {
    return Http.exchange(std::move(Outgoing), Timeout);
  } catch (const http::ClientError &Failure) {
    if (Failure.reason() == http::ClientError::Kind::Malformed)
      throw PlatformProtocolError(Failure.what());
    throw PlatformUnavailable(Failure.what());
  }
}

} // namespace daisyspool
