#include "owner_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace gentiandeal {
namespace {

/// Processor share that an instance without a known one counts as.
constexpr int32_t kDefaultCpuMilli = 1000;

/// Rendezvous hash of a pair of names.
uint64_t HashPair(const std::string& a, const std::string& b) {
  const std::string joined = a + '\n' + b;
  return XXH3_64bits(joined.data(), joined.size());
}

/// Owner of some workers of a data centre.
struct Share {
  std::string name_;
  double capacity_ = 0;
  size_t limit_ = 0;
  size_t workers_ = 0;
};

/// Assigns workers to shares: each one stays with its present owner up to that
/// owner's limit, the rest go where the load is lowest.
void Distribute(const std::vector<std::string>& workers,
                const std::map<std::string, std::string>& present,
                std::vector<Share> shares,
                std::map<std::string, std::string>* assignment) {
  if (shares.empty()) return;
  double capacity = 0;
  for (const Share& share : shares) capacity += share.capacity_;
  std::map<std::string, Share*> by_name;
  for (Share& share : shares) {
    const double part =
        static_cast<double>(workers.size()) * share.capacity_ / capacity;
    share.limit_ = static_cast<size_t>(part) + 1;
    if (static_cast<double>(share.limit_ - 1) == part) --share.limit_;
    by_name[share.name_] = &share;
  }
  std::vector<std::string> unassigned;
  for (const std::string& id : workers) {
    const auto owner = present.find(id);
    const auto keeper =
        owner == present.end() ? by_name.end() : by_name.find(owner->second);
    if (keeper == by_name.end() ||
        keeper->second->workers_ >= keeper->second->limit_) {
      unassigned.push_back(id);
      continue;
    }
    ++keeper->second->workers_;
    (*assignment)[id] = keeper->first;
  }
  const auto load = [](const Share& share) {
    return static_cast<double>(share.workers_ + 1) / share.capacity_;
  };
  for (const std::string& id : unassigned) {
    const auto lowest = std::min_element(
        shares.begin(), shares.end(),
        [&](const Share& a, const Share& b) { return load(a) < load(b); });
    ++lowest->workers_;
    (*assignment)[id] = lowest->name_;
  }
}

}  // namespace

double OwnerCapacity(const SelectableInstance& instance) {
  const int32_t cpu_milli =
      instance.cpu_milli_ > 0 ? instance.cpu_milli_ : kDefaultCpuMilli;
  const double by_processor = kWorkersPerCore * cpu_milli / 1000;
  if (!instance.link_rate_.known()) return by_processor;
  const double megabytes_per_s =
      static_cast<double>(instance.link_rate_.bytes_per_s_) / 1e6;
  return std::min(by_processor, kWorkersPerMegabyte * megabytes_per_s);
}

SelectedOwners SelectOwners(const OwnershipView& view,
                            std::set<std::string>* next) {
  std::map<std::string, size_t> workers;
  for (const auto& [id, data_centre] : view.workers_) ++workers[data_centre];
  std::set<std::string> owning;
  for (const auto& [id, name] : view.owners_) owning.insert(name);
  SelectedOwners owners;
  for (const auto& [name, instance] : view.instances_) {
    owners[instance.data_centre_].push_back(name);
  }
  for (auto& [data_centre, names] : owners) {
    std::vector<std::tuple<double, bool, std::string>> ranked;
    for (const std::string& name : names) {
      ranked.emplace_back(-OwnerCapacity(view.instances_.at(name)),
                          owning.count(name) == 0, name);
    }
    std::sort(ranked.begin(), ranked.end());
    names.clear();
    double served = 0;
    for (const auto& [capacity, idle, name] : ranked) {
      if (names.size() >= kMinOwners &&
          served >= static_cast<double>(workers[data_centre])) {
        if (next != nullptr) next->insert(name);
        break;
      }
      names.push_back(name);
      served += -capacity;
    }
    std::sort(names.begin(), names.end());
  }
  return owners;
}

std::map<std::string, std::string> AssignWorkers(
    const OwnershipView& view, const SelectedOwners& owners,
    const std::string& data_centre) {
  std::vector<std::string> near;
  std::vector<std::string> unserved;
  for (const auto& [id, workers_centre] : view.workers_) {
    if (owners.count(workers_centre) == 0) {
      unserved.push_back(id);
    } else if (workers_centre == data_centre) {
      near.push_back(id);
    }
  }
  std::vector<Share> near_shares;
  std::vector<Share> all_shares;
  for (const auto& [owners_centre, names] : owners) {
    for (const std::string& name : names) {
      const Share share{name, OwnerCapacity(view.instances_.at(name))};
      all_shares.push_back(share);
      if (owners_centre == data_centre) near_shares.push_back(share);
    }
  }
  std::map<std::string, std::string> assignment;
  Distribute(near, view.owners_, std::move(near_shares), &assignment);
  Distribute(unserved, view.owners_, std::move(all_shares), &assignment);
  return assignment;
}

std::set<std::string> SelectLinks(const SelectedOwners& owners,
                                  const std::string& self,
                                  const std::string& data_centre) {
  std::set<std::string> links;
  for (const auto& [owners_centre, names] : owners) {
    if (owners_centre == data_centre) {
      links.insert(names.begin(), names.end());
      continue;
    }
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const std::string& name : names) {
      ranked.emplace_back(HashPair(self, name), name);
    }
    std::sort(ranked.begin(), ranked.end());
    for (size_t i = 0; i < std::min(kRemoteLinks, ranked.size()); ++i) {
      links.insert(ranked[i].second);
    }
  }
  links.erase(self);
  return links;
}

}  // namespace gentiandeal
