#ifndef DAISYSPOOL_PLATFORM_SIGNATUREV4_H
#define DAISYSPOOL_PLATFORM_SIGNATUREV4_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"

#include <string>

namespace daisyspool {

/// The identity under which requests to the platform are signed.
struct AccessKey {
  std::string Id;
  std::string Secret;
  /// Empty for a permanent key.
  std::string SessionToken;
};

/// Reads the `default` profile of a file in the format of the AWS shared
/// credentials file. Throws SettingsError.
AccessKey readAccessKey(const std::string &Path);

/// SHA-256 of \p Bytes in lower-case hexadecimal digits.
std::string sha256Hex(const std::string &Bytes);

/// Percent-encodes every byte of \p Text except unreserved characters and '/'.
std::string encodePath(const std::string &Text);

/// Signs HTTP requests with AWS Signature Version 4.
///
/// Thread safety: const methods are safe from any thread.
class SignatureV4 {
public:
  SignatureV4(AccessKey Key, std::string Region, std::string Service);

  /// Adds the headers X-Amz-Date, X-Amz-Security-Token (with a session token)
  /// and Authorization to \p What, covering \p Host and every header that it
  /// has. Precondition: the target has no query and is already encoded.
  void sign(http::Request &What, const std::string &Host, WallMillis Now) const;

  /// The Authorization header of \p What, which has all the headers to cover,
  /// the Host header included. \p Date has the form 20130524T000000Z.
  std::string authorization(const http::Request &What,
                            const std::string &Date) const;

private:
  AccessKey Key;
  std::string Region;
  std::string Service;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_SIGNATUREV4_H
