#ifndef GENTIANDEAL_SRC_JSON_TEXT_H_
#define GENTIANDEAL_SRC_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace gentiandeal {

/// Encodes as JSON. Bytes that aren't UTF-8, which names of other writers may
/// hold, become U+FFFD; `dump` alone would throw.
inline std::string ToJsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_JSON_TEXT_H_
