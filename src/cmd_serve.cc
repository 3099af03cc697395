#include <event2/event.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "boot_settings.h"
#include "command_line.h"
#include "gentiandeal_p.h"
#include "json_text.h"
#include "process_memory.h"
#include "terminate_log.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;

std::atomic<EntryInstance*> running_instance{nullptr};

void DrainOnSignal(int) {
  EntryInstance* instance = running_instance.load();
  if (instance != nullptr) instance->Drain();
}

void InstallSignalHandlers(EntryInstance* instance) {
  running_instance = instance;
  struct sigaction action {};
  action.sa_handler = &DrainOnSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void SetUpLogging(const std::string& level) {
  auto logger = spdlog::stderr_logger_mt("gentiandeal");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
  LogBeforeTerminate();
}

void PrintListeningEvent(const EntryInstance& instance) {
  nlohmann::ordered_json line;
  line["event"] = "listening";
  line["callers"] = ToString(instance.callers());
  line["peers"] = ToString(instance.peers());
  std::cout << ToJsonText(line) << std::endl;
}

int RunInstance(const Init& init) {
  EntryInstance instance(init);
  if (const auto error = instance.Start()) {
    std::cerr << "gentiandeal: can't listen: " << error.message()
              << "; check callers and peers in [instance]\n";
    return kExitUnavailable;
  }
  InstallSignalHandlers(&instance);
  PrintListeningEvent(instance);
  instance.Run();
  running_instance = nullptr;
  spdlog::info("stopped: task_starts={} jobs_complete={} cut_at_exit={}",
               instance.GetStats().task_starts_,
               instance.GetStats().jobs_complete_,
               instance.GetStats().cut_at_exit_);
  return instance.GetStats().cut_at_exit_ == 0 ? kExitOk : kExitFailed;
}

}  // namespace

int RunServe(const Arguments& words) {
  std::string boot;
  std::string log_level;
  po::options_description options("gentiandeal serve: run an entry instance");
  options.add_options()("help,h", "show this text")(
      "boot", po::value(&boot), "boot settings file (docs/SETTINGS.md)")(
      "log-level", po::value(&log_level)->default_value("info"),
      "debug, info, warn, error or off");
  if (const auto code = ParseArguments(words, "serve", options)) return *code;
  if (boot.empty()) return PrintUsageError("serve", "--boot FILE is missing");
  SetUpLogging(log_level);
  Init init;
  Diagnostics diagnostics;
  if (LoadBootSettings(boot, &init, &diagnostics)) {
    for (const Diagnostic& diagnostic : diagnostics) {
      std::cerr << ToString(diagnostic) << "\n";
    }
    return kExitUsage;
  }
  if (init.memory_mb_ > 0) ReturnLargeBlocks();
  return RunInstance(init);
}

}  // namespace gentiandeal
