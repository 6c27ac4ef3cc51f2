#include "daisyspool/http/Types.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisyspool::http {

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;

  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto [End, Failure] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Failure != std::errc{} || End != PortText.data() + PortText.size() ||
      Port == 0)
    return std::nullopt;

  std::string Address(Text.substr(0, Colon));
  boost::system::error_code Invalid;
  boost::asio::ip::make_address(Address, Invalid);
  if (Invalid)
    return std::nullopt;

  return Endpoint{std::move(Address), Port};
}

std::string toString(const Endpoint &Value) {
  return Value.Address + ":" + std::to_string(Value.Port);
}

std::optional<std::string> findHeader(const std::vector<Header> &Headers,
                                      std::string_view Name) {
  for (const Header &Candidate : Headers)
    if (boost::beast::iequals({Candidate.Name.data(), Candidate.Name.size()},
                              {Name.data(), Name.size()}))
      return Candidate.Value;

  return std::nullopt;
}

Response toResponse(const Problem &Fields) {
  nlohmann::json Document{{"type", "urn:daisyspool:problem:" + Fields.Type},
                          {"title", Fields.Type},
                          {"status", Fields.Status},
                          {"detail", Fields.Detail}};
  if (Fields.Executed)
    Document["execution"] = toString(*Fields.Executed);

  // The detail may quote invalid UTF-8 from a caller; it is replaced, as dump()
  // would throw by default.
  return Response{
      Fields.Status,
      {{"Content-Type", "application/problem+json"}},
      Document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace daisyspool::http
