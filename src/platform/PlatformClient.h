#ifndef DAISYSPOOL_SRC_PLATFORM_PLATFORMCLIENT_H
#define DAISYSPOOL_SRC_PLATFORM_PLATFORMCLIENT_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/platform/BlockingClient.h"
#include "daisyspool/platform/SignatureV4.h"

#include <optional>
#include <string>

namespace daisyspool {

/// Blocking client of one of the platform's HTTP services. Signs requests if
/// there is a key, and turns transport failures into the platform's exceptions.
///
/// Thread safety: one thread per instance.
class PlatformClient {
public:
  PlatformClient(http::Endpoint Server, const std::optional<AccessKey> &Key,
                 const std::string &Region, const std::string &Service,
                 Millis Timeout, const Clock &Time);

  /// Signs and sends \p Outgoing and waits for the answer. Throws
  /// PlatformUnavailable if there is none and PlatformProtocolError if it is
  /// not valid HTTP.
  http::Response exchange(http::Request Outgoing);

private:
  BlockingClient Http;
  std::optional<SignatureV4> Signer;
  Millis Timeout;
  const Clock &Time;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_PLATFORM_PLATFORMCLIENT_H
