#include "worker_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "json_checks.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

/// A worker whose entry expired during a store outage is listed again within
/// two seconds of the store's return. One still unlisted after this is gone.
constexpr Duration kUnlistedGrace{2200};
/// A worker unlisted for longer than this is released even if it has runs left.
constexpr Duration kUnlistedLimit{4500};
/// Workers and instances that plans may go through in a second. While many
/// instances start or stop, each change of their records would cause a plan.
constexpr int64_t kPlannedEntriesPerSecond = 10000;
/// Age of the records of instances up to which workers are claimed: some passes
/// of the event loop, and less than the pause between two reads.
constexpr Duration kMaxClaimViewAge{50};
/// Largest processor share and link of an instance that are believed.
constexpr int32_t kMaxCpuMilli = 1'000'000;
constexpr int64_t kMaxLinkBytesPerS = 1'000'000'000'000;

}  // namespace

bool ParseInstanceRecord(std::string_view text, InstanceRecord* out) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return false;
  try {
    InstanceRecord record;
    record.name_.value_ = json.at("name").get<std::string>();
    record.incarnation_.value_ = json.at("incarnation").get<uint64_t>();
    record.data_centre_ = json.at("data_centre").get<std::string>();
    if (!IsPlainName(record.name_.value_) ||
        !ReadOptional(json, "cpu_milli", 0, kMaxCpuMilli, &record.cpu_milli_) ||
        !ReadOptional(json, "link_bytes_per_s", int64_t{0}, kMaxLinkBytesPerS,
                      &record.link_rate_.bytes_per_s_)) {
      return false;
    }
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
  json["cpu_milli"] = record.cpu_milli_;
  json["link_bytes_per_s"] = record.link_rate_.bytes_per_s_;
  json["draining"] = record.draining_;
  json["workers"] = record.workers_;
  return ToJsonText(json);
}

void WorkerOwnership::InstanceListed(const InstanceRecord& record) {
  if (record.name_ == self_.name_) return;
  const auto [found, added] = peers_.try_emplace(record.name_.value_);
  Peer& peer = found->second;
  view_changed_ = view_changed_ || added || peer.record_ != record;
  peer.record_ = record;
  peer.listed_ = true;
}

void WorkerOwnership::InstanceUnlisted(const InstanceName& name) {
  const auto found = peers_.find(name.value_);
  if (found == peers_.end()) return;
  found->second.listed_ = false;
  if (found->second.reachable_) return;
  peers_.erase(found);
  view_changed_ = true;
}

void WorkerOwnership::SetReachable(const InstanceName& name, bool reachable) {
  const auto found = peers_.find(name.value_);
  if (found == peers_.end()) return;
  found->second.reachable_ = reachable;
  if (reachable || found->second.listed_) return;
  peers_.erase(found);
  view_changed_ = true;
}

void WorkerOwnership::WorkerListed(const LeasedWorker& worker, Time /*now*/,
                                   OwnershipOutbox* out) {
  LeasedWorkerRef& listed = listed_[worker.id_.value_];
  view_changed_ = view_changed_ || listed == nullptr ||
                  listed->data_centre_ != worker.data_centre_ ||
                  unlisted_.count(worker.id_.value_) > 0;
  unlisted_.erase(worker.id_.value_);
  if (listed == nullptr || *listed != worker) {
    listed = std::make_shared<const LeasedWorker>(worker);
  }
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
    // Others plan with what this instance owns now; so must this one.
    view_changed_ = true;
    out->push_back(AcquireWorker{*listed->second, fence});
  }
}

void WorkerOwnership::OwnershipLost(const WorkerId& worker) {
  owned_.erase(worker.value_);
  draining_workers_.erase(worker.value_);
  if (self_.workers_.erase(worker.value_) == 0) return;
  record_changed_ = view_changed_ = true;
}

void WorkerOwnership::Drain() {
  self_.draining_ = true;
  record_changed_ = view_changed_ = true;
}

