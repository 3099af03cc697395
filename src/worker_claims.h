#ifndef GENTIANDEAL_SRC_WORKER_CLAIMS_H_
#define GENTIANDEAL_SRC_WORKER_CLAIMS_H_

#include <map>
#include <set>

#include "room.h"

/// Which instance owns which leased worker. Pure. Each instance publishes one
/// record with the workers it owns; the store's revision of the write is the
/// fence of the workers claimed by it. The fence makes ownership safe; records
/// only keep instances from claiming the same workers.
namespace gentiandeal {

/// What an instance publishes of itself.
struct InstanceRecord {
  InstanceName name_;
  Incarnation incarnation_;
  std::string data_centre_;
  Address peers_;
  bool draining_ = false;
  std::set<std::string> workers_;  ///< Ids of the workers it owns or claims.
};

/// Reads a record. @returns false when it is malformed.
bool ParseInstanceRecord(std::string_view text, InstanceRecord* out);
std::string ToJson(const InstanceRecord& record);

/// Ways of a live instance and its workers, for `AssignWorkers`.
struct ClaimView {
  std::map<std::string, std::string> instances_;  ///< Name to data centre.
  std::map<std::string, std::string> workers_;    ///< Id to data centre.
  std::map<std::string, std::string> owners_;     ///< Worker to instance.
};

/// Shares the workers of each data centre among its instances, moving as few
/// as it can; those of a data centre without instances go to all others.
/// @returns the owner wanted for each worker. The same on all instances that
/// see the same.
std::map<std::string, std::string> AssignWorkers(const ClaimView& view);

/// Write this record, replacing the one written before.
struct PublishRecord {
  InstanceRecord record_;
};
struct OwnWorker {
  LeasedWorker worker_;
  Fence fence_;
};
struct UpdateWorker {
  LeasedWorker worker_;
};
/// Start nothing more there; it goes to another owner when nothing runs.
struct RetireWorker {
  WorkerId worker_;
};
struct DisownWorker {
  WorkerId worker_;
};

using ClaimCommand = std::variant<PublishRecord, OwnWorker, UpdateWorker,
                                  RetireWorker, DisownWorker>;
using ClaimOutbox = std::vector<ClaimCommand>;

/// Ownership of workers as seen by one instance.
class WorkerClaims {
 public:
  /// @param claim_from Nothing is claimed before, so that instances that start
  ///     together first see each other.
  WorkerClaims(InstanceRecord self, Time claim_from)
      : self_(std::move(self)), claim_from_(claim_from) {}

  void InstanceListed(const InstanceRecord& record);
  void InstanceUnlisted(const InstanceName& name);
  /// Whether the link to an instance is up. A reachable instance keeps its
  /// workers, also when the store has lost its record.
  void Reachable(const InstanceName& name, bool reachable);

  void WorkerListed(const LeasedWorker& worker, Time now, ClaimOutbox* out);
  void WorkerUnlisted(const WorkerId& worker, Time now);

  /// The store can be reached; nothing is published or claimed otherwise.
  void SetStoreUp(bool up) { store_up_ = up; }
  /// The last record published is in the store, with this revision.
  void Written(Fence fence, ClaimOutbox* out);
  void WriteFailed() { writing_ = false; }

  /// Another owner has taken the worker over.
  void Lost(const WorkerId& worker);

  /// Gives all workers up as they become idle.
  void Drain();
  bool released() const { return self_.workers_.empty() && !changed_; }

  /// @param idle Whether nothing runs on an owned worker.
  void Tick(Time now, const std::function<bool(const WorkerId&)>& idle,
            ClaimOutbox* out);

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

  ClaimView View() const;
  void Release(const WorkerId& worker,
               const std::function<bool(const WorkerId&)>& idle,
               ClaimOutbox* out);
  void ForgetWorkers(Time now, const std::function<bool(const WorkerId&)>& idle,
                     ClaimOutbox* out);

  InstanceRecord self_;
  Time claim_from_;
  bool store_up_ = false;
  bool writing_ = false;
  bool changed_ = true;          // the record differs from the last one written
  std::set<std::string> owned_;  // claimed, with a fence
  std::set<std::string> retiring_;
  std::map<std::string, Time> unlisted_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, LeasedWorker> listed_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_CLAIMS_H_
