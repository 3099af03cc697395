#ifndef GENTIANDEAL_SRC_RESERVATIONS_H_
#define GENTIANDEAL_SRC_RESERVATIONS_H_

#include <span>
#include <utility>

#include "leased_worker.h"

/// Reserves resources of an owner's workers for waiting tasks that would be
/// passed over by smaller ones. Performs no I/O: takes events and the time.
namespace gentiandeal {

/// Index of a worker in a plan, chosen by the caller; small and dense.
using PlanWorkerId = Id<struct PlanWorkerTag, uint32_t, UINT32_MAX>;
/// A batch of identical tasks.
using PlanBatchId = Id<struct PlanBatchTag, uint64_t, 0>;
/// A run, unique among the runs of its worker.
using PlanRunId = Id<struct PlanRunTag, uint64_t, 0>;

/// Why a reservation ended although tasks of its batch still wait.
enum class LapseReason : uint8_t {
  kCancelled,
  kRefused,
  kTooLate,  ///< Its latest start has passed.
  kWorkerLeft,
  kWorkerEvacuated,
  kWorkerLost,
};
inline constexpr size_t kLapseReasons = 6;

/// Stable name for logs and metrics, such as `worker-left`.
std::string_view Name(LapseReason reason);

/// The tasks of a batch that are still waiting.
struct ReservationRequest {
  PlanBatchId batch_;
  uint32_t count_ = 1;
  Resources need_;     ///< Resources needed by each task.
  Duration expected_;  ///< Expected run time.
  Time waiting_since_;
  Time latest_start_;  ///< Reserving beyond it would be useless.
};

/// Defaults are the best found by tools/bench_placement, see
/// docs/design/reservations.md.
struct ReservationSettings {
  /// Reservations at a time. 0 turns the feature off; 1 is EASY backfill.
  uint32_t max_reservations_ = 1;
  /// Least share of the largest worker that a task must need: smaller tasks
  /// find room by themselves, and reservations for them keep large ones out.
  double min_need_share_ = 0.45;
  /// Least share of its slack that a batch must have waited.
  double min_wait_share_ = 0.2;
  /// Whether a batch starts only if all of its tasks are expected to start in
  /// time.
  bool whole_batches_ = true;
};

/// Counters since the start of the process.
struct ReservationStats {
  uint64_t made_ = 0;
  uint64_t kept_ = 0;  ///< All tasks of the batch have started.
  std::array<uint64_t, kLapseReasons> lapsed_{};  ///< By `LapseReason`.
  /// Starts on a worker on which another batch holds a reservation.
  uint64_t backfills_ = 0;
  /// Of kept reservations: how much later or earlier than first estimated the
  /// last task started, in milliseconds.
  uint64_t late_ms_ = 0;
  uint64_t early_ms_ = 0;
};

enum class ReservationState : uint8_t { kMade, kKept, kLapsed };

/// Stable name for logs, such as `made`.
std::string_view Name(ReservationState state);

/// A reservation was made, or has ended.
struct ReservationChange {
  PlanBatchId batch_;
  ReservationState state_ = ReservationState::kMade;
  LapseReason reason_ = LapseReason::kCancelled;  ///< Of a lapse.
  uint32_t tasks_ = 0;                            ///< Tasks that still wait.
  /// Until the last task was to start, as expected when it was made.
  Duration expected_wait_;
};

/// Reservations of one owner.
///
/// A reservation is a set of shares, one for each worker on which tasks of the
/// batch are to start; it is made, and lapses, as a whole. Its tasks may start
/// one by one, and on other workers as well. Reservations keep the order in
/// which they were made: placing one again uses only what the others leave.
class ReservationPlan {
 public:
  explicit ReservationPlan(const ReservationSettings& settings = {})
      : settings_(settings) {}

  /// Adds a worker, or puts one back into service. Its known runs are kept.
  void SetWorker(PlanWorkerId worker, const Resources& total);
  /// Takes a worker out of service. Reservations that use it lapse; they are
  /// made again by `Update` if their batch still waits.
  void LapseWorker(PlanWorkerId worker, LapseReason reason);

  /// A task of `batch` has started; it counts towards its reservation.
  /// `batch` is invalid for a run of unknown origin.
  void RunStarted(PlanWorkerId worker, PlanRunId run, PlanBatchId batch,
                  const Resources& need, Time expected_end, Time now);
  /// Replaces the estimate of the end of a run.
  void RunExpected(PlanWorkerId worker, PlanRunId run, Time expected_end);
  void RunEnded(PlanWorkerId worker, PlanRunId run);

