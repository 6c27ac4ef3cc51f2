#include "daisyspool/platform/Base64.h"

#include <openssl/evp.h>

namespace daisyspool {

namespace {

const unsigned char *bytesOf(const std::string &Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string toBase64(const std::string &Bytes) {
  // OpenSSL writes a terminating zero after the text.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                               bytesOf(Bytes), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));

  return Text;
}

std::optional<std::string> fromBase64(const std::string &Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % 4 != 0)
    return std::nullopt;

  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                               bytesOf(Text), static_cast<int>(Text.size()));
  if (Length < 0 || static_cast<std::size_t>(Length) != Bytes.size())
    return std::nullopt;

  // OpenSSL decodes padding as zero bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(Bytes.size() - Padding);
  return Bytes;
}

} // namespace daisyspool
