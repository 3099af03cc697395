#include "base64.h"

#include <openssl/evp.h>

namespace gentiandeal {

bool DecodeBase64(std::string_view text, std::string* out) {
  if (text.size() % 4 != 0) return false;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) return false;
  size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(size) - padding);
  *out = std::move(bytes);
  return true;
}

std::string EncodeBase64(std::string_view bytes) {
  // `EVP_EncodeBlock` also writes a terminating zero byte.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

}  // namespace gentiandeal
