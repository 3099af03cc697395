#ifndef GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_
#define GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_

#include <array>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Counts the bytes of requests and answers held in memory, in total and per
/// team.
class BufferAccount {
 public:
  void Add(TeamHandle team, uint64_t bytes) {
    bytes_by_team_[team.value_] += bytes;
    total_ += bytes;
  }
  void Release(TeamHandle team, uint64_t bytes) {
    bytes_by_team_[team.value_] -= bytes;
    total_ -= bytes;
  }
  uint64_t total() const { return total_; }
  /// Bytes held for one team.
  uint64_t team_total(TeamHandle team) const {
    return bytes_by_team_[team.value_];
  }

 private:
  uint64_t total_ = 0;
  std::array<uint64_t, config::kMaxTeams> bytes_by_team_{};
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_
