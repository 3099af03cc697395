#ifndef GENTIANDEAL_SRC_JSON_CHECKS_H_
#define GENTIANDEAL_SRC_JSON_CHECKS_H_

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// Checks of values that other writers may have left in the store.
namespace gentiandeal {

/// Reads a number within bounds and drops its fraction. @returns false for
/// anything else; `out` is unchanged then.
template <typename T>
bool ReadInteger(const nlohmann::json& value, T least, T most, T* out) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<uint64_t>();
    if (number > static_cast<uint64_t>(most)) return false;
    if (least > 0 && number < static_cast<uint64_t>(least)) return false;
    *out = static_cast<T>(number);
    return true;
  }
  if (value.is_number_float()) {
    const auto number = value.get<double>();
    const bool in_range = number >= static_cast<double>(least) &&
                          number < static_cast<double>(most);
    if (in_range) *out = static_cast<T>(number);
    return in_range;
  }
  if (!value.is_number_integer()) return false;
  const auto number = value.get<int64_t>();  // negative
  if (number < static_cast<int64_t>(least)) return false;
  *out = static_cast<T>(number);
  return true;
}

/// The same for a member that may be absent; `out` is unchanged then.
template <typename T>
bool ReadOptional(const nlohmann::json& object, const char* name, T least,
                  T most, T* out) {
  const auto member = object.find(name);
  return member == object.end() || ReadInteger(*member, least, most, out);
}

/// @returns an upper bound of the memory that a text takes once it is parsed,
/// besides the text of its strings: each member of an object is a node of a
/// tree, and each other value an element of an array that may have room for
/// twice as many.
inline size_t ExpandedJsonBytes(std::string_view text) {
  constexpr size_t kMemberBytes = 128;
  constexpr size_t kElementBytes = 2 * sizeof(nlohmann::json);
  constexpr size_t kContainerBytes = 80;
  constexpr size_t kStringBytes = 48;
  size_t bytes = 0;
  bool quoted = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
      bytes += kStringBytes;
    } else if (c == ':') {
      bytes += kMemberBytes;
    } else if (c == ',') {
      bytes += kElementBytes;
    } else if (c == '[' || c == '{') {
      bytes += kContainerBytes;
    }
  }
  return bytes;
}

/// Longest name of a worker or instance.
inline constexpr size_t kMaxNameBytes = 200;

/// Whether a name can stand in headers, log lines and file names as it is:
/// visible ASCII without quotes, backslashes and separators.
inline bool IsPlainName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return c > 0x20 && c < 0x7f && c != '"' && c != '\\' && c != ',' &&
                  c != '=';
         });
}

/// Replaces what isn't visible ASCII, for logs.
inline std::string Printable(std::string text) {
  for (char& c : text) {
    if (c <= 0x20 || c >= 0x7f) c = '?';
  }
  return text;
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JSON_CHECKS_H_
