#ifndef GENTIANDEAL_TESTS_STANDINS_ANSWER_BYTES_H_
#define GENTIANDEAL_TESTS_STANDINS_ANSWER_BYTES_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Body of a stand-in worker's answer, known in advance to whoever sent the
/// request, so that an answer can be checked byte for byte.
namespace gentiandeal::standin {

/// @param size Bytes wanted.
/// @returns Lower-case letters that depend on the whole request.
inline std::string AnswerBytes(std::string_view method, std::string_view path,
                               std::string_view body, size_t size) {
  constexpr uint64_t kOffset = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t state = kOffset;
  for (const std::string_view part : {method, path, body}) {
    for (const char byte : part) {
      state = (state ^ static_cast<uint8_t>(byte)) * kPrime;
    }
    state = (state ^ part.size()) * kPrime;
  }
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    state = state * 6364136223846793005u + 1442695040888963407u;
    byte = static_cast<char>('a' + (state >> 33) % 26);
  }
  return bytes;
}

}  // namespace gentiandeal::standin

#endif  // GENTIANDEAL_TESTS_STANDINS_ANSWER_BYTES_H_
