#ifndef GENTIANDEAL_TESTS_UNIT_FAKE_STORE_H_
#define GENTIANDEAL_TESTS_UNIT_FAKE_STORE_H_

#include <map>

#include "platform.h"
#include "settings_document.h"

namespace gentiandeal {

/// In-memory key-value store with compare-and-swap.
struct FakeStore {
  struct Entry {
    std::string value_;
    uint64_t index_ = 0;
  };
  std::map<std::string, Entry> entries_;
  uint64_t index_ = 0;

  StoreValue Read(const std::string& key) const {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return {false, "", 0, 1};
    return {true, it->second.value_, it->second.index_, it->second.index_};
  }

  SwapResult Swap(const std::string& key, const std::string& value,
                  uint64_t index) {
    if (Read(key).swap_index_ != index) return SwapResult::kIndexMismatch;
    entries_[key] = {value, ++index_};
    return SwapResult::kSwapped;
  }

  /// Settings document in the store; empty if there is none.
  SettingsContent Content() const {
    SettingsContent content;
    Diagnostics diagnostics;
    const auto it = entries_.find(kSettingsStoreKey);
    if (it != entries_.end()) {
      ReadDocument(it->second.value_, &content, nullptr, &diagnostics);
    }
    return content;
  }
};

/// Returns `base` with one change applied.
inline SettingsContent WithChange(SettingsContent base, const std::string& id,
                                  const std::string& branch,
                                  const std::string& text) {
  ChangeRecord record;
  record.id_ = id;
  record.author_ = "test";
  record.branch_ = branch;
  record.after_ = text;
  AppendChange(std::move(record), &base);
  return base;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_FAKE_STORE_H_
