#ifndef GENTIANDEAL_SRC_SETTINGS_H_
#define GENTIANDEAL_SRC_SETTINGS_H_

#include <map>

#include "gentiandeal_p.h"
#include "ini_reader.h"

/// Settings shared by all instances: a tree of branches, one for each team.
namespace gentiandeal {

/// Path of the root branch, which holds the service settings and the defaults
/// that every team inherits.
inline constexpr std::string_view kRootBranch = "/";

/// Settings of one branch after inheritance. `task_quota_` and
/// `starts_per_second_` of 0 mean unlimited.
struct TeamSettings {
  std::string name_;   ///< Path in the tree, such as `care/night`; `/` is
                       ///< the root.
  double weight_ = 1;  ///< Scheduling share relative to other teams.
  Duration default_deadline_{10000};
  Duration max_deadline_{60000};
  uint32_t max_queued_tasks_ = 4096;
  uint32_t task_quota_ = 0;       ///< Running tasks, summed over all instances.
  double starts_per_second_ = 0;  ///< Rate limit, summed over all instances.
  uint64_t max_buffered_bytes_ = 32 * 1024 * 1024;
  double retry_percent_ = 9;  ///< Retries per 100 first attempts.
};

/// Settings of the whole service, set in the root branch.
struct ServiceSettings {
  uint16_t worker_slots_ = 8;  ///< Default for workers listed without one.
  uint16_t worker_connections_ = 60;
  Duration connect_timeout_{250};
  double timeout_factor_ = 8;  ///< Task timeout / expected run time.
  Duration min_task_timeout_{5000};
  uint32_t max_queued_tasks_ = 16384;
  uint64_t max_buffered_bytes_ = 128 * 1024 * 1024;
  double retry_percent_ = 9;
  bool ejection_ = false;            ///< Whether failing workers are ejected.
  double max_ejected_percent_ = 30;  ///< Of workers, ejected at a time.
  Duration ejection_time_{2000};     ///< First ejection; doubles up to 60 s.
  bool forward_to_data_centres_ = true;
  double max_forward_percent_ = 20;  ///< Of accepted submissions.
};

/// One revision of the effective settings. Immutable once in force.
struct Settings {
  Revision revision_;
  ServiceSettings service_;
  /// Sorted by name; element 0 is the root branch.
  std::vector<TeamSettings> teams_;
  /// Finds a team by path; returns an invalid handle if there is none. An empty
  /// path stands for the root.
  TeamHandle FindTeam(std::string_view path) const;
};

/// INI text of each branch, by branch path.
using BranchTexts = std::map<std::string, std::string, std::less<>>;

/// Checks a branch path: words of lower-case letters, digits, `-` and `_` that
/// start with a letter or digit, joined by `/`; or `/` for the root. At most
/// 100 bytes.
///
/// @returns an error message that says how to correct the path, or nothing when
///     the path is valid.
std::optional<std::string> CheckBranchPath(std::string_view path);

/// Parses and validates a whole tree of branches.
///
/// @param branches A missing root branch counts as an empty one.
/// @param out Set only when no error was found.
/// @param diagnostics Receives the errors of all branches.
/// @returns `Errc::kBadSettings` when there is any error.
std::error_code ParseSettingsTree(const BranchTexts& branches,
                                  Revision revision, Settings* out,
                                  Diagnostics* diagnostics);

/// Loads and validates a tree from disk: a directory with `root.ini` and
/// `<path>.ini` for each branch, or one file whose `[team PATH]` sections are
/// the branches.
std::error_code LoadSettings(const std::string& path, Settings* out,
                             Diagnostics* diagnostics);

/// Reads the text of each branch in a directory without validating the tree.
std::error_code ReadBranchFiles(const std::string& directory, BranchTexts* out,
                                Diagnostics* diagnostics);

/// One effective value and the branch that set it.
struct EffectiveValue {
  std::string section_;
  std::string key_;
  std::string value_;
  std::string origin_;  ///< Branch path; empty for a built-in default.
};

/// Lists the effective values of one branch of a valid tree, in a fixed order.
/// The root branch also has the service settings.
std::vector<EffectiveValue> ListEffectiveValues(const BranchTexts& branches,
                                                std::string_view branch);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_H_
