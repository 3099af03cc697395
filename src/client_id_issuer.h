#ifndef GENTIANDEAL_SRC_CLIENT_ID_ISSUER_H_
#define GENTIANDEAL_SRC_CLIENT_ID_ISSUER_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Key of the message authentication code in the client ids of one incarnation.
using ClientSecret = std::array<uint8_t, 32>;

/// Issues and verifies the client ids of one incarnation. Issued ids need no
/// storage: an id carries its owner, its expiry and a keyed hash (HMAC-SHA-256,
/// truncated to 128 bits).
class ClientIdIssuer {
 public:
  ClientIdIssuer(Incarnation owner, const ClientSecret& secret)
      : owner_(owner), secret_(secret) {}

  /// Issues an id that expires `kClientIdLifetime` after `now`. Serial numbers
  /// grow with the time of issue.
  ClientId Issue(Time now);

  /// @returns true if this incarnation issued `id` and it was not modified.
  bool IsAuthentic(const ClientId& id) const;

  /// @param now On the clock of the incarnation that issued `id`.
  static bool Expired(const ClientId& id, Time now) {
    return now.ms_ >= id.expires_ms_;
  }

 private:
  /// Computes the keyed hash of the owner, serial number and expiry of `id`.
  std::array<uint8_t, 16> Mac(const ClientId& id) const;

  Incarnation owner_;
  ClientSecret secret_;
  uint64_t last_serial_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CLIENT_ID_ISSUER_H_
