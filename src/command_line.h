#ifndef GENTIANDEAL_SRC_COMMAND_LINE_H_
#define GENTIANDEAL_SRC_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

#include "commands.h"
#include "gentiandeal/gentiandeal.h"

/// Command lines of the subcommands that call entry instances.
namespace gentiandeal {

/// Options common to these subcommands.
struct TargetOptions {
  std::vector<std::string> texts_;
  bool allow_remote_ = false;
};

/// Adds `--help`, `--to` and `--allow-remote`.
void AddTargetOptions(boost::program_options::options_description* options,
                      TargetOptions* out);

/// Reads a subcommand's words into the options' variables.
///
/// @param name Such as `submit`, for messages.
/// @param operand Name of the only operand, or empty.
/// @returns an `ExitCode` when the command ends here, after help or an error.
std::optional<int> ReadWords(
    const Words& words, const std::string& name,
    const boost::program_options::options_description& options,
    const std::string& operand = {});

/// Reads the addresses of `--to`, loopback only unless remote is allowed.
/// @returns an `ExitCode` when the command ends here, after an error.
std::optional<int> ReadTargets(const TargetOptions& options,
                               const std::string& name,
                               std::vector<Address>* out);

/// Prints a usage error. @returns `kExitUsage`.
int UsageError(const std::string& name, const std::string& message);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_COMMAND_LINE_H_
