#ifndef GENTIANDEAL_SRC_OPEN_JOBS_RELAY_H_
#define GENTIANDEAL_SRC_OPEN_JOBS_RELAY_H_

#include <map>

#include "mesh_wire.h"

namespace gentiandeal {

/// Long open jobs that an owner passes on to the instances of its data centre,
/// so that one that is sent a job knows where it is open although it isn't
/// connected to that coordinator. A list is passed on once for each time that
/// it was received: one whose coordinator has fallen silent isn't repeated.
class OpenJobsRelay {
 public:
  /// Records a coordinator's list, in place of its one before.
  void On(OpenJobList list) {
    received_[list.coordinator_.value_] = std::move(list.ids_);
  }

  /// Returns and forgets lists received since the last call.
  MeshOpenJobs Take() {
    MeshOpenJobs jobs;
    while (!received_.empty() &&
           jobs.lists_.size() < config::kMaxListsPerReport) {
      auto taken = received_.extract(received_.begin());
      jobs.lists_.push_back({{taken.key()}, std::move(taken.mapped())});
    }
    return jobs;
  }

 private:
  std::map<std::string, std::vector<std::string>> received_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_OPEN_JOBS_RELAY_H_
