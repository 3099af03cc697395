#ifndef GENTIANDEAL_SRC_SETTINGS_H_
#define GENTIANDEAL_SRC_SETTINGS_H_

#include "gentiandeal_p.h"

namespace gentiandeal {

/// Values of one branch after inheritance. A guard of 0 is off.
struct TeamSettings {
  std::string name_;   ///< Path in the tree, such as `care/night`.
  double weight_ = 1;  ///< Share against other teams.
  Duration default_deadline_{10000};
  Duration max_deadline_{60000};
  uint32_t max_queued_tasks_ = 4096;
  uint32_t task_quota_ = 0;       ///< Running tasks over all instances.
  double starts_per_second_ = 0;  ///< Rate limit over all instances.
  uint64_t max_buffered_bytes_ = 32 * 1024 * 1024;
  double retry_percent_ = 9;  ///< Retries for each 100 first dispatches.
};

/// Values that hold for the whole service, at the root of the tree.
struct ServiceSettings {
  uint16_t worker_slots_ = 8;  ///< Where the list does not say.
  uint16_t worker_connections_ = 60;
  Duration connect_timeout_{250};
  double timeout_factor_ = 8;  ///< Task time-out over its expected run time.
  Duration min_task_timeout_{5000};
  uint32_t max_queued_tasks_ = 16384;
  uint64_t max_buffered_bytes_ = 128 * 1024 * 1024;
  double retry_percent_ = 9;
  bool ejection_ = false;  ///< Set failing workers aside.
  double max_set_aside_percent_ = 30;
  Duration set_aside_{2000};  ///< First stay; doubles up to 60 s.
  bool forward_to_data_centres_ = true;
  double max_forward_percent_ = 20;  ///< Of submissions accepted.
};

/// One revision of the effective tree. Immutable once in force.
struct Settings {
  Revision revision_;
  ServiceSettings service_;
  std::vector<TeamSettings> teams_;  ///< Element 0 is the root branch.
  /// Team by path, or an invalid handle.
  TeamHandle FindTeam(std::string_view path) const;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_H_
