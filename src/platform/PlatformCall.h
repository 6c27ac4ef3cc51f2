// A call to one of the platform's HTTP services: signed if there is a key,
// with transport failures as the platform's exceptions.
#ifndef DAISYSPOOL_SRC_PLATFORM_PLATFORMCALL_H
#define DAISYSPOOL_SRC_PLATFORM_PLATFORMCALL_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/platform/BlockingClient.h"
#include "daisyspool/platform/SignatureV4.h"

#include <optional>
#include <string>

namespace daisyspool {

class PlatformCall {
public:
  PlatformCall(http::Endpoint Server, const std::optional<AccessKey> &Key,
               const std::string &Region, const std::string &Service,
               Millis Timeout, const Clock &Time);

  /// Throws PlatformUnavailable without an answer and PlatformProtocolError on
  /// one that is not HTTP.
  http::Response exchange(http::Request What);

private:
  BlockingClient Client;
  std::optional<SignatureV4> Signer;
  Millis Timeout;
  const Clock &Time;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_PLATFORM_PLATFORMCALL_H
