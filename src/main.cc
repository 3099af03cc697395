#include <cstdio>
#include <string_view>

#include "commands.h"
#include "version.h"

namespace gentiandeal {
namespace {

struct Subcommand {
  std::string_view name_;
  std::string_view help_;
  int (*run_)(const Arguments& words);
};

constexpr Subcommand kSubcommands[] = {
    {"serve", "run an entry instance", &RunServe},
    {"hosted", "run an instance on the users' platform", &RunHosted},
    {"settings", "check, show and change the shared settings", &RunSettings},
    {"submit", "submit a job and print its complete answer", &RunSubmit},
    {"status", "show workers, peers, settings and counters of an instance",
     &RunStatus},
    {"explain", "show where a job would be placed, and why", &RunExplain},
    {"load", "send synthetic jobs and measure the answers", &RunLoad},
};

constexpr char kUsage[] =
    "Usage: gentiandeal SUBCOMMAND [OPTIONS]\n"
    "       gentiandeal SUBCOMMAND --help\n"
    "       gentiandeal --version\n\n"
    "Subcommands:\n";
constexpr char kExitCodes[] =
    "\nExit codes: 0 done; 1 failed or not run; 2 invalid command line; "
    "3 instance or\nplatform can't be reached; 4 may have run; 5 changed by "
    "another operator.\n";

int PrintHelp(std::FILE* out, int code) {
  std::fputs(kUsage, out);
  for (const Subcommand& subcommand : kSubcommands) {
    std::fprintf(out, "  %-10s%s\n", subcommand.name_.data(),
                 subcommand.help_.data());
  }
  std::fputs(kExitCodes, out);
  return code;
}

int Run(const Arguments& words) {
  if (words.empty()) return PrintHelp(stderr, kExitUsage);
  if (words[0] == "--help" || words[0] == "-h") {
    return PrintHelp(stdout, kExitOk);
  }
  if (words[0] == "--version") {
    std::printf("gentiandeal %s\n", kVersion);
    return kExitOk;
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name_ != words[0]) continue;
    return subcommand.run_(Arguments(words.begin() + 1, words.end()));
  }
  std::fprintf(stderr, "gentiandeal: unknown subcommand '%s'\n",
               words[0].c_str());
  return PrintHelp(stderr, kExitUsage);
}

}  // namespace
}  // namespace gentiandeal

int main(int argc, char** argv) {
  return gentiandeal::Run(gentiandeal::Arguments(argv + 1, argv + argc));
}
