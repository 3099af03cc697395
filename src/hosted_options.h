#ifndef GENTIANDEAL_SRC_HOSTED_OPTIONS_H_
#define GENTIANDEAL_SRC_HOSTED_OPTIONS_H_

#include <optional>

#include "commands.h"

namespace gentiandeal {

/// Command-line options of `gentiandeal hosted`.
struct HostedOptions {
  std::string settings_file_;
  std::string log_level_;
  bool check_only_ = false;
  uint32_t reservations_ = 0;  ///< See `WorkerSchedulerLimits`.
};

/// Parses the command line.
/// @param variable Environment variable that names the settings file if the
///     command line doesn't.
/// @returns an `ExitCode` if the command ends here, after help or an error.
std::optional<int> ReadHostedOptions(const Arguments& words,
                                     const char* variable, HostedOptions* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HOSTED_OPTIONS_H_
