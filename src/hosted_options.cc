#include "hosted_options.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace gentiandeal {

namespace po = boost::program_options;

std::optional<int> ReadHostedOptions(const Words& words, const char* variable,
                                     HostedOptions* out) {
  po::options_description options(
      "gentiandeal hosted: run an instance on the users' platform");
  options.add_options()("help,h", "show this text")(
      "settings", po::value(&out->settings_file_),
      (std::string("the platform's settings file; $") + variable +
       " names it otherwise")
          .c_str())("check", "check the settings file and end")(
      "log-level", po::value(&out->log_level_)->default_value("info"),
      "debug, info, warn, error or off");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(words).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "gentiandeal hosted: " << error.what() << "\n" << options;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return kExitOk;
  }
  out->check_only_ = values.count("check") > 0;
  const char* named = std::getenv(variable);
  if (out->settings_file_.empty() && named != nullptr) {
    out->settings_file_ = named;
  }
  if (!out->settings_file_.empty()) return std::nullopt;
  std::cerr << "gentiandeal hosted: give --settings FILE or set " << variable
            << "\n";
  return kExitUsage;
}

}  // namespace gentiandeal
