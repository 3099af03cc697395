#include "worker_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

/// A worker whose entry expired during a store outage is listed again within
/// two seconds of the store's return. One still unlisted after this is gone.
constexpr Duration kUnlistedGrace{2200};
/// A worker unlisted for longer than this is released even if it has runs left.
constexpr Duration kUnlistedLimit{4500};

}  // namespace

bool ParseInstanceRecord(std::string_view text, InstanceRecord* out) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return false;
  try {
    InstanceRecord record;
    record.name_.value_ = json.at("name").get<std::string>();
    record.incarnation_.value_ = json.at("incarnation").get<uint64_t>();
    record.data_centre_ = json.at("data_centre").get<std::string>();
    record.draining_ = json.at("draining").get<bool>();
    record.workers_ = json.at("workers").get<std::set<std::string>>();
    if (ParseAddress(json.at("peers").get<std::string>(),
                     &record.peer_address_)) {
      return false;
    }
    *out = std::move(record);
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

std::string ToJson(const InstanceRecord& record) {
  Json json;
  json["name"] = record.name_.value_;
  json["incarnation"] = record.incarnation_.value_;
  json["data_centre"] = record.data_centre_;
  json["peers"] = ToString(record.peer_address_);
  json["draining"] = record.draining_;
  json["workers"] = record.workers_;
  return json.dump();
}

std::map<std::string, std::string> AssignWorkers(const OwnershipView& view) {
  std::map<std::string, std::vector<std::string>> workers;
  std::map<std::string, std::vector<std::string>> instances;
  std::map<std::string, size_t> count;
  for (const auto& [name, data_centre] : view.instances_) {
    instances[data_centre].push_back(name);
    count[name] = 0;
  }
  for (const auto& [id, data_centre] : view.workers_) {
    const bool served = instances.count(data_centre) > 0;
    workers[served ? data_centre : std::string()].push_back(id);
  }
  std::map<std::string, std::string> assignment;
  for (const auto& [data_centre, ids] : workers) {
    std::vector<std::string> candidates;
    if (data_centre.empty()) {
      for (const auto& [name, unused] : view.instances_) {
        candidates.push_back(name);
      }
    } else {
      candidates = instances[data_centre];
    }
    if (candidates.empty()) continue;
    std::map<std::string, size_t> share;
    for (const std::string& name : candidates) share[name] = 0;
    const size_t max_share =
        (ids.size() + candidates.size() - 1) / candidates.size();
    std::vector<std::string> unassigned;
    for (const std::string& id : ids) {
      const auto owner = view.owners_.find(id);
      const auto keeper =
          owner == view.owners_.end() ? share.end() : share.find(owner->second);
      if (keeper == share.end() || keeper->second >= max_share) {
        unassigned.push_back(id);
        continue;
      }
      ++keeper->second;
      assignment[id] = keeper->first;
    }
    for (const std::string& id : unassigned) {
      const auto smallest = std::min_element(
          share.begin(), share.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      ++smallest->second;
      assignment[id] = smallest->first;
    }
  }
  return assignment;
}

void WorkerOwnership::InstanceListed(const InstanceRecord& record) {
  if (record.name_ == self_.name_) return;
  Peer& peer = peers_[record.name_.value_];
  peer.record_ = record;
  peer.listed_ = true;
}

void WorkerOwnership::InstanceUnlisted(const InstanceName& name) {
  const auto found = peers_.find(name.value_);
  if (found == peers_.end()) return;
  found->second.listed_ = false;
  if (!found->second.reachable_) peers_.erase(found);
}

void WorkerOwnership::SetReachable(const InstanceName& name, bool reachable) {
  const auto found = peers_.find(name.value_);
  if (found == peers_.end()) return;
  found->second.reachable_ = reachable;
  if (!reachable && !found->second.listed_) peers_.erase(found);
}

void WorkerOwnership::WorkerListed(const LeasedWorker& worker, Time /*now*/,
                                   OwnershipOutbox* out) {
  listed_[worker.id_.value_] = worker;
  unlisted_.erase(worker.id_.value_);
  if (owned_.count(worker.id_.value_) > 0) out->push_back(UpdateWorker{worker});
}

void WorkerOwnership::WorkerUnlisted(const WorkerId& worker, Time now) {
  if (listed_.count(worker.value_) > 0) unlisted_.emplace(worker.value_, now);
}

void WorkerOwnership::RecordWritten(Fence fence, OwnershipOutbox* out) {
  write_pending_ = false;
  for (const std::string& id : self_.workers_) {
    const auto listed = listed_.find(id);
    if (owned_.count(id) > 0 || listed == listed_.end()) continue;
    owned_.insert(id);
    out->push_back(AcquireWorker{listed->second, fence});
  }
}

void WorkerOwnership::OwnershipLost(const WorkerId& worker) {
  owned_.erase(worker.value_);
  draining_workers_.erase(worker.value_);
  record_changed_ = self_.workers_.erase(worker.value_) > 0 || record_changed_;
}

void WorkerOwnership::Drain() {
  self_.draining_ = true;
  record_changed_ = true;
}

OwnershipView WorkerOwnership::BuildView() const {
  OwnershipView view;
  if (!self_.draining_) {
    view.instances_[self_.name_.value_] = self_.data_centre_;
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer.record_.draining_) {
      view.instances_[name] = peer.record_.data_centre_;
    }
    for (const std::string& id : peer.record_.workers_) {
      view.owners_[id] = name;
    }
  }
  for (const std::string& id : self_.workers_) {
    view.owners_[id] = self_.name_.value_;
  }
  for (const auto& [id, worker] : listed_) {
    view.workers_[id] = worker.data_centre_;
  }
  return view;
}

void WorkerOwnership::RemoveUnlistedWorkers(
    Time now, const std::function<bool(const WorkerId&)>& idle,
    OwnershipOutbox* out) {
  for (auto entry = unlisted_.begin(); entry != unlisted_.end();) {
    const auto& [id, since] = *entry;
    const Duration age = now - since;
    const bool expired =
        age > kUnlistedGrace && (idle({id}) || age > kUnlistedLimit);
    if (!expired) {
      if (age > kUnlistedGrace && owned_.count(id) > 0) {
        out->push_back(DrainWorker{{id}});
      }
      ++entry;
      continue;
    }
    if (owned_.count(id) > 0) out->push_back(ReleaseWorker{{id}});
    OwnershipLost({id});
    listed_.erase(id);
    entry = unlisted_.erase(entry);
  }
}

void WorkerOwnership::Tick(Time now,
                           const std::function<bool(const WorkerId&)>& idle,
                           OwnershipOutbox* out) {
  RemoveUnlistedWorkers(now, idle, out);
  if (!store_up_ && !self_.draining_) return;
  const OwnershipView view = BuildView();
  const auto assignment = AssignWorkers(view);
  for (const auto& [id, worker] : listed_) {
    const auto assigned = assignment.find(id);
    const bool has_owner = assigned != assignment.end();
    const bool assigned_here =
        has_owner && assigned->second == self_.name_.value_;
    if (owned_.count(id) > 0) {
      if (self_.draining_ || (has_owner && !assigned_here)) {
        DrainAndRelease({id}, idle, out);
      }
    } else if (assigned_here && now >= claim_from_ &&
               view.owners_.count(id) == 0 && unlisted_.count(id) == 0) {
      record_changed_ = self_.workers_.insert(id).second || record_changed_;
    }
  }
  if (!record_changed_ || write_pending_ || !store_up_) return;
  record_changed_ = false;
  write_pending_ = true;
  out->push_back(PublishRecord{self_});
}

void WorkerOwnership::DrainAndRelease(
    const WorkerId& worker, const std::function<bool(const WorkerId&)>& idle,
    OwnershipOutbox* out) {
  if (draining_workers_.insert(worker.value_).second) {
    out->push_back(DrainWorker{worker});
  }
  if (!idle(worker)) return;
  out->push_back(ReleaseWorker{worker});
  OwnershipLost(worker);
}

std::vector<InstanceRecord> WorkerOwnership::Peers() const {
  std::vector<InstanceRecord> peers;
  for (const auto& [name, peer] : peers_) peers.push_back(peer.record_);
  return peers;
}

}  // namespace gentiandeal
