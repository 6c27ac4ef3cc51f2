#include "daisyspool/admin/OperatorKeys.h"

#include <openssl/crypto.h>

#include <fstream>
#include <sstream>

namespace daisyspool {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

bool keysEqual(std::string_view GivenKey, std::string_view KnownKey) {
  return GivenKey.size() == KnownKey.size() &&
         CRYPTO_memcmp(GivenKey.data(), KnownKey.data(), KnownKey.size()) == 0;
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
  if (!Header || Header->rfind(BearerPrefix, 0) != 0)
    return std::nullopt;

  std::string_view GivenKey =
      std::string_view(*Header).substr(BearerPrefix.size());
  std::ifstream File(Path);
  std::optional<OperatorIdentity> Result;
  // Compares every line, so that the response time does not reveal which one
  // matches.
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Fields(Line);
    std::string Name;
    std::string Role;
    std::string Key;
    if (!(Fields >> Name >> Role >> Key) || Name.front() == '#')
      continue;
    if (keysEqual(GivenKey, Key))
      Result = OperatorIdentity{OperatorId(Name), Role == "admin"
                                                      ? OperatorRole::Admin
                                                      : OperatorRole::Viewer};
  }
  return Result;
}

} // namespace daisyspool
