#include "settings.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "settings_keys.h"

namespace gentiandeal {
namespace {

constexpr std::string_view kServiceSection = "service";
constexpr std::string_view kTeamSection = "team";
constexpr size_t kMaxPathBytes = 100;
constexpr std::string_view kRootFile = "root.ini";

/// Entries of one branch before inheritance.
struct Branch {
  std::string file_;
  std::vector<IniEntry> entries_;
};

using Branches = std::map<std::string, Branch, std::less<>>;

std::string ParentOf(std::string_view path) {
  const size_t slash = path.rfind('/');
  if (slash == std::string_view::npos || path == kRootBranch) {
    return std::string(kRootBranch);
  }
  return std::string(path.substr(0, slash));
}

std::string JoinNames(const auto& keys) {
  std::string text;
  for (const auto& key : keys) {
    if (!text.empty()) text += ", ";
    text += key.name_;
  }
  return text;
}

/// Entries that a branch sets itself, by `section.key`.
using SetKeys = std::map<std::string, const IniEntry*, std::less<>>;

/// Parses and validates the branches of a tree. The map sorts a parent before
/// its children, so that a branch starts from its parent's effective values.
class TreeParser {
 public:
  TreeParser(const Branches& branches, Diagnostics* diagnostics)
      : branches_(branches), diagnostics_(diagnostics) {}

  void Parse(Settings* out) {
    CheckBranchCount();
    out->teams_.clear();
    for (const auto& [path, branch] : branches_) {
      if (!CheckPathAndParent(path, branch)) continue;
      AddBranch(path, branch, out);
    }
    CheckQuotaSums(*out);
  }

 private:
  void CheckBranchCount() {
    if (branches_.size() <= config::kMaxTeams) return;
    const std::string limit = std::to_string(config::kMaxTeams);
    diagnostics_->push_back({std::string(kRootBranch), 0, "", "",
                             "tree has " + std::to_string(branches_.size()) +
                                 " branches: keep at most " + limit});
  }

  bool CheckPathAndParent(const std::string& path, const Branch& branch) {
    const auto error = CheckBranchPath(path);
    if (error) {
      diagnostics_->push_back({branch.file_, 0, "", "", *error});
      return false;
    }
    const std::string parent = ParentOf(path);
    if (path == kRootBranch || branches_.contains(parent)) return true;
    diagnostics_->push_back(
        {branch.file_, 0, "", "",
         "branch '" + path + "' has no parent: apply '" + parent + "' first"});
    return false;
  }

  void AddBranch(const std::string& path, const Branch& branch, Settings* out) {
    TeamSettings team;
    const TeamHandle parent = out->FindTeam(ParentOf(path));
    if (parent.valid()) team = out->teams_[parent.value_];
    team.name_ = path;
    SetKeys& set = set_keys_[path];
    for (const IniEntry& entry : branch.entries_) {
      ReadEntry(path, entry, &out->service_, &team, &set);
    }
    CheckDeadlines(branch, set, team);
    if (parent.valid()) {
      CheckWithinParent(out->teams_[parent.value_], team, set);
    }
    out->teams_.push_back(std::move(team));
  }

  void ReadEntry(const std::string& path, const IniEntry& entry,
                 ServiceSettings* service, TeamSettings* team, SetKeys* set) {
    const std::string name = entry.section_ + "." + entry.key_;
    if (!set->emplace(name, &entry).second) {
      AddDiagnostic(entry, "is given twice: keep one line");
      return;
    }
    if (entry.section_ == kTeamSection) {
      ReadKey(kTeamKeys, entry, team);
    } else if (entry.section_ != kServiceSection) {
      AddDiagnostic(entry,
                    "unknown section: use [team], or [service] in the root");
    } else if (path != kRootBranch) {
      AddDiagnostic(entry,
                    "[service] belongs to the root: apply it to branch /");
    } else {
      ReadKey(kServiceKeys, entry, service);
    }
  }

  void ReadKey(const auto& keys, const IniEntry& entry, auto* object) {
    for (const auto& key : keys) {
      if (key.name_ != entry.key_) continue;
      std::string message;
      const auto value =
          ParseValue(entry.value_, key.unit_, key.range_, &message);
      if (!value) {
        AddDiagnostic(entry, message);
      } else {
        SetMember(*value, key.member_, object);
      }
      return;
    }
    AddDiagnostic(entry, "unknown key: use one of " + JoinNames(keys));
  }

