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

/// Entries of one branch, as written.
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

/// Where each explicit value of a branch stands.
using SetKeys = std::map<std::string, const IniEntry*, std::less<>>;

/// Checks branches one after the other, parents first.
class TreeCheck {
 public:
  TreeCheck(const Branches& branches, Diagnostics* faults)
      : branches_(branches), faults_(faults) {}

  void Run(Settings* out) {
    CheckCount();
    out->teams_.clear();
    for (const auto& [path, branch] : branches_) {
      if (!CheckPlace(path, branch)) continue;
      AddBranch(path, branch, out);
    }
    CheckSums(*out);
  }

 private:
  void CheckCount() {
    if (branches_.size() <= config::kMaxTeams) return;
    const std::string limit = std::to_string(config::kMaxTeams);
    faults_->push_back({std::string(kRootBranch), 0, "", "",
                        "tree has " + std::to_string(branches_.size()) +
                            " branches: keep at most " + limit});
  }

  bool CheckPlace(const std::string& path, const Branch& branch) {
    const auto fault = CheckBranchPath(path);
    if (fault) {
      faults_->push_back({branch.file_, 0, "", "", *fault});
      return false;
    }
    const std::string parent = ParentOf(path);
    if (path == kRootBranch || branches_.contains(parent)) return true;
    faults_->push_back(
        {branch.file_, 0, "", "",
         "branch '" + path + "' has no parent: apply '" + parent + "' first"});
    return false;
  }

  void AddBranch(const std::string& path, const Branch& branch, Settings* out) {
    TeamSettings team;
    const TeamHandle parent = out->FindTeam(ParentOf(path));
    if (parent.valid()) team = out->teams_[parent.value_];
    team.name_ = path;
    SetKeys& set = set_[path];
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
      Fault(entry, "is given twice: keep one line");
      return;
    }
    if (entry.section_ == kTeamSection) {
      ReadKey(kTeamKeys, entry, team);
    } else if (entry.section_ != kServiceSection) {
      Fault(entry, "unknown section: use [team], or [service] in the root");
    } else if (path != kRootBranch) {
      Fault(entry, "[service] belongs to the root: apply it to branch /");
    } else {
      ReadKey(kServiceKeys, entry, service);
    }
  }

  void ReadKey(const auto& keys, const IniEntry& entry, auto* object) {
    for (const auto& key : keys) {
      if (key.name_ != entry.key_) continue;
      std::string fault;
      const auto value =
          ParseValue(entry.value_, key.unit_, key.range_, &fault);
      if (!value) {
        Fault(entry, fault);
      } else {
        SetMember(*value, key.member_, object);
      }
      return;
    }
    Fault(entry, "unknown key: use one of " + JoinNames(keys));
  }

  void CheckDeadlines(const Branch& branch, const SetKeys& set,
                      const TeamSettings& team) {
    if (team.default_deadline_.ms_ <= team.max_deadline_.ms_) return;
    const IniEntry* entry = Find(set, "default_deadline");
    if (entry == nullptr) entry = Find(set, "max_deadline");
    const std::string message =
        "default_deadline is above max_deadline: lower the first or raise "
        "the second";
    if (entry != nullptr) {
      Fault(*entry, message);
    } else if (team.name_ == kRootBranch) {
      faults_->push_back({branch.file_, 0, "team", "", message});
    }
  }

  void CheckWithinParent(const TeamSettings& parent, const TeamSettings& team,
                         const SetKeys& set) {
    for (const auto& key : kTeamKeys) {
      const IniEntry* entry = Find(set, key.name_);
      if (entry == nullptr || key.bound_ == Bound::kFree) continue;
      const double limit = GetMember(parent, key.member_);
      const double value = GetMember(team, key.member_);
      if (limit == 0 || (value != 0 && value <= limit)) continue;
      Fault(*entry, "is above " + FormatValue(limit, key.unit_) + " of '" +
                        parent.name_ + "': lower it or raise the parent's");
    }
  }

  /// Sums the children's own quotas under each parent that has one.
  void CheckSums(const Settings& settings) {
    for (const auto& key : kTeamKeys) {
      if (key.bound_ != Bound::kQuota) continue;
      std::map<std::string, double> sums;
      for (const TeamSettings& team : settings.teams_) {
        if (team.name_ == kRootBranch) continue;
        const IniEntry* entry = Find(set_[team.name_], key.name_);
        if (entry == nullptr) continue;
        const std::string parent = ParentOf(team.name_);
        sums[parent] += GetMember(team, key.member_);
        CheckSum(settings, key, parent, sums[parent], *entry);
      }
    }
  }

  void CheckSum(const Settings& settings, const auto& key,
                const std::string& parent, double sum, const IniEntry& entry) {
    const TeamHandle handle = settings.FindTeam(parent);
    if (!handle.valid()) return;
    const double limit = GetMember(settings.teams_[handle.value_], key.member_);
    if (limit == 0 || sum <= limit) return;
    Fault(entry, "the branches under '" + parent + "' ask for " +
                     FormatValue(sum, key.unit_) + " of " +
                     FormatValue(limit, key.unit_) +
                     " together: lower this one or raise the parent's");
  }

  static const IniEntry* Find(const SetKeys& set, std::string_view key) {
    const auto it =
        set.find(std::string(kTeamSection) + "." + std::string(key));
    return it == set.end() ? nullptr : it->second;
  }

  void Fault(const IniEntry& entry, std::string message) {
    faults_->push_back(FaultAt(entry, std::move(message)));
  }

  const Branches& branches_;
  Diagnostics* faults_;
  std::map<std::string, SetKeys, std::less<>> set_;
};

