#ifndef GENTIANDEAL_SRC_EVACUATION_H_
#define GENTIANDEAL_SRC_EVACUATION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentiandeal/gentiandeal.h"

/// Requests of the operator that nothing more starts in a data centre. Performs
/// no I/O.
namespace gentiandeal {

/// Longest wait of a watch call for requests that must be known within a time.
/// Of 5 s, the rest is for the end of the call (0.55 s), a list that fails
/// (1.65 s), one that is answered, and the lease of a start on its way (0.9 s).
constexpr Duration EvacuationWatchWait(Duration within) {
  return {within.ms_ * 7 / 20};
}

/// Begin or end of an evacuation; for logs.
struct EvacuationChange {
  std::string data_centre_;
  bool begun_ = false;
  /// Of the request; of the read that no longer listed it, at the end.
  uint64_t revision_ = 0;
};

/// Evacuated data centres after a read of the store.
struct EvacuationUpdate {
  std::set<std::string> data_centres_;
  std::vector<EvacuationChange> changes_;  ///< Since the last update.
};

/// Collects the requests that are read from the store. Nothing is known before
/// they have been listed completely once. From then on the last known requests
/// remain in force while the store can't be reached.
class EvacuationRequests {
 public:
  /// A request was listed or written. A nameless one is ignored.
  void Request(const std::string& data_centre, uint64_t revision);
  /// A request was removed.
  void Lift(const std::string& data_centre) { requests_.erase(data_centre); }

  /// Call after each answer of the store, and after each failed call.
  /// @param complete Whether all requests are known now.
  /// @param revision The store's at the time of the answer.
  /// @returns the evacuated data centres when they have become known, or when a
  ///     request has changed since the last update.
  std::optional<EvacuationUpdate> TakeUpdate(bool complete, uint64_t revision);

 private:
  bool known_ = false;
  std::map<std::string, uint64_t> requests_;  // revisions by data centre
  std::map<std::string, uint64_t> told_;      // as of the last update
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_EVACUATION_H_
