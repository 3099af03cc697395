#ifndef GENTIANDEAL_SRC_VERSION_H_
#define GENTIANDEAL_SRC_VERSION_H_

namespace gentiandeal {

/// Version of the binary, as `--version` prints it.
inline constexpr char kVersion[] = "0.1.0";

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_VERSION_H_
