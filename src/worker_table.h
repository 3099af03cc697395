#ifndef GENTIANDEAL_SRC_WORKER_TABLE_H_
#define GENTIANDEAL_SRC_WORKER_TABLE_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Whether a worker may be given tasks.
enum class WorkerState : uint8_t {
  kActive,
  kEjected,     ///< Ejected because its tasks fail; a trial follows.
  kOnTrial,     ///< Gets at most one task at a time.
  kBackingOff,  ///< Refused a task or unreachable; not used until back-off
                ///< ends.
  kLeaving,     ///< Gets no new tasks.
};

/// Table of the workers of this data centre with their load. Chooses the worker
/// for a task. All operations that run per task take constant time in the
/// number of workers.
class WorkerTable {
 public:
  /// @param seed Seed of the random order of equally loaded workers.
  explicit WorkerTable(uint64_t seed);
  ~WorkerTable();

  /// Replaces the list of workers. Known workers keep their load and state.
  /// Workers that are no longer listed get no new tasks and are removed once
  /// their last attempt and penalty have ended.
  void SetWorkers(const std::vector<WorkerInfo>& workers);

  /// Sets this instance's share of the workers' slots.
  /// @param own_rank Rank of this instance by peer address, from 0.
  /// @param count Live instances of this data centre, this one included.
  void SetInstanceRank(uint32_t own_rank, uint32_t count);

  /// Sets the number of slots that a peer uses at a worker.
  void SetPeerLoad(Incarnation peer, const Address& worker, uint16_t in_use);
  /// Discards the load reported by a peer that was lost or replaced.
  void ForgetPeer(Incarnation peer);

  /// Chooses a worker for a task. Workers with free slots come first, ordered
  /// by slowness class, then those where this instance is below its share, then
  /// by most free slots. Full workers follow if this instance is below its
  /// share there.
  /// @param avoid A worker that just refused this task; may be invalid.
  /// @returns an invalid handle when no worker may get a task.
  WorkerHandle Pick(WorkerHandle avoid);

  /// Counts a task that was sent to `worker`. One call of `OnEnd` must follow.
  void OnStart(WorkerHandle worker);
  /// Counts the end of a task.
  /// @param penalty Time for which the slot still counts as used, so that a
  /// worker that fails fast does not attract more tasks; 0 for none. A worker
  /// with many penalties is used only when others are full.
  void OnEnd(WorkerHandle worker, Time now, Duration penalty);
  /// Records the service time of a task that was answered completely.
  void OnServiceTime(WorkerHandle worker, Duration observed, Duration expected);
  /// Ends the penalties that have expired and decays the slowness of workers
  /// without observations, one worker per call.
  void Tick(Time now);

  void SetState(WorkerHandle worker, WorkerState state);
  WorkerState state(WorkerHandle worker) const;
  bool valid(WorkerHandle worker) const;
  const WorkerInfo& info(WorkerHandle worker) const;
  WorkerHandle Find(const Address& address) const;
  /// Slots that this instance uses at a worker: running tasks and penalties.
  uint32_t in_use(WorkerHandle worker) const;
  /// Moving average of observed over expected service time; 1.0 is as expected.
  double slowness(WorkerHandle worker) const;

  /// Number of listed workers in any state.
  uint32_t size() const;
  /// Number of listed workers in `kActive` or `kOnTrial`.
  uint32_t placeable() const;
  /// Slots of placeable workers.
  uint32_t usable_slots() const;
  /// Slots of placeable workers that, as far as known, no instance uses.
  uint32_t free_slots() const;
  /// This instance's share of the usable slots, which it can rely on when all
  /// instances are busy.
  uint32_t own_share_slots() const;
  /// Largest number of slots of one listed worker in any state.
  uint32_t max_worker_slots() const;
  /// Calls `visit(handle)` for each worker. Linear in the number of workers, so
  /// not for code that runs per task.
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
