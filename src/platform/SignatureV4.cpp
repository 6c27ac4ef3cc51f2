#include "daisyspool/platform/SignatureV4.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <ini.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cctype>
#include <ctime>
#include <map>

namespace daisyspool {

namespace {

constexpr const char *Algorithm = "AWS4-HMAC-SHA256";

std::string toHex(const std::string &Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  for (char Each : Bytes) {
    auto Byte = static_cast<unsigned char>(Each);
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }

  return Text;
}

std::string sha256(const std::string &Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);

  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

std::string hmac(const std::string &Key, const std::string &Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Length);

  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

/// Strips outer spaces and reduces inner runs of spaces to one.
std::string trimmed(const std::string &Text) {
  std::string Result;
  for (char Each : Text)
    if (Each != ' ' || (!Result.empty() && Result.back() != ' '))
      Result += Each;
  if (!Result.empty() && Result.back() == ' ')
    Result.pop_back();

  return Result;
}

std::string formatDate(WallMillis Now) {
  std::time_t Seconds = std::chrono::floor<std::chrono::seconds>(Now).count();
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y%m%dT%H%M%SZ", &Parts);

  return {Text.data(), Length};
}

int collectKey(void *Into, const char *Section, const char *Name,
               const char *Value) {
  auto &Key = *static_cast<AccessKey *>(Into);
  std::string Field(Name);
  if (std::string(Section) != "default")
    return 1;

  if (Field == "aws_access_key_id")
    Key.Id = Value;
  else if (Field == "aws_secret_access_key")
    Key.Secret = Value;
  else if (Field == "aws_session_token")
    Key.SessionToken = Value;
  return 1;
}

} // namespace

AccessKey readAccessKey(const std::string &Path) {
  AccessKey Key;
  int Line = ini_parse(Path.c_str(), collectKey, &Key);
  if (Line < 0)
    throw SettingsError(Path, 0, "key file", "unreadable", "a readable file");
  if (Line > 0)
    throw SettingsError(Path, Line, "key file", "malformed line",
                        "[default] and name = value lines");
  if (Key.Id.empty())
    throw SettingsError(Path, 0, "aws_access_key_id", "", "a key id");
  if (Key.Secret.empty())
    throw SettingsError(Path, 0, "aws_secret_access_key", "", "a secret key");

  return Key;
}

std::string sha256Hex(const std::string &Bytes) { return toHex(sha256(Bytes)); }

std::string encodePath(const std::string &Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  const std::string Unreserved = "-._~/";
  std::string Result;
  for (char Each : Text) {
    auto Byte = static_cast<unsigned char>(Each);
    bool Plain = (Byte < 128 && std::isalnum(Byte) != 0) ||
                 Unreserved.find(Each) != std::string::npos;
    if (Plain) {
      Result += Each;
      continue;
    }
    Result += '%';
    Result += Digits[Byte >> 4];
    Result += Digits[Byte & 15];
  }

  return Result;
}

SignatureV4::SignatureV4(AccessKey Key, std::string Region, std::string Service)
    : Key(std::move(Key)), Region(std::move(Region)),
      Service(std::move(Service)) {}

void SignatureV4::sign(http::Request &What, const std::string &Host,
                       WallMillis Now) const {
  std::string Date = formatDate(Now);
  What.Headers.push_back({"X-Amz-Date", Date});
  if (!Key.SessionToken.empty())
    What.Headers.push_back({"X-Amz-Security-Token", Key.SessionToken});

  // The client adds the Host header itself.
  What.Headers.push_back({"Host", Host});
  std::string Authorization = authorization(What, Date);
  What.Headers.back() = {"Authorization", std::move(Authorization)};
}

std::string SignatureV4::authorization(const http::Request &What,
                                       const std::string &Date) const {
  assert(What.Target.find('?') == std::string::npos);
  std::map<std::string, std::string> Covered;
  for (const http::Header &Each : What.Headers)
    Covered[lowerCase(Each.Name)] = trimmed(Each.Value);

  std::string Names;
  std::string Lines;
  for (const auto &[Name, Value] : Covered) {
    if (!Names.empty())
      Names += ';';
    Names += Name;
    Lines.append(Name).append(":").append(Value).append("\n");
  }

  std::string Canonical = What.Method + '\n' + What.Target + "\n\n" + Lines +
                          '\n' + Names + '\n' + sha256Hex(What.Body);
  std::string Day = Date.substr(0, 8);
  std::string Scope = Day + '/' + Region + '/' + Service + "/aws4_request";
  std::string ToSign = std::string(Algorithm) + '\n' + Date + '\n' + Scope +
                       '\n' + sha256Hex(Canonical);

  std::string Derived = hmac("AWS4" + Key.Secret, Day);
  for (const std::string &Part : {Region, Service, std::string("aws4_request")})
    Derived = hmac(Derived, Part);

  return std::string(Algorithm) + " Credential=" + Key.Id + '/' + Scope +
         ", SignedHeaders=" + Names +
         ", Signature=" + toHex(hmac(Derived, ToSign));
}

} // namespace daisyspool