  /// Places existing reservations again where that is due, and makes new ones
  /// for the first of `waiting` that have none, up to the bound. `waiting` is
  /// ordered by precedence. Pass only batches of the highest band that waits
  /// and that are `WorthReserving`, and no more than the bound: each one costs
  /// time, and reservations of lower bands hold up higher ones.
  void Update(std::span<const ReservationRequest> waiting, Time now);
  /// Returns whether a reservation may be made for a batch.
  bool WorthReserving(const ReservationRequest& request, Time now) const;
  /// Ends the reservations of batches whose latest start has passed.
  void Expire(Time now);
  /// Ends the reservation of a batch, if it has one.
  void Lapse(PlanBatchId batch, LapseReason reason);

  /// Returns whether a task of `batch` fits there now and delays no reservation
  /// of another batch if it ends by `end`, its expected end plus its spread.
  bool MayStart(PlanWorkerId worker, PlanBatchId batch, const Resources& need,
                Time end, Time now) const;
  /// Returns whether a batch of which no task has started may begin: all of its
  /// tasks are expected to start by its latest start. A batch that begins and
  /// then waits for its last tasks until it is useless wastes the first ones.
  bool MayBegin(const ReservationRequest& request, Time now);
  /// Returns the batch of which a task may start there now by its reservation.
  std::optional<PlanBatchId> ReservedFor(PlanWorkerId worker, Time now) const;

  /// Returns the time at which the last task of the request could start, given
  /// the runs and reservations; absent if no set of workers in service can take
  /// them. For admission and load reports; reserves nothing.
  std::optional<Time> EarliestStart(const ReservationRequest& request,
                                    Time now);
  /// Returns the time by which all tasks of a reservation are to have started.
  std::optional<Time> ReservedStart(PlanBatchId batch) const;

  /// Returns the changes since the last call, up to a limit.
  std::vector<ReservationChange> TakeChanges() {
    return std::exchange(changes_, {});
  }
  /// Batches that have a reservation.
  std::vector<PlanBatchId> batches() const;
  bool enabled() const { return settings_.max_reservations_ > 0; }
  size_t size() const { return reservations_.size(); }
  const ReservationStats& stats() const { return stats_; }

 private:
  struct Run {
    PlanRunId id_;
    Resources need_;
    Time expected_end_;
  };
  /// Part of a reservation on one worker.
  struct Share {
    PlanBatchId batch_;
    uint32_t tasks_ = 0;
    Resources need_;  ///< Of each task.
    Time begin_;
    Time end_;
  };
  struct Worker {
    bool in_service_ = false;
    Resources total_;
    Resources free_;
    std::vector<Run> runs_;
    std::vector<Share> shares_;
  };
  /// Changes kept for a caller that doesn't take them.
  static constexpr size_t kMaxChanges = 64;
  struct Reservation {
    ReservationRequest request_;  ///< `count_` is reduced by each start.
    std::vector<uint32_t> workers_;
    Time begin_;        ///< Of the last share.
    Time first_begin_;  ///< When it was made.
    Time made_at_;
  };
  /// Room for tasks of a request on a worker, from a time on.
  struct Slot {
    Time at_;
    int32_t cpu_left_ = 0;
    uint32_t worker_ = 0;
    uint32_t tasks_ = 0;
  };

  Worker* Find(PlanWorkerId worker);
  const Worker* Find(PlanWorkerId worker) const;
  std::vector<Reservation>::iterator FindReservation(PlanBatchId batch);
  /// Resources that are free at `at` and reserved by no batch but `except`.
  static Resources FreeAt(const Worker& worker, Time at, PlanBatchId except,
                          Time now);
  /// Number of tasks of `request` that can run on a worker from `at` on.
  static uint32_t TasksFrom(const Worker& worker,
                            const ReservationRequest& request, Time at,
                            Time now, int32_t* cpu_left);
  /// Adds the room on one worker to `slots_`.
  void AddSlotsOf(uint32_t index, const ReservationRequest& request, Time now);
  /// Fills `slots_` with the earliest room for all tasks of the request and
  /// returns the time of the last; absent if there is none.
  std::optional<Time> FindSlots(const ReservationRequest& request, Time now);
  /// Writes the shares of a reservation from `slots_`.
  void AddShares(Reservation* reservation);
  void RemoveShares(const Reservation& reservation);
  /// Places a reservation again. @returns false if no room is left for it.
  bool Replace(Reservation* reservation, Time now);
  void Note(const Reservation& reservation, ReservationState state,
            LapseReason reason = LapseReason::kCancelled);
  /// Takes one task off a reservation, preferably off its share on `worker`.
  void ConsumeShare(PlanBatchId batch, uint32_t worker, Time now);

  ReservationSettings settings_;
  std::vector<Worker> workers_;
  Resources largest_;  ///< Of any worker known so far, in each dimension.
  std::vector<Reservation> reservations_;  ///< In the order they were made.
  std::vector<Slot> slots_;                ///< Result of `FindSlots`.
  std::vector<Time> times_;                ///< Used by `AddSlotsOf`.
  size_t next_replaced_ = 0;               ///< Reservation to place again next.
  ReservationStats stats_;
  std::vector<ReservationChange> changes_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RESERVATIONS_H_
