#ifndef DAISYSPOOL_PLATFORM_SIGNATUREV4_H
#define DAISYSPOOL_PLATFORM_SIGNATUREV4_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/http/Types.h"

#include <string>

namespace daisyspool {

/// Credentials that sign requests to the platform.
struct AccessKey {
  std::string Id;
  std::string Secret;
  /// Empty for long-term credentials.
  std::string SessionToken;
};

/// Reads the `default` profile of a file in the format of the AWS shared
/// credentials file. Throws SettingsError.
AccessKey readAccessKey(const std::string &Path);

/// Returns the SHA-256 of \p Bytes in lower-case hexadecimal digits.
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
  /// and Authorization to \p Outgoing. The signature covers \p Host and every
  /// header of \p Outgoing. Precondition: the target has no query and is
  /// already encoded.
  void sign(http::Request &Outgoing, const std::string &Host,
            WallMillis Now) const;

  /// Returns the Authorization header of \p Outgoing, which must have every
  /// header to sign, including Host. \p Date has the form 20130524T000000Z.
  std::string authorization(const http::Request &Outgoing,
                            const std::string &Date) const;

private:
  AccessKey Key;
  std::string Region;
  std::string Service;
};

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_SIGNATUREV4_H
