#ifndef GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_
#define GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_

#include <map>
#include <set>

#include "leased_worker.h"
#include "owner_selection.h"

/// Decides which instance owns which leased worker. Performs no I/O and reads
/// no clock. Each instance publishes one record with the workers that it owns.
/// The store's revision of that write is the fencing token of the workers
/// claimed by it. Fencing makes ownership safe; the records only keep instances
/// from claiming the same workers.
namespace gentiandeal {

/// Record that an instance publishes about itself in the store.
struct InstanceRecord {
  InstanceName name_;
  Incarnation incarnation_;
  std::string data_centre_;
  Address peer_address_;  ///< Where other instances connect.
  /// Processor share, in thousandths of a core; 0 when unknown.
  int32_t cpu_milli_ = 0;
  LinkRate link_rate_;
  bool draining_ = false;
  std::set<std::string> workers_;  ///< Ids of owned and claimed workers.
  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// Parses a record. @returns false if it is malformed; `out` is unchanged then.
bool ParseInstanceRecord(std::string_view text, InstanceRecord* out);
std::string ToJson(const InstanceRecord& record);

/// Writes a record to the store, replacing the previous one.
struct PublishRecord {
  InstanceRecord record_;
};
/// Acquires a worker that this instance has claimed.
struct AcquireWorker {
  LeasedWorker worker_;
  Fence fence_;
};
/// Updates what the platform lists about an owned worker.
struct UpdateWorker {
  LeasedWorker worker_;
};
/// Drains a worker: no more tasks start there. It is released once it is idle,
/// so that another instance can acquire it.
struct DrainWorker {
  WorkerId worker_;
};
/// Releases a worker, so that another instance can acquire it.
struct ReleaseWorker {
  WorkerId worker_;
};

using OwnershipCommand = std::variant<PublishRecord, AcquireWorker,
                                      UpdateWorker, DrainWorker, ReleaseWorker>;
using OwnershipOutbox = std::vector<OwnershipCommand>;

/// Tracks instances and workers, and claims and releases workers for one
/// instance.
class WorkerOwnership {
 public:
  /// @param claim_from Time before which no worker is claimed, so that
  ///     instances that start together first discover each other.
  WorkerOwnership(InstanceRecord self, Time claim_from)
      : self_(std::move(self)), claim_from_(claim_from) {}

  void InstanceListed(const InstanceRecord& record);
  void InstanceUnlisted(const InstanceName& name);
  /// Sets whether the link to an instance is up. A reachable instance keeps its
  /// workers even if the store has lost its record.
  void SetReachable(const InstanceName& name, bool reachable);

  void WorkerListed(const LeasedWorker& worker, Time now, OwnershipOutbox* out);
  void WorkerUnlisted(const WorkerId& worker, Time now);

  /// Sets whether the store can be reached. Nothing is published or claimed
  /// while it can't.
  void SetStoreUp(bool up) { store_up_ = up; }
  /// Sets how old the listed records of instances may be. Nothing is claimed by
  /// old ones: others may have claimed the same since.
  void SetViewAge(Duration age) { view_age_ = age; }
  /// Sets whether the listed workers are up to date. Nothing is claimed while
  /// they aren't: a worker may have said since that it is leaving.
  void SetWorkersCurrent(bool current) { workers_current_ = current; }
  /// Whether each change of the listed workers matters here: to an instance
  /// that owns workers, or may have to within moments. Others only need to know
  /// how many there are, and of which kinds.
  bool needs_current_workers() const {
    return plan_version_ == 0 || may_own_ || !self_.workers_.empty();
  }
  /// Increases whenever the owners of this data centre are selected anew: they
  /// are selected for the number of listed workers.
  uint64_t near_owners_version() const { return near_owners_version_; }
  /// The last published record was stored: acquires the workers claimed in it.
  /// @param fence Revision of the write.
  void RecordWritten(Fence fence, OwnershipOutbox* out);
  /// The last published record wasn't stored.
  void WriteFailed() { write_pending_ = false; }

  /// Another instance has taken over the worker.
  void OwnershipLost(const WorkerId& worker);

  /// Releases all workers as they become idle.
  void Drain();
  /// Whether no worker is owned or claimed any more, and the published record
  /// says so.
  bool released() const { return self_.workers_.empty() && !record_changed_; }

  /// Claims and releases workers, and publishes the record if it has changed.
  /// @param idle Returns whether nothing runs on an owned worker.
  void Tick(Time now, const std::function<bool(const WorkerId&)>& idle,
            OwnershipOutbox* out);

  /// Returns the other instances to be connected to: the owners that this
  /// instance assigns tasks to, those that still own workers of its data
  /// centre, and others while it waits for tasks there. The workers in their
  /// records are left out.
  /// @param awaited Returns whether tasks assigned to an instance are open.
  std::vector<InstanceRecord> LinkTargets(
      const std::function<bool(const InstanceName&)>& awaited) const;
  /// Increases whenever `LinkTargets` may have changed, but for `awaited`.
  uint64_t plan_version() const { return plan_version_; }
  const std::map<std::string, LeasedWorkerRef>& workers() const {
    return listed_;
  }
  size_t owned() const { return owned_.size(); }

 private:
  struct Peer {
    InstanceRecord record_;
    bool listed_ = false;
    bool reachable_ = false;
  };

  OwnershipView BuildView() const;
  /// Selects owners and assigns workers again, if anything they depend on has
  /// changed.
  void UpdatePlan(Time now);
  /// Claims and drains workers as assigned.
  void ApplyPlan(Time now, const std::function<bool(const WorkerId&)>& idle,
                 OwnershipOutbox* out);
  /// Drains a worker and releases it once it is idle.
  void DrainAndRelease(const WorkerId& worker,
                       const std::function<bool(const WorkerId&)>& idle,
                       OwnershipOutbox* out);
  /// Removes workers that have stayed unlisted for too long.
  void RemoveUnlistedWorkers(Time now,
                             const std::function<bool(const WorkerId&)>& idle,
                             OwnershipOutbox* out);

  InstanceRecord self_;
  Time claim_from_;
  bool store_up_ = false;
  bool workers_current_ = true;
  bool may_own_ = true;  // as planned, or next in line
  uint64_t near_owners_version_ = 0;
  Duration view_age_;
  bool write_pending_ = false;
  bool record_changed_ = true;   // since the last published record
  std::set<std::string> owned_;  // claims stored, with their fence
  std::set<std::string> draining_workers_;
  std::map<std::string, Time> unlisted_;  // with the time it was unlisted
  std::map<std::string, Peer> peers_;
  std::map<std::string, LeasedWorkerRef> listed_;
  bool view_changed_ = true;  // since the plan was made
  bool claims_due_ = true;    // the plan may have workers to claim
  Time planned_at_;
  uint64_t plan_version_ = 0;
  OwnershipView view_;                             // that the plan is made for
  SelectedOwners selected_;                        // the plan: owners,
  std::map<std::string, std::string> assignment_;  // owners by worker id,
  std::set<std::string> links_;                    // and names to connect to
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_
