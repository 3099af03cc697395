#ifndef GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_
#define GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_

#include <map>
#include <set>

#include "leased_worker.h"

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
  bool draining_ = false;
  std::set<std::string> workers_;  ///< Ids of owned and claimed workers.
};

/// Parses a record. @returns false if it is malformed; `out` is unchanged then.
bool ParseInstanceRecord(std::string_view text, InstanceRecord* out);
std::string ToJson(const InstanceRecord& record);

/// Live instances, listed workers and present owners: input of `AssignWorkers`.
struct OwnershipView {
  std::map<std::string, std::string> instances_;  ///< Name to data centre.
  std::map<std::string, std::string> workers_;    ///< Id to data centre.
  std::map<std::string, std::string> owners_;     ///< Worker id to instance.
};

/// Distributes the workers of each data centre evenly over its instances with
/// as few moves as possible. Workers of data centres without an instance are
/// distributed over all instances.
/// @returns the assigned owner by worker id. Deterministic: instances with
/// equal views get equal results.
std::map<std::string, std::string> AssignWorkers(const OwnershipView& view);

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

  /// Other instances that are listed or reachable.
  std::vector<InstanceRecord> Peers() const;
  const std::map<std::string, LeasedWorker>& workers() const { return listed_; }
  size_t owned() const { return owned_.size(); }

 private:
  struct Peer {
    InstanceRecord record_;
    bool listed_ = false;
    bool reachable_ = false;
  };

  OwnershipView BuildView() const;
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
  bool write_pending_ = false;
  bool record_changed_ = true;   // since the last published record
  std::set<std::string> owned_;  // claims stored, with their fence
  std::set<std::string> draining_workers_;
  std::map<std::string, Time> unlisted_;  // with the time it was unlisted
  std::map<std::string, Peer> peers_;
  std::map<std::string, LeasedWorker> listed_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_OWNERSHIP_H_
