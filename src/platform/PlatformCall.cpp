#include "platform/PlatformCall.h"

#include "daisyspool/core/Errors.h"

#include <utility>

namespace daisyspool {

PlatformCall::PlatformCall(http::Endpoint Server,
                           const std::optional<AccessKey> &Key,
                           const std::string &Region,
                           const std::string &Service, Millis Timeout,
                           const Clock &Time)
    : Client(std::move(Server)), Timeout(Timeout), Time(Time) {
  if (Key)
    Signer.emplace(*Key, Region, Service);
}

http::Response PlatformCall::exchange(http::Request What) {
  if (Signer)
    Signer->sign(What, Client.host(), Time.wallNow());

  try {
    return Client.exchange(std::move(What), Timeout);
  } catch (const http::ClientError &Failure) {
    if (Failure.reason() == http::ClientError::Kind::Malformed)
      throw PlatformProtocolError(Failure.what());
    throw PlatformUnavailable(Failure.what());
  }
}

} // namespace daisyspool
