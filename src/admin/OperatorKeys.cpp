#include "daisyspool/admin/OperatorKeys.h"

#include <openssl/crypto.h>

#include <fstream>
#include <sstream>

namespace daisyspool {

namespace {

constexpr std::string_view Scheme = "Bearer ";

bool sameKey(std::string_view Given, std::string_view Known) {
  return Given.size() == Known.size() &&
         CRYPTO_memcmp(Given.data(), Known.data(), Known.size()) == 0;
}

} // namespace

std::optional<OperatorIdentity>
OperatorKeys::identify(const http::Request &Call) const {
  if (Path.empty()) {
    std::string Name = http::findHeader(Call.Headers, "Daisyspool-Operator")
                           .value_or("anonymous");
    return OperatorIdentity{OperatorId(Name), OperatorRole::Admin};
  }

  auto Header = http::findHeader(Call.Headers, "Authorization");
  if (!Header || Header->rfind(Scheme, 0) != 0)
    return std::nullopt;

  std::string_view Given = std::string_view(*Header).substr(Scheme.size());
  std::ifstream File(Path);
  std::optional<OperatorIdentity> Result;
  // Every line is compared, so that the time does not tell which one matches.
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    std::string Name;
    std::string Role;
    std::string Key;
    if (!(Words >> Name >> Role >> Key) || Name.front() == '#')
      continue;
    if (sameKey(Given, Key))
      Result = OperatorIdentity{OperatorId(Name), Role == "admin"
                                                      ? OperatorRole::Admin
                                                      : OperatorRole::Viewer};
  }
  return Result;
}

} // namespace daisyspool
