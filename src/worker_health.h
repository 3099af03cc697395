#ifndef GENTIANDEAL_SRC_WORKER_HEALTH_H_
#define GENTIANDEAL_SRC_WORKER_HEALTH_H_

#include <unordered_map>

#include "settings.h"
#include "worker_table.h"

namespace gentiandeal {

/// Sets the state of each worker by the results of its tasks. A worker that
/// refuses a task or can't be reached gets no tasks for a back-off time, a
/// leaving worker gets no new tasks, and, if ejection is enabled, a worker is
/// ejected for a time when it fails more often than other workers on tasks of
/// the same kinds.
class WorkerHealth {
 public:
  /// @param workers Table in which the states are set; must outlive this
  /// object.
  explicit WorkerHealth(WorkerTable* workers);

  void SetSettings(const ServiceSettings& settings);

  /// Applies a new list of workers: workers listed as leaving get the state
  /// `kLeaving`, and workers that had left the list, or were listed as leaving,
  /// become usable again when listed as active.
  void OnListed(const std::vector<WorkerInfo>& listed, Time now);

  /// The worker answered a task of `kind`.
  void OnAnswered(WorkerHandle worker, KindHandle kind, Time now);
  /// A task of `kind` failed, or it is unknown whether it ran.
  void OnFailed(WorkerHandle worker, KindHandle kind, Time now);
  /// The worker refused a task sent at `sent` and marked the refusal as such.
  void OnRefused(WorkerHandle worker, Time sent, Time now);
  /// The connection for a task sent at `sent` could not be opened.
  void OnUnreachable(WorkerHandle worker, Time sent, Time now);
  /// The worker itself reports that it is leaving.
  void OnLeaving(WorkerHandle worker, Time now);

  /// Ends the back-offs, ejections and leaving marks that have expired.
  void Tick(Time now);

  /// Number of workers that are ejected now.
  uint32_t ejected_count() const { return ejected_count_; }
  /// Number of ejections since start.
  uint64_t ejections() const { return ejections_; }

 private:
  struct Entry {
    Address address_;
    bool leaving_mark_ = false;       ///< By the worker itself.
    bool leaving_confirmed_ = false;  ///< The list has confirmed the mark.
    bool absent_or_leaving_ = false;  ///< In the last list.
    Time mark_expires_;               ///< Of `leaving_mark_`.
    int backoffs_in_row_ = 0;         ///< Back-offs since the last answer.
    Time backoff_until_;
    bool trial_after_backoff_ = false;
    /// Moving average of the weights of failures, from 0 to 1.
    double failure_score_ = 0;
    bool ejected_ = false;
    bool on_trial_ = false;
    int trial_successes_ = 0;
    int ejections_in_row_ = 0;
    Time ejected_until_;
  };
  /// Ring of the most recent results of tasks of one kind, from all workers.
  struct KindHistory {
    struct Result {
      WorkerHandle worker_;
      bool failed_ = false;
    };
    static constexpr size_t kMaxResults = 32;
    std::array<Result, kMaxResults> results_;
    uint32_t next_ = 0;
  };

  /// @returns the entry of a worker, reset if its handle was reused for another
  /// address.
  Entry& EntryOf(WorkerHandle worker);
  /// Starts a back-off, unless `sent` lies before the end of the current one.
  void BackOff(WorkerHandle worker, Time sent, Time now);
  void Record(WorkerHandle worker, KindHandle kind, bool failed);
  /// How much a failure counts against a worker, from 0 to 1: the success rate
  /// of the other workers on this kind, or 0 with fewer than `kMinPeerResults`
  /// results, so that a kind that fails everywhere ejects no worker.
  double FailureWeight(WorkerHandle worker, KindHandle kind) const;
  /// @returns true if another ejection stays within the configured share.
  bool MayEject() const;
  void Eject(WorkerHandle worker, Entry* entry, Time now);
  void EndEjection(Entry* entry);
  /// Derives the state of a worker from its entry and sets it in the table.
  void ApplyState(WorkerHandle worker, const Entry& entry, Time now);
  /// Compares the leaving mark that the worker reported with the list. The mark
  /// outlasts a list that lags behind it.
  void UpdateLeavingMark(WorkerHandle worker, bool active, Time now);

  WorkerTable* workers_;
  ServiceSettings settings_;
  std::vector<Entry> entries_;
  /// Workers with a back-off, ejection or leaving mark that expires.
  std::vector<WorkerHandle> timed_workers_;
  std::unordered_map<uint16_t, KindHistory> kinds_;
  uint32_t ejected_count_ = 0;
  uint64_t ejections_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_HEALTH_H_
