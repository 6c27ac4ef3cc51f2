// Conversions between the types of this module and of Boost.Beast.
#ifndef DAISYSPOOL_SRC_HTTP_CONVERT_H
#define DAISYSPOOL_SRC_HTTP_CONVERT_H

#include "daisyspool/http/Types.h"

#include <boost/beast/http.hpp>

namespace daisyspool::http {

namespace beast = boost::beast;

using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastResponse = beast::http::response<beast::http::string_body>;

/// Bytes reserved to read from a connection. A buffer without a reserve holds
/// 512 bytes, as it grows only for a header that does not fit, and each filling
/// of it is one turn of the event loop.
inline constexpr std::size_t ReadBufferBytes = 16 * 1024;

inline std::string toText(beast::string_view View) {
  return {View.data(), View.size()};
}

template <typename Fields> std::vector<Header> toHeaders(const Fields &From) {
  std::vector<Header> Result;
  for (const auto &Field : From)
    Result.push_back({toText(Field.name_string()), toText(Field.value())});

  return Result;
}

template <typename Message>
void setHeaders(Message &To, const std::vector<Header> &From) {
  for (const Header &Field : From)
    To.insert(Field.Name, Field.Value);
}

} // namespace daisyspool::http

#endif // DAISYSPOOL_SRC_HTTP_CONVERT_H
