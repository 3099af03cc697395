#include "boot_settings.h"

#include <filesystem>
#include <set>

namespace gentiandeal {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr Range kDrainRange{0, 600 * 1000};
constexpr Range kMemoryRange{0, 1024 * 1024};
constexpr Range kFdRange{0, 1024 * 1024};
constexpr Range kHeadRange{256, config::kMaxHeadBytes};
constexpr Range kBodyRange{0, config::kMaxBodyBytes};
constexpr Range kTimeoutRange{1, 600 * 1000};
constexpr Range kSettingsWaitRange{0, 60 * 1000};
/// A double, which values are parsed as, is exact for whole numbers up to 2^53,
/// a little above 9e15.
constexpr Range kPlacementSeedRange{0, 9e15};

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  for (const char c : text) {
    const bool valid = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!valid) return false;
  }
  return true;
}

/// Parses and stores one value. Returns an error message, or an empty string.
using ValueReader = std::string (*)(const std::string& value, Init* init);

std::string ReadName(const std::string& value, std::string* out) {
  if (!IsValidName(value)) {
    return "'" + value +
           "' is not a valid name: use 1 to 64 characters of a-z, A-Z, 0-9, - "
           "and _";
  }
  *out = value;
  return {};
}

std::string ReadAddress(const std::string& value, Address* out) {
  if (!ParseAddress(value, out)) return {};
  return "'" + value +
         "' is not a valid address: write a numeric IP and a port, such as "
         "10.0.0.5:8500";
}

std::string ReadAddresses(std::string value, std::vector<Address>* out) {
  for (char& c : value) {
    if (c == '\t') c = ' ';
    if (c == ',') c = ' ';
  }
  size_t start = value.find_first_not_of(' ');
  while (start != std::string::npos) {
    const size_t end = std::min(value.find(' ', start), value.size());
    Address address;
    std::string message =
        ReadAddress(value.substr(start, end - start), &address);
    if (!message.empty()) return message;
    out->push_back(address);
    start = value.find_first_not_of(' ', end);
  }
  return {};
}

/// Refuses more seeds than can be used: the rest would be left out silently.
std::string ReadSeeds(const std::string& value, size_t most,
                      std::vector<Address>* out) {
  std::string message = ReadAddresses(value, out);
  if (!message.empty() || out->size() <= most) return message;
  return "makes " + std::to_string(out->size()) + " addresses, of which " +
         std::to_string(most) + " can be used: remove some";
}

std::string ReadDuration(const std::string& value, Range range, Duration* out) {
  std::string message;
  const auto ms = ParseValue(value, ValueType::kDuration, range, &message);
  if (!ms) return message;
  out->ms_ = static_cast<int64_t>(*ms);
  return {};
}

template <typename T>
std::string ReadWhole(const std::string& value, ValueType type, Range range,
                      T* out) {
  std::string message;
  const auto number = ParseValue(value, type, range, &message);
  if (!number) return message;
  *out = static_cast<T>(*number);
  return {};
}

struct BootKey {
  std::string_view section_;
  std::string_view key_;
  bool repeatable_ = false;  ///< May be given on several lines.
  ValueReader read_ = nullptr;
};

