#ifndef GENTIANDEAL_SRC_BASE64_H_
#define GENTIANDEAL_SRC_BASE64_H_

#include <string>
#include <string_view>

namespace gentiandeal {

/// Decodes standard base64 with padding. @returns false for anything else.
bool DecodeBase64(std::string_view text, std::string* out);
/// Encodes as standard base64 with padding.
std::string EncodeBase64(std::string_view bytes);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BASE64_H_
