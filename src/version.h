#ifndef GENTIANDEAL_SRC_VERSION_H_
#define GENTIANDEAL_SRC_VERSION_H_

namespace gentiandeal {

/// Version of this build.
inline constexpr char kVersion[] = "0.1.0";

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_VERSION_H_
