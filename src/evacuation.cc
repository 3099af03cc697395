#include "evacuation.h"

namespace gentiandeal {

void EvacuationRequests::Request(const std::string& data_centre,
                                 uint64_t revision) {
  if (!data_centre.empty()) requests_[data_centre] = revision;
}

std::optional<EvacuationUpdate> EvacuationRequests::TakeUpdate(
    bool complete, uint64_t revision) {
  const bool first = complete && !known_;
  known_ = known_ || complete;
  if (!known_ || (!first && requests_ == told_)) return std::nullopt;
  EvacuationUpdate update;
  for (const auto& [data_centre, requested_at] : requests_) {
    update.data_centres_.insert(data_centre);
    const auto told = told_.find(data_centre);
    if (told == told_.end() || told->second != requested_at) {
      update.changes_.push_back({data_centre, true, requested_at});
    }
  }
  for (const auto& [data_centre, requested_at] : told_) {
    if (requests_.count(data_centre) > 0) continue;
    update.changes_.push_back({data_centre, false, revision});
  }
  told_ = requests_;
  return update;
}

}  // namespace gentiandeal