OwnershipView WorkerOwnership::BuildView() const {
  OwnershipView view;
  if (!self_.draining_) {
    view.instances_[self_.name_.value_] = {self_.data_centre_, self_.cpu_milli_,
                                           self_.link_rate_};
  }
  // All instances must agree on the owner of a worker that several records
  // list: one that isn't draining, with the lowest name.
  const auto add_workers = [&view](const InstanceRecord& record) {
    const auto rank = [&view](const std::string& name) {
      return std::pair(view.instances_.count(name) == 0, name);
    };
    const std::string& name = record.name_.value_;
    for (const std::string& id : record.workers_) {
      const auto [owner, added] = view.owners_.emplace(id, name);
      if (!added && rank(name) < rank(owner->second)) owner->second = name;
    }
  };
  for (const auto& [name, peer] : peers_) {
    if (!peer.record_.draining_) {
      view.instances_[name] = {peer.record_.data_centre_,
                               peer.record_.cpu_milli_,
                               peer.record_.link_rate_};
    }
    add_workers(peer.record_);
  }
  add_workers(self_);
  for (const auto& [id, worker] : listed_) {
    view.workers_[id] = worker->data_centre_;
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
    view_changed_ = true;
    entry = unlisted_.erase(entry);
  }
}

void WorkerOwnership::Tick(Time now,
                           const std::function<bool(const WorkerId&)>& idle,
                           OwnershipOutbox* out) {
  RemoveUnlistedWorkers(now, idle, out);
  UpdatePlan(now);
  if (!store_up_ && !self_.draining_) return;
  ApplyPlan(now, idle, out);
  if (!record_changed_ || write_pending_ || !store_up_) return;
  record_changed_ = false;
  write_pending_ = true;
  out->push_back(PublishRecord{self_});
}

void WorkerOwnership::UpdatePlan(Time now) {
  const auto entries = static_cast<int64_t>(listed_.size() + peers_.size());
  const Duration interval{entries * 1000 / kPlannedEntriesPerSecond};
  if (!view_changed_ || now - planned_at_ < interval) return;
  view_changed_ = false;
  planned_at_ = now;
  claims_due_ = true;
  ++plan_version_;
  view_ = BuildView();
  std::set<std::string> next;
  SelectedOwners selected = SelectOwners(view_, &next);
  const auto near = selected.find(self_.data_centre_);
  const auto near_before = selected_.find(self_.data_centre_);
  may_own_ = next.count(self_.name_.value_) > 0;
  if (near != selected.end()) {
    may_own_ =
        may_own_ || std::binary_search(near->second.begin(), near->second.end(),
                                       self_.name_.value_);
    if (near_before == selected_.end() || near->second != near_before->second) {
      ++near_owners_version_;
    }
  }
  selected_ = std::move(selected);
  assignment_ = AssignWorkers(view_, selected_, self_.data_centre_);
  links_ = SelectLinks(selected_, self_.name_.value_, self_.data_centre_);
}

void WorkerOwnership::ApplyPlan(
    Time now, const std::function<bool(const WorkerId&)>& idle,
    OwnershipOutbox* out) {
  // A plan from before the view changed may take workers that have an owner.
  const bool plan_is_current = !view_changed_;
  std::vector<WorkerId> drained;
  for (const std::string& id : owned_) {
    const auto assigned = assignment_.find(id);
    if (self_.draining_ || (assigned != assignment_.end() &&
                            assigned->second != self_.name_.value_)) {
      drained.push_back({id});
    }
  }
  for (const WorkerId& worker : drained) DrainAndRelease(worker, idle, out);
  if (!claims_due_ || !plan_is_current || now < claim_from_ ||
      !workers_current_ || view_age_ > kMaxClaimViewAge || self_.draining_) {
    return;
  }
  claims_due_ = false;
  const std::string& self = self_.name_.value_;
  for (const auto& [id, owner] : assignment_) {
    if (owner != self || view_.owners_.count(id) > 0 || owned_.count(id) > 0 ||
        unlisted_.count(id) > 0 || !self_.workers_.insert(id).second) {
      continue;
    }
    record_changed_ = true;
    view_.owners_[id] = self;
  }
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

std::vector<InstanceRecord> WorkerOwnership::LinkTargets(
    const std::function<bool(const InstanceName&)>& awaited) const {
  std::vector<InstanceRecord> targets;
  for (const auto& [name, peer] : peers_) {
    const InstanceRecord& record = peer.record_;
    const bool near_owner =
        record.data_centre_ == self_.data_centre_ && !record.workers_.empty();
    if (links_.count(name) == 0 && !near_owner && !awaited({name})) continue;
    InstanceRecord& target = targets.emplace_back();
    target.name_ = record.name_;
    target.incarnation_ = record.incarnation_;
    target.data_centre_ = record.data_centre_;
    target.peer_address_ = record.peer_address_;
  }
  return targets;
}

}  // namespace gentiandeal
