#include "hosted_options.h"

#include <cstdlib>

#include "command_line.h"

namespace gentiandeal {

namespace {

constexpr uint32_t kMostReservations = 16;

}  // namespace

namespace po = boost::program_options;

std::optional<int> ReadHostedOptions(const Arguments& words,
                                     const char* variable, HostedOptions* out) {
  po::options_description options(
      "gentiandeal hosted: run an instance on the users' platform");
  options.add_options()("help,h", "show this text")(
      "settings", po::value(&out->settings_file_),
      (std::string("the platform's settings file (default: $") + variable + ")")
          .c_str())("check", po::bool_switch(&out->check_only_),
                    "check the settings file and exit")(
      "log-level", po::value(&out->log_level_)->default_value("info"),
      "debug, info, warn, error or off")(
      "reservations", po::value(&out->reservations_)->default_value(0),
      "most reservations of an owner in each pool, 0 to 16; see "
      "docs/SETTINGS.md");
  if (const auto code = ParseArguments(words, "hosted", options)) return code;
  if (out->reservations_ > kMostReservations) {
    return PrintUsageError("hosted", "--reservations is limited to 0 to 16");
  }
  const char* settings_file = std::getenv(variable);
  if (out->settings_file_.empty() && settings_file != nullptr) {
    out->settings_file_ = settings_file;
  }
  if (!out->settings_file_.empty()) return std::nullopt;
  return PrintUsageError(
      "hosted", std::string("give --settings FILE or set ") + variable);
}

}  // namespace gentiandeal
