#ifndef GENTIANDEAL_SRC_CLIENT_IDS_H_
#define GENTIANDEAL_SRC_CLIENT_IDS_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Key that authenticates the client ids of one incarnation.
using ClientSecret = std::array<uint8_t, 32>;

/// Issues and checks the client ids of one incarnation. Keeps nothing for an
/// issued id: the id itself carries its owner, expiry and a keyed hash.
class ClientIds {
 public:
  ClientIds(Incarnation owner, const ClientSecret& secret)
      : owner_(owner), secret_(secret) {}

  /// Issues the next id. Serial numbers grow with the time of issue.
  ClientId Issue(Time now);

  /// Whether this incarnation issued `id`, unchanged.
  bool Authentic(const ClientId& id) const;

  static bool Expired(const ClientId& id, Time now) {
    return now.ms_ >= id.expires_ms_;
  }

 private:
  std::array<uint8_t, 16> Mac(const ClientId& id) const;

  Incarnation owner_;
  ClientSecret secret_;
  uint64_t last_serial_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CLIENT_IDS_H_
