#ifndef DAISYSPOOL_PLATFORM_BASE64_H
#define DAISYSPOOL_PLATFORM_BASE64_H

#include <optional>
#include <string>

namespace daisyspool {

/// Standard base64 with padding and without line breaks.
std::string toBase64(const std::string &Bytes);

/// The reverse of toBase64(); nothing if \p Text is not such a text.
std::optional<std::string> fromBase64(const std::string &Text);

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_BASE64_H
