#ifndef DAISYSPOOL_HTTP_TYPES_H
#define DAISYSPOOL_HTTP_TYPES_H

#include "daisyspool/core/Errors.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::http {

/// An IP address and port. Host names are not supported.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Parses "ADDRESS:PORT". Returns nothing if the text is not an IP address
/// and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// Returns \p Value as "ADDRESS:PORT".
std::string toString(const Endpoint &Value);

struct Header {
  std::string Name;
  std::string Value;
};

/// Returns the value of the first header \p Name, compared without case, or
/// nothing if there is none.
std::optional<std::string> findHeader(const std::vector<Header> &Headers,
                                      std::string_view Name);

struct Request {
  std::string Method;
  std::string Target;
  std::vector<Header> Headers;
  std::string Body;
};

struct Response {
  int Status = 200;
  std::vector<Header> Headers;
  std::string Body;
};

/// The fields of an RFC 9457 problem document as this project uses it.
struct Problem {
  int Status = 500;
  /// The last path segment of the problem type URI, for example "late".
  std::string Type;
  std::string Detail;
  /// Present on every refusal or failure of a caller's request.
  std::optional<Execution> Executed;
};

/// Builds an `application/problem+json` response.
Response toResponse(const Problem &Fields);

/// Thrown if there is no connection, no answer in time, or a malformed answer.
class ClientError : public Error {
public:
  enum class Kind { NotSent, NoAnswer, Malformed };

  ClientError(Kind Reason, const std::string &Detail)
      : Error(Detail), Reason(Reason) {}

  /// NotSent means that no byte of the request was sent.
  Kind reason() const { return Reason; }

private:
  Kind Reason;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_HTTP_TYPES_H
