#ifndef GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_
#define GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_

#include <array>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Bytes of requests and answers held in memory, in all and for each team.
class BufferAccount {
 public:
  void Add(TeamHandle team, uint64_t bytes) {
    teams_[team.value_] += bytes;
    total_ += bytes;
  }
  void Release(TeamHandle team, uint64_t bytes) {
    teams_[team.value_] -= bytes;
    total_ -= bytes;
  }
  uint64_t total() const { return total_; }
  uint64_t of(TeamHandle team) const { return teams_[team.value_]; }

 private:
  uint64_t total_ = 0;
  std::array<uint64_t, config::kMaxTeams> teams_{};
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BUFFER_ACCOUNT_H_
