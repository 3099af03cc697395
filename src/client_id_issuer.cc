#include "client_id_issuer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace gentiandeal {
namespace {

void WriteBigEndian(uint64_t value, std::array<uint8_t, 24>* out,
                    size_t offset) {
  for (size_t i = 0; i < sizeof(value); ++i) {
    (*out)[offset + i] = static_cast<uint8_t>(value >> (56 - 8 * i));
  }
}

}  // namespace

ClientId ClientIdIssuer::Issue(Time now) {
  ClientId id;
  id.owner_ = owner_;
  id.serial_ = ++last_serial_;
  id.expires_ms_ = (now + config::kClientIdLifetime).ms_;
  id.mac_ = Mac(id);
  return id;
}

bool ClientIdIssuer::IsAuthentic(const ClientId& id) const {
  if (id.owner_ != owner_) return false;
  const std::array<uint8_t, 16> expected = Mac(id);
  return CRYPTO_memcmp(expected.data(), id.mac_.data(), expected.size()) == 0;
}

std::array<uint8_t, 16> ClientIdIssuer::Mac(const ClientId& id) const {
  std::array<uint8_t, 24> message{};
  WriteBigEndian(id.owner_.value_, &message, 0);
  WriteBigEndian(id.serial_, &message, 8);
  WriteBigEndian(static_cast<uint64_t>(id.expires_ms_), &message, 16);
  std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       message.data(), message.size(), digest.data(), &size);
  std::array<uint8_t, 16> mac{};
  std::copy_n(digest.begin(), mac.size(), mac.begin());
  return mac;
}

}  // namespace gentiandeal
