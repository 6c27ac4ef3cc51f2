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

/// Strips leading and trailing spaces and reduces inner runs of spaces to one.
std::string collapseSpaces(const std::string &Text) {
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

/// Callback of ini_parse(); \p Into is the AccessKey.
int onKeyFileField(void *Into, const char *Section, const char *Name,
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
  int Line = ini_parse(Path.c_str(), onKeyFileField, &Key);
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
  const std::string UnreservedSymbols = "-._~/";
  std::string Result;
  for (char Each : Text) {
    auto Byte = static_cast<unsigned char>(Each);
    bool IsUnreserved = (Byte < 128 && std::isalnum(Byte) != 0) ||
                        UnreservedSymbols.find(Each) != std::string::npos;
    if (IsUnreserved) {
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

void SignatureV4::sign(http::Request &Outgoing, const std::string &Host,
                       WallMillis Now) const {
  std::string Date = formatDate(Now);
  Outgoing.Headers.push_back({"X-Amz-Date", Date});
  if (!Key.SessionToken.empty())
    Outgoing.Headers.push_back({"X-Amz-Security-Token", Key.SessionToken});

  // The signature covers the Host header, which the client adds when it sends.
  // It is only in the list for the call, and Authorization replaces it.
  Outgoing.Headers.push_back({"Host", Host});
  std::string Authorization = authorization(Outgoing, Date);
  Outgoing.Headers.back() = {"Authorization", std::move(Authorization)};
}

std::string SignatureV4::authorization(const http::Request &Outgoing,
                                       const std::string &Date) const {
  assert(Outgoing.Target.find('?') == std::string::npos);
  std::map<std::string, std::string> SignedHeaders;
  for (const http::Header &Each : Outgoing.Headers)
    SignedHeaders[lowerCase(Each.Name)] = collapseSpaces(Each.Value);

  std::string HeaderNames;
  std::string HeaderLines;
  for (const auto &[Name, Value] : SignedHeaders) {
    if (!HeaderNames.empty())
      HeaderNames += ';';
    HeaderNames += Name;
    HeaderLines.append(Name).append(":").append(Value).append("\n");
  }

  std::string CanonicalRequest = Outgoing.Method + '\n' + Outgoing.Target +
                                 "\n\n" + HeaderLines + '\n' + HeaderNames +
                                 '\n' + sha256Hex(Outgoing.Body);
  std::string Day = Date.substr(0, 8);
  std::string Scope = Day + '/' + Region + '/' + Service + "/aws4_request";
  std::string StringToSign = std::string(Algorithm) + '\n' + Date + '\n' +
                             Scope + '\n' + sha256Hex(CanonicalRequest);

  std::string SigningKey = hmac("AWS4" + Key.Secret, Day);
  for (const std::string &Part : {Region, Service, std::string("aws4_request")})
    SigningKey = hmac(SigningKey, Part);

  return std::string(Algorithm) + " Credential=" + Key.Id + '/' + Scope +
         ", SignedHeaders=" + HeaderNames +
         ", Signature=" + toHex(hmac(SigningKey, StringToSign));
}

} // namespace daisyspool
