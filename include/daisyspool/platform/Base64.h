#ifndef DAISYSPOOL_PLATFORM_BASE64_H
#define DAISYSPOOL_PLATFORM_BASE64_H

#include <optional>
#include <string>

namespace daisyspool {

/// Encodes \p Bytes as standard base64 with padding and without line breaks.
std::string toBase64(const std::string &Bytes);

/// Decodes the output of toBase64(). Returns nothing if \p Text is not valid
/// base64 of that form.
std::optional<std::string> fromBase64(const std::string &Text);

} // namespace daisyspool

#endif // DAISYSPOOL_PLATFORM_BASE64_H