  void CheckDeadlines(const Branch& branch, const SetKeys& set,
                      const TeamSettings& team) {
    if (team.default_deadline_.ms_ <= team.max_deadline_.ms_) return;
    const IniEntry* entry = FindTeamKey(set, "default_deadline");
    if (entry == nullptr) entry = FindTeamKey(set, "max_deadline");
    const std::string message =
        "default_deadline is above max_deadline: lower the first or raise "
        "the second";
    if (entry != nullptr) {
      AddDiagnostic(*entry, message);
    } else if (team.name_ == kRootBranch) {
      diagnostics_->push_back({branch.file_, 0, "team", "", message});
    }
  }

  void CheckWithinParent(const TeamSettings& parent, const TeamSettings& team,
                         const SetKeys& set) {
    for (const auto& key : kTeamKeys) {
      const IniEntry* entry = FindTeamKey(set, key.name_);
      if (entry == nullptr || key.parent_limit_ == ParentLimit::kNone) continue;
      const double limit = GetMember(parent, key.member_);
      const double value = GetMember(team, key.member_);
      if (limit == 0 || (value != 0 && value <= limit)) continue;
      AddDiagnostic(*entry, "is above the limit " +
                                FormatValue(limit, key.unit_) + " of '" +
                                parent.name_ +
                                "': lower it or raise the parent's");
    }
  }

  /// Checks that the quotas that sibling branches set themselves add up to at
  /// most the quota of their parent. Inherited quotas don't count.
  void CheckQuotaSums(const Settings& settings) {
    for (const auto& key : kTeamKeys) {
      if (key.parent_limit_ != ParentLimit::kSharedQuota) continue;
      std::map<std::string, double> sums;
      for (const TeamSettings& team : settings.teams_) {
        if (team.name_ == kRootBranch) continue;
        const IniEntry* entry = FindTeamKey(set_keys_[team.name_], key.name_);
        if (entry == nullptr) continue;
        const std::string parent = ParentOf(team.name_);
        sums[parent] += GetMember(team, key.member_);
        CheckQuotaSum(settings, key, parent, sums[parent], *entry);
      }
    }
  }

  void CheckQuotaSum(const Settings& settings, const auto& key,
                     const std::string& parent, double sum,
                     const IniEntry& entry) {
    const TeamHandle handle = settings.FindTeam(parent);
    if (!handle.valid()) return;
    const double limit = GetMember(settings.teams_[handle.value_], key.member_);
    if (limit == 0 || sum <= limit) return;
    AddDiagnostic(entry, "the branches under '" + parent + "' add up to " +
                             FormatValue(sum, key.unit_) +
                             ", above its limit " +
                             FormatValue(limit, key.unit_) +
                             ": lower this one or raise the parent's");
  }

  static const IniEntry* FindTeamKey(const SetKeys& set, std::string_view key) {
    const auto it =
        set.find(std::string(kTeamSection) + "." + std::string(key));
    return it == set.end() ? nullptr : it->second;
  }

  void AddDiagnostic(const IniEntry& entry, std::string message) {
    diagnostics_->push_back(MakeDiagnostic(entry, std::move(message)));
  }

