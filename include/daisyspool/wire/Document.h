#ifndef DAISYSPOOL_WIRE_DOCUMENT_H
#define DAISYSPOOL_WIRE_DOCUMENT_H

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <type_traits>

namespace daisyspool::wire {

/// Limits of a document that another process wrote. The defaults lie far above
/// all known messages, which have at most 6 levels and some 40,000 elements.
struct DocumentLimits {
  std::size_t MaxBytes = 64 * 1024 * 1024;
  /// Nested arrays and objects. Copying a value recurses once for each level,
  /// and 60,000 levels overflow the stack.
  std::size_t MaxDepth = 64;
  /// Values of all levels. An empty object of 3 bytes takes some 80 bytes of
  /// memory, and a machine has 128 MB.
  std::size_t MaxElements = 200000;
};

/// Parse a whole document, without recursion beyond the maximum depth. Its text
/// is UTF-8, as a JSON message that is made of it requires.
///
/// Thread safety: safe from any thread. Errors: throw ProtocolError if the
/// bytes are malformed or exceed \p Limits.
nlohmann::json parseJson(std::string_view Bytes,
                         const DocumentLimits &Limits = {});
nlohmann::json parseMsgpack(std::string_view Bytes,
                            const DocumentLimits &Limits = {});

/// A number that is rounded towards zero. Errors: throws ProtocolError if \p
/// Value is not a number, or the result is not from \p Min to \p Max.
std::int64_t wholeNumber(const nlohmann::json &Value, std::int64_t Min,
                         std::int64_t Max);

/// The same for a number that is not negative and is limited only by its type.
/// The limit of 64-bit types leaves room for increments.
template <typename T> T wholeNumber(const nlohmann::json &Value) {
  static_assert(std::is_integral_v<T> && !std::is_same_v<T, bool>);
  constexpr std::int64_t Max =
      sizeof(T) < sizeof(std::int64_t)
          ? static_cast<std::int64_t>(std::numeric_limits<T>::max())
          : std::int64_t{1} << 62;
  return static_cast<T>(wholeNumber(Value, 0, Max));
}

/// A number from \p Min to \p Max. Errors: throws ProtocolError if \p Value is
/// another one or not a number.
double realNumber(const nlohmann::json &Value, double Min, double Max);

} // namespace daisyspool::wire

#endif // DAISYSPOOL_WIRE_DOCUMENT_H
