#ifndef GENTIANDEAL_SRC_WORKER_TABLE_H_
#define GENTIANDEAL_SRC_WORKER_TABLE_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Whether a worker may be given tasks.
enum class WorkerState : uint8_t {
  kActive,
  kSetAside,  ///< Fails tasks; let back in by trial.
  kOnTrial,   ///< At most one task at a time.
  kRefusing,  ///< Refused or unreachable; not used until a back-off ends.
  kLeaving,   ///< Gets no new task.
};

/// Workers of this data centre with their load, and the choice among them.
/// Every operation on the way of a task takes constant time in the number of
/// workers.
class WorkerTable {
 public:
  /// @param seed For ties between equally loaded workers.
  explicit WorkerTable(uint64_t seed);
  ~WorkerTable();

  /// Replaces the list. Known workers keep their load and state; workers that
  /// are absent are removed once their last attempt ends.
  void SetWorkers(const std::vector<WorkerInfo>& workers);

  /// Instances that share these workers: this one's rank by peer address and
  /// the number of live instances of this data centre, itself included.
  void SetSharers(uint32_t own_rank, uint32_t count);

  /// Slots a peer uses at a worker.
  void SetPeerLoad(Incarnation peer, const Address& worker, uint16_t in_use);
  /// Forgets what a peer said, after it was lost or replaced.
  void ForgetPeer(Incarnation peer);

  /// Picks a worker with a free slot, or an invalid handle.
  /// @param avoid A worker that just refused this task; may be invalid.
  WorkerHandle Pick(WorkerHandle avoid);

  /// Counts a task that was sent; pairs with one `OnEnd`.
  void OnStart(WorkerHandle worker);
  /// Counts the end of a task. @param hold Extra time for which the slot
  /// still counts as used, so that failing fast does not win work; a worker
  /// with many such ends is used only when others are full.
  void OnEnd(WorkerHandle worker, Time now, Duration hold);
  /// Feeds the observed service time of a whole answer.
  void OnServiceTime(WorkerHandle worker, Duration observed, Duration expected);
  /// Ends holds that are due.
  void Tick(Time now);

  void SetState(WorkerHandle worker, WorkerState state);
  WorkerState state(WorkerHandle worker) const;
  bool valid(WorkerHandle worker) const;
  const WorkerInfo& info(WorkerHandle worker) const;
  WorkerHandle Find(const Address& address) const;
  /// This instance's slots at a worker: tasks running, and slots still held.
  uint32_t in_use(WorkerHandle worker) const;
  /// Observed over expected service time, 1.0 when as expected.
  double slowness(WorkerHandle worker) const;

  /// Workers listed, whatever their state.
  uint32_t size() const;
  /// Workers in `kActive` or `kOnTrial`.
  uint32_t placeable() const;
  /// Slots of placeable workers.
  uint32_t usable_slots() const;
  /// Slots not used by anybody, as far as known.
  uint32_t free_slots() const;
  /// Slots this instance may count on when all instances are busy.
  uint32_t own_share_slots() const;
  /// Largest number of slots of one listed worker, whatever its state.
  uint32_t largest_worker() const;
  /// Calls `visit(handle)` for each worker; not for the way of a task.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (uint16_t i = 0; i < capacity(); ++i) {
      if (valid(WorkerHandle{i})) visit(WorkerHandle{i});
    }
  }

 private:
  uint16_t capacity() const;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_TABLE_H_