std::error_code CheckTree(const Branches& branches, Revision revision,
                          Settings* out, Diagnostics* faults) {
  Settings settings;
  settings.revision_ = revision;
  TreeCheck(branches, faults).Run(&settings);
  if (!faults->empty()) return Errc::kBadSettings;
  *out = std::move(settings);
  return {};
}

Branches ReadBranches(const BranchTexts& texts, Diagnostics* faults) {
  Branches branches;
  branches[std::string(kRootBranch)].file_ = kRootBranch;
  for (const auto& [path, text] : texts) {
    branches[path] = {path, ReadIni(path, text, faults)};
  }
  return branches;
}

/// Splits one file whose `[team PATH]` sections are branches of their own.
Branches SplitFile(const std::string& file, std::string_view text,
                   Diagnostics* faults) {
  Branches branches;
  branches[std::string(kRootBranch)].file_ = file;
  const std::string prefix = std::string(kTeamSection) + " ";
  for (IniEntry& entry : ReadIni(file, text, faults)) {
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

std::string BranchOfFile(const std::filesystem::path& directory,
                         const std::filesystem::path& file) {
  std::string path =
      file.lexically_relative(directory).replace_extension().generic_string();
  return path + file.extension().string() == kRootFile
             ? std::string(kRootBranch)
             : path;
}

Diagnostic FileFault(const std::string& path, const std::error_code& error) {
  return {path, 0, "", "",
          "can't be read (" + error.message() +
              "): check the path and its permissions"};
}

bool SegmentIsValid(std::string_view word) {
  if (word.empty() || word.front() == '-' || word.front() == '_') return false;
  return std::all_of(word.begin(), word.end(), [](char c) {
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
    if (!SegmentIsValid(rest.substr(0, slash))) {
      return quoted +
             " is no path: join words of a-z, 0-9, - and _ that start with "
             "a letter or digit by /, such as care/night";
    }
    if (slash == std::string_view::npos) return std::nullopt;
    rest.remove_prefix(slash + 1);
  }
}

std::error_code ParseSettingsTree(const BranchTexts& branches,
                                  Revision revision, Settings* out,
                                  Diagnostics* faults) {
  return CheckTree(ReadBranches(branches, faults), revision, out, faults);
}

std::error_code ReadBranchFiles(const std::string& directory, BranchTexts* out,
                                Diagnostics* faults) {
  std::error_code error;
  std::filesystem::recursive_directory_iterator files(directory, error);
  if (error) {
    faults->push_back(FileFault(directory, error));
    return Errc::kBadSettings;
  }
  const std::filesystem::recursive_directory_iterator end;
  for (; !error && files != end; files.increment(error)) {
    const std::filesystem::path& path = files->path();
    if (path.extension() != ".ini") continue;
    std::string text;
    const std::error_code fault = ReadTextFile(path.string(), &text);
    if (fault) faults->push_back(FileFault(path.string(), fault));
    (*out)[BranchOfFile(directory, path)] = std::move(text);
  }
  if (error) faults->push_back(FileFault(directory, error));
  if (!faults->empty()) return Errc::kBadSettings;
  return {};
}

std::error_code LoadSettings(const std::string& path, Settings* out,
                             Diagnostics* faults) {
  std::error_code error;
  if (std::filesystem::is_directory(path, error)) {
    BranchTexts texts;
    error = ReadBranchFiles(path, &texts, faults);
    if (error) return error;
    return ParseSettingsTree(texts, {}, out, faults);
  }
  std::string text;
  error = ReadTextFile(path, &text);
  if (error) {
    faults->push_back(FileFault(path, error));
    return Errc::kBadSettings;
  }
  return CheckTree(SplitFile(path, text, faults), {}, out, faults);
}

std::vector<EffectiveValue> ListEffectiveValues(const BranchTexts& branches,
                                                std::string_view branch) {
  Diagnostics faults;
  Settings settings;
  const Branches tree = ReadBranches(branches, &faults);
  TreeCheck(tree, &faults).Run(&settings);
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
