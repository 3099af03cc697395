#ifndef GENTIANDEAL_SRC_SETTINGS_H_
#define GENTIANDEAL_SRC_SETTINGS_H_

#include <map>

#include "gentiandeal_p.h"
#include "ini_reader.h"

/// Settings shared by all instances: a tree of branches, one for each team.
namespace gentiandeal {

/// Path of the root branch, which holds the service's values and the
/// defaults of every team.
inline constexpr std::string_view kRootBranch = "/";

/// Values of one branch after inheritance. A guard of 0 is off.
struct TeamSettings {
  std::string name_;   ///< Path in the tree, such as `care/night`; `/` is
                       ///< the root.
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
  /// Sorted by name; element 0 is the root branch.
  std::vector<TeamSettings> teams_;
  /// Team by path, or an invalid handle. An empty path finds the root.
  TeamHandle FindTeam(std::string_view path) const;
};

/// INI text of each branch by path.
using BranchTexts = std::map<std::string, std::string, std::less<>>;

/// Checks a branch path: words of lower-case letters, digits, `-` and `_`,
/// joined by `/`; or `/` for the root.
///
/// @returns a message with a remedy, or nothing when the path is valid.
std::optional<std::string> CheckBranchPath(std::string_view path);

/// Reads and checks a whole tree.
///
/// @param branches A missing root stands for one without values.
/// @param out Filled when no fault was found.
/// @param faults Gets every fault of every branch.
/// @returns `Errc::kBadSettings` when there is any fault.
std::error_code ParseSettingsTree(const BranchTexts& branches,
                                  Revision revision, Settings* out,
                                  Diagnostics* faults);

/// Reads a tree from disk: a directory with `root.ini` and `<path>.ini` for
/// each branch, or one file whose `[team PATH]` sections are branches.
std::error_code LoadSettings(const std::string& path, Settings* out,
                             Diagnostics* faults);

/// Reads the branches of a directory as they would be applied one by one.
std::error_code ReadBranchFiles(const std::string& directory, BranchTexts* out,
                                Diagnostics* faults);

/// One effective value and the branch that set it.
struct EffectiveValue {
  std::string section_;
  std::string key_;
  std::string value_;
  std::string origin_;  ///< Branch path; empty for a built-in default.
};

/// Effective values of one branch of a valid tree, in a fixed order. The root
/// has the service's values too.
std::vector<EffectiveValue> ListEffectiveValues(const BranchTexts& branches,
                                                std::string_view branch);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_H_
