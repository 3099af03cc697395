#ifndef GENTIANDEAL_SRC_OWNER_SELECTION_H_
#define GENTIANDEAL_SRC_OWNER_SELECTION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "link_rate.h"

/// Which instances own leased workers, and which instances stay connected.
/// Pure functions of what the store lists: instances with equal views get equal
/// results, without talking to each other.
namespace gentiandeal {

/// Workers that one core of an instance's processor share can serve as owner,
/// beside the callers that the instance serves.
inline constexpr double kWorkersPerCore = 128;
/// Workers that each megabyte a second of an instance's link can serve: what
/// their tasks are sent with takes half of it.
inline constexpr double kWorkersPerMegabyte = 32;
/// Fewest owners of a data centre with as many instances, so that the loss of
/// one leaves another that already owns workers there.
inline constexpr size_t kMinOwners = 2;
/// Owners of each other data centre that an instance connects to.
inline constexpr size_t kRemoteLinks = 2;

/// A live instance that takes part in the selection.
struct SelectableInstance {
  std::string data_centre_;
  int32_t cpu_milli_ = 0;  ///< Its processor share, in thousandths of a core.
  LinkRate link_rate_{};
};

/// Workers that an instance can serve as owner.
double OwnerCapacity(const SelectableInstance& instance);

/// Live instances, listed workers and present owners.
struct OwnershipView {
  std::map<std::string, SelectableInstance> instances_;  ///< By name.
  std::map<std::string, std::string> workers_;           ///< Id to data centre.
  std::map<std::string, std::string> owners_;  ///< Worker id to instance.
};

/// Names of owners by data centre, sorted.
using SelectedOwners = std::map<std::string, std::vector<std::string>>;

/// Selects as few owners in each data centre as can serve its workers, at least
/// `kMinOwners`: a job's tasks find room at an owner of many workers when they
/// find none at several owners of few, and the messages between instances grow
/// with the number of owners. Instances that can serve the most workers come
/// first, and among equals those that own workers already.
/// @param next Receives the instance of each data centre that is selected next,
///     if there is one; may be null.
SelectedOwners SelectOwners(const OwnershipView& view,
                            std::set<std::string>* next = nullptr);

/// Distributes the workers of a data centre over its selected owners, in
/// proportion to what they can serve and with as few moves as possible.
/// Workers of data centres without an instance are distributed over all
/// selected owners.
/// @param data_centre That of the workers to assign, beside those of data
///     centres without an instance.
/// @returns the assigned owner by worker id.
std::map<std::string, std::string> AssignWorkers(
    const OwnershipView& view, const SelectedOwners& owners,
    const std::string& data_centre);

/// Returns the names of the owners that an instance assigns tasks to: all of
/// its data centre, and `kRemoteLinks` of each other one, which differ between
/// instances so that the owners' sessions are spread.
std::set<std::string> SelectLinks(const SelectedOwners& owners,
                                  const std::string& self,
                                  const std::string& data_centre);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_OWNER_SELECTION_H_
