#ifndef GENTIANDEAL_SRC_COMMAND_LINE_H_
#define GENTIANDEAL_SRC_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

#include "commands.h"
#include "gentiandeal/gentiandeal.h"

/// Command-line parsing shared by the subcommands.
namespace gentiandeal {

/// Options of subcommands that call entry instances.
struct TargetOptions {
  std::vector<std::string> address_texts_;  ///< Values of `--to`, unparsed.
  bool allow_remote_ = false;
};

/// Adds `--help`, `--to` and `--allow-remote`.
/// @param to_help Which address `--to` names.
void AddTargetOptions(
    boost::program_options::options_description* options, TargetOptions* out,
    const char* to_help =
        "callers' address of an entry instance; may be repeated");

/// Parses a subcommand's arguments into the variables bound to `options`.
///
/// @param name Name of the subcommand for messages, such as `submit`.
/// @param operand Name of the only positional argument, or empty for none.
/// @returns an `ExitCode` if the process should exit, after help or an error.
std::optional<int> ParseArguments(
    const Arguments& words, const std::string& name,
    const boost::program_options::options_description& options,
    const std::string& operand = {});

/// Parses the addresses of `--to`. Addresses other than loopback are refused
/// unless `allow_remote_` is set.
/// @returns an `ExitCode` if the process should exit, after an error.
std::optional<int> ReadTargets(const TargetOptions& options,
                               const std::string& name,
                               std::vector<Address>* out);

/// Prints a usage error. @returns `kExitUsage`.
int PrintUsageError(const std::string& name, const std::string& message);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_COMMAND_LINE_H_