constexpr BootKey kBootKeys[] = {
    {"instance", "data_centre", false,
     [](const std::string& value, Init* init) {
       return ReadName(value, &init->data_centre_);
     }},
    {"instance", "region", false,
     [](const std::string& value, Init* init) {
       return ReadName(value, &init->region_);
     }},
    {"instance", "callers", false,
     [](const std::string& value, Init* init) {
       return ReadAddress(value, &init->callers_);
     }},
    {"instance", "peers", false,
     [](const std::string& value, Init* init) {
       return ReadAddress(value, &init->peers_);
     }},
    {"instance", "peers_advertised", false,
     [](const std::string& value, Init* init) {
       return ReadAddress(value, &init->peers_advertised_);
     }},
    {"instance", "placement_seed", false,
     [](const std::string& value, Init* init) {
       return ReadWhole(value, ValueType::kCount, kPlacementSeedRange,
                        &init->seed_);
     }},
    {"platform", "address", false,
     [](const std::string& value, Init* init) {
       return ReadAddress(value, &init->platform_);
     }},
    {"platform", "service", false,
     [](const std::string& value, Init* init) {
       return ReadName(value, &init->service_);
     }},
    {"settings", "file", false,
     [](const std::string& value, Init* init) -> std::string {
       if (value.empty()) return "is empty: write a path or remove the line";
       init->settings_file_ = value;
       return {};
     }},
    {"settings", "wait", false,
     [](const std::string& value, Init* init) {
       return ReadDuration(value, kSettingsWaitRange, &init->settings_wait_);
     }},
    {"seeds", "workers", true,
     [](const std::string& value, Init* init) {
       return ReadSeeds(value, config::kMaxWorkers, &init->seed_workers_);
     }},
    {"seeds", "peers", true,
     [](const std::string& value, Init* init) {
       return ReadSeeds(value, config::kMaxPeers, &init->seed_peers_);
     }},
    {"drain", "linger", false,
     [](const std::string& value, Init* init) {
       return ReadDuration(value, kDrainRange, &init->drain_linger_);
     }},
    {"drain", "limit", false,
     [](const std::string& value, Init* init) {
       return ReadDuration(value, kDrainRange, &init->drain_limit_);
     }},
    {"limits", "memory_mb", false,
     [](const std::string& value, Init* init) {
       return ReadWhole(value, ValueType::kCount, kMemoryRange,
                        &init->memory_mb_);
     }},
    {"limits", "max_fds", false,
     [](const std::string& value, Init* init) {
       return ReadWhole(value, ValueType::kCount, kFdRange, &init->max_fds_);
     }},
    {"limits", "max_head_bytes", false,
     [](const std::string& value, Init* init) {
       return ReadWhole(value, ValueType::kBytes, kHeadRange,
                        &init->max_head_bytes_);
     }},
    {"limits", "max_body_bytes", false,
     [](const std::string& value, Init* init) {
       return ReadWhole(value, ValueType::kBytes, kBodyRange,
                        &init->max_body_bytes_);
     }},
    {"limits", "head_timeout", false,
     [](const std::string& value, Init* init) {
       return ReadDuration(value, kTimeoutRange, &init->head_timeout_);
     }},
    {"limits", "idle_timeout", false,
     [](const std::string& value, Init* init) {
       return ReadDuration(value, kTimeoutRange, &init->idle_timeout_);
     }},
};

const BootKey* FindKey(const IniEntry& entry) {
  for (const BootKey& key : kBootKeys) {
    if (key.section_ == entry.section_ && key.key_ == entry.key_) return &key;
  }
  return nullptr;
}

std::string JoinKeyNames() {
  std::string text;
  for (const BootKey& key : kBootKeys) {
    if (!text.empty()) text += ", ";
    text += std::string(key.section_) + "." + std::string(key.key_);
  }
  return text;
}

void CheckDrain(const std::string& file, const Init& init,
                Diagnostics* diagnostics) {
  if (init.drain_linger_.ms_ <= init.drain_limit_.ms_) return;
  diagnostics->push_back({file, 0, "drain", "linger",
                          "is above limit: lower it or raise the limit"});
}

void ResolveSettingsPath(const std::string& file, Init* init) {
  if (init->settings_file_.empty()) return;
  const std::filesystem::path path(init->settings_file_);
  if (path.is_absolute()) return;
  init->settings_file_ =
      (std::filesystem::path(file).parent_path() / path).string();
}

}  // namespace

std::error_code ParseBootSettings(const std::string& file,
                                  std::string_view text, Init* out,
                                  Diagnostics* diagnostics) {
  Init init;
  std::set<const BootKey*> seen;
  for (const IniEntry& entry : ReadIni(file, text, diagnostics)) {
    const BootKey* key = FindKey(entry);
    if (key == nullptr) {
      diagnostics->push_back(
          MakeDiagnostic(entry, "unknown key: use one of " + JoinKeyNames()));
      continue;
    }
    if (!seen.insert(key).second && !key->repeatable_) {
      diagnostics->push_back(
          MakeDiagnostic(entry, "is given twice: keep one line"));
      continue;
    }
    std::string message = key->read_(entry.value_, &init);
    if (!message.empty()) {
      diagnostics->push_back(MakeDiagnostic(entry, std::move(message)));
    }
  }
  CheckDrain(file, init, diagnostics);
  if (!diagnostics->empty()) return Errc::kBadSettings;
  ResolveSettingsPath(file, &init);
  *out = std::move(init);
  return {};
}

std::error_code LoadBootSettings(const std::string& file, Init* out,
                                 Diagnostics* diagnostics) {
  std::string text;
  const std::error_code error = ReadTextFile(file, &text);
  if (error) {
    diagnostics->push_back({file, 0, "", "",
                            "can't be read (" + error.message() +
                                "): check the path and its permissions"});
    return Errc::kBadSettings;
  }
  return ParseBootSettings(file, text, out, diagnostics);
}

}  // namespace gentiandeal
