#ifndef GENTIANDEAL_SRC_COMMANDS_H_
#define GENTIANDEAL_SRC_COMMANDS_H_

#include <string>
#include <vector>

/// Subcommands of the binary. Each takes the command-line arguments after its
/// name and returns an `ExitCode`.
namespace gentiandeal {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,       ///< The answer was "not run", or a check failed.
  kExitUsage = 2,        ///< The command line is not valid.
  kExitUnavailable = 3,  ///< The instance or the platform can't be reached.
  kExitMayHaveRun = 4,   ///< The answer was "may have run".
  kExitConflict = 5,     ///< Another operator changed the branch first.
};

using Arguments = std::vector<std::string>;

int RunServe(const Arguments& words);
int RunHosted(const Arguments& words);
int RunSettings(const Arguments& words);
int RunSubmit(const Arguments& words);
int RunStatus(const Arguments& words);
int RunExplain(const Arguments& words);
int RunLoad(const Arguments& words);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_COMMANDS_H_