  const Branches& branches_;
  Diagnostics* diagnostics_;
  std::map<std::string, SetKeys, std::less<>> set_keys_;
};

std::error_code ParseTree(const Branches& branches, Revision revision,
                          Settings* out, Diagnostics* diagnostics) {
  Settings settings;
  settings.revision_ = revision;
  TreeParser(branches, diagnostics).Parse(&settings);
  if (!diagnostics->empty()) return Errc::kBadSettings;
  *out = std::move(settings);
  return {};
}

Branches ReadBranches(const BranchTexts& texts, Diagnostics* diagnostics) {
  Branches branches;
  branches[std::string(kRootBranch)].file_ = kRootBranch;
  for (const auto& [path, text] : texts) {
    branches[path] = {path, ReadIni(path, text, diagnostics)};
  }
  return branches;
}

/// Splits one file into branches, one for each `[team PATH]` section; all other
/// sections belong to the root.
Branches SplitFile(const std::string& file, std::string_view text,
                   Diagnostics* diagnostics) {
  Branches branches;
  branches[std::string(kRootBranch)].file_ = file;
  const std::string prefix = std::string(kTeamSection) + " ";
  for (IniEntry& entry : ReadIni(file, text, diagnostics)) {
    std::string path(kRootBranch);
    if (entry.section_.starts_with(prefix)) {
      path = entry.section_.substr(prefix.size());
      entry.section_ = kTeamSection;
    }
    Branch& branch = branches[path];
    branch.file_ = file;
    branch.entries_.push_back(std::move(entry));
  }
  return branches;
}

std::string BranchPathOf(const std::filesystem::path& directory,
                         const std::filesystem::path& file) {
  std::string path =
      file.lexically_relative(directory).replace_extension().generic_string();
  return path + file.extension().string() == kRootFile
             ? std::string(kRootBranch)
             : path;
}

Diagnostic FileDiagnostic(const std::string& path,
                          const std::error_code& error) {
  return {path, 0, "", "",
          "can't be read (" + error.message() +
              "): check the path and its permissions"};
}

bool IsValidSegment(std::string_view segment) {
  if (segment.empty() || segment.front() == '-' || segment.front() == '_') {
    return false;
  }
  return std::all_of(segment.begin(), segment.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
}

}  // namespace

TeamHandle Settings::FindTeam(std::string_view path) const {
  if (teams_.empty()) return {};
  if (path.empty() || path == kRootBranch) return {0};
  const auto it =
      std::lower_bound(teams_.begin(), teams_.end(), path,
                       [](const TeamSettings& team, std::string_view wanted) {
                         return team.name_ < wanted;
                       });
  if (it == teams_.end() || it->name_ != path) return {};
  return {static_cast<uint16_t>(it - teams_.begin())};
}

std::optional<std::string> CheckBranchPath(std::string_view path) {
  if (path == kRootBranch) return std::nullopt;
  const std::string quoted = "branch '" + std::string(path) + "'";
  if (path.size() > kMaxPathBytes) {
    return quoted + " is longer than 100 bytes: use shorter names";
  }
  std::string_view rest = path;
  while (true) {
    const size_t slash = rest.find('/');
    if (!IsValidSegment(rest.substr(0, slash))) {
      return quoted +
             " is not a valid path: use words of a-z, 0-9, - and _ that start "
             "with a letter or digit, joined by /, such as care/night";
    }
    if (slash == std::string_view::npos) return std::nullopt;
    rest.remove_prefix(slash + 1);
  }
}

std::error_code ParseSettingsTree(const BranchTexts& branches,
                                  Revision revision, Settings* out,
                                  Diagnostics* diagnostics) {
  return ParseTree(ReadBranches(branches, diagnostics), revision, out,
                   diagnostics);
}

std::error_code ReadBranchFiles(const std::string& directory, BranchTexts* out,
                                Diagnostics* diagnostics) {
  std::error_code error;
  std::filesystem::recursive_directory_iterator files(directory, error);
  if (error) {
    diagnostics->push_back(FileDiagnostic(directory, error));
    return Errc::kBadSettings;
  }
  const std::filesystem::recursive_directory_iterator end;
  for (; !error && files != end; files.increment(error)) {
    const std::filesystem::path& path = files->path();
    if (path.extension() != ".ini") continue;
    std::string text;
    const std::error_code read_error = ReadTextFile(path.string(), &text);
    if (read_error) {
      diagnostics->push_back(FileDiagnostic(path.string(), read_error));
    }
    (*out)[BranchPathOf(directory, path)] = std::move(text);
  }
  if (error) diagnostics->push_back(FileDiagnostic(directory, error));
  if (!diagnostics->empty()) return Errc::kBadSettings;
  return {};
}

std::error_code LoadSettings(const std::string& path, Settings* out,
                             Diagnostics* diagnostics) {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    BranchTexts texts;
    error = ReadBranchFiles(path, &texts, diagnostics);
    if (error) return error;
    return ParseSettingsTree(texts, {}, out, diagnostics);
  }
  std::string text;
  error = ReadTextFile(path, &text);
  if (error) {
    diagnostics->push_back(FileDiagnostic(path, error));
    return Errc::kBadSettings;
  }
  return ParseTree(SplitFile(path, text, diagnostics), {}, out, diagnostics);
}

std::vector<EffectiveValue> ListEffectiveValues(const BranchTexts& branches,
                                                std::string_view branch) {
  Diagnostics diagnostics;
  Settings settings;
  const Branches tree = ReadBranches(branches, &diagnostics);
  TreeParser(tree, &diagnostics).Parse(&settings);
  const TeamHandle handle = settings.FindTeam(branch);
  if (!handle.valid()) return {};
  const auto origin_of = [&](std::string_view section, std::string_view key) {
    for (std::string path(branch);; path = ParentOf(path)) {
      for (const IniEntry& entry : tree.at(path).entries_) {
        if (entry.section_ == section && entry.key_ == key) return path;
      }
      if (path == kRootBranch) return std::string();
    }
  };
  std::vector<EffectiveValue> values;
  const auto add = [&](std::string_view section, const auto& keys,
                       const auto& object) {
    for (const auto& key : keys) {
      values.push_back({std::string(section), std::string(key.name_),
                        FormatValue(GetMember(object, key.member_), key.unit_),
                        origin_of(section, key.name_)});
    }
  };
  if (branch == kRootBranch) {
    add(kServiceSection, kServiceKeys, settings.service_);
  }
  add(kTeamSection, kTeamKeys, settings.teams_[handle.value_]);
  return values;
}

}  // namespace gentiandeal
