#ifndef GENTIANDEAL_SRC_LINK_RATE_H_
#define GENTIANDEAL_SRC_LINK_RATE_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Data rate of an instance's network link. Unknown while zero, and then
/// treated as unlimited.
struct LinkRate {
  int64_t bytes_per_s_ = 0;

  friend bool operator==(const LinkRate&, const LinkRate&) = default;
  bool known() const { return bytes_per_s_ > 0; }
  /// Returns the time that the link takes to carry some bytes.
  Duration TimeFor(int64_t bytes) const {
    return known() ? Duration{bytes * 1000 / bytes_per_s_} : Duration{0};
  }
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LINK_RATE_H_
