#ifndef GENTIANDEAL_SRC_WORKER_HEALTH_H_
#define GENTIANDEAL_SRC_WORKER_HEALTH_H_

#include <unordered_map>

#include "settings.h"
#include "worker_table.h"

namespace gentiandeal {

/// Decides the state of each worker from how its tasks end: refusing workers
/// back off, leaving ones get nothing new, and, where ejection is on, workers
/// that fail more than their peers on the same kinds are set aside.
class WorkerHealth {
 public:
  /// @param workers Whose states are set; must outlive this object.
  explicit WorkerHealth(WorkerTable* workers);

  void SetSettings(const ServiceSettings& settings);

  /// Takes a new list: marks workers that are leaving and lets back in those
  /// that were seen leaving and are listed as active again.
  void OnListed(const std::vector<WorkerInfo>& listed, Time now);

  void OnAnswered(WorkerHandle worker, KindHandle kind, Time now);
  /// A failure or an uncertain end.
  void OnFailed(WorkerHandle worker, KindHandle kind, Time now);
  /// A marked refusal of a task sent at `sent`.
  void OnRefused(WorkerHandle worker, Time sent, Time now);
  /// A failed connect for a task sent at `sent`.
  void OnUnreachable(WorkerHandle worker, Time sent, Time now);
  /// The worker itself says that it is leaving.
  void OnLeaving(WorkerHandle worker, Time now);

  /// Ends back-offs and stays that are due.
  void Tick(Time now);

  uint32_t set_aside() const { return set_aside_; }
  /// Workers set aside since start.
  uint64_t times_set_aside() const { return times_set_aside_; }

 private:
  struct Entry {
    Address address_;
    bool own_mark_ = false;   ///< The worker said that it is leaving.
    bool seen_gone_ = false;  ///< The list has confirmed the mark since.
    bool list_leaving_ = false;
    Time mark_until_;
    int refusals_ = 0;  ///< In a row, counted once for each back-off.
    Time refused_until_;
    bool trial_after_refusal_ = false;
    double blame_ = 0;  ///< 0 to 1; share of its ends held against it.
    bool aside_ = false;
    bool on_trial_ = false;
    int trial_successes_ = 0;
    int stays_ = 0;
    Time aside_until_;
  };
  /// Recent ends of tasks of one kind, over all workers.
  struct KindSample {
    struct End {
      WorkerHandle worker_;
      bool failed_ = false;
    };
    static constexpr size_t kSize = 32;
    std::array<End, kSize> ends_;
    uint32_t next_ = 0;
  };

  Entry& Of(WorkerHandle worker);
  void BackOff(WorkerHandle worker, Time sent, Time now);
  void Record(WorkerHandle worker, KindHandle kind, bool failed);
  double BlameForFailure(WorkerHandle worker, KindHandle kind) const;
  bool MaySetAside() const;
  void SetAside(WorkerHandle worker, Entry* entry, Time now);
  void EndStay(Entry* entry);
  void Apply(WorkerHandle worker, const Entry& entry, Time now);
  void UpdateMark(WorkerHandle worker, bool active, Time now);

  WorkerTable* workers_;
  ServiceSettings settings_;
  std::vector<Entry> entries_;
  /// Workers with a back-off, stay or mark that ends with time.
  std::vector<WorkerHandle> timed_;
  std::unordered_map<uint16_t, KindSample> kinds_;
  uint32_t set_aside_ = 0;
  uint64_t times_set_aside_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_WORKER_HEALTH_H_
