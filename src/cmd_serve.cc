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

namespace gentiandeal {
namespace {

namespace po = boost::program_options;

std::atomic<EntryInstance*> signalled_instance{nullptr};

void OnSignal(int) {
  EntryInstance* instance = signalled_instance.load();
  if (instance != nullptr) instance->Drain();
}

void InstallSignals(EntryInstance* instance) {
  signalled_instance = instance;
  struct sigaction action {};
  action.sa_handler = &OnSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void SetUpLog(const std::string& level) {
  auto logger = spdlog::stderr_logger_mt("gentiandeal");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void PrintStartUpLine(const EntryInstance& instance) {
  nlohmann::ordered_json line;
  line["event"] = "listening";
  line["callers"] = ToString(instance.callers());
  line["peers"] = ToString(instance.peers());
  std::cout << line.dump() << std::endl;
}

int Serve(const Init& init) {
  EntryInstance instance(init);
  if (const auto error = instance.Start()) {
    std::cerr << "gentiandeal: can't listen: " << error.message()
              << ": check [instance] callers and peers\n";
    return kExitUnavailable;
  }
  InstallSignals(&instance);
  PrintStartUpLine(instance);
  instance.Run();
  signalled_instance = nullptr;
  spdlog::info("stopped: task_starts={} jobs_complete={} cut_at_exit={}",
               instance.GetStats().task_starts_,
               instance.GetStats().jobs_complete_,
               instance.GetStats().cut_at_exit_);
  return instance.GetStats().cut_at_exit_ == 0 ? kExitOk : kExitFailed;
}

}  // namespace

int RunServe(const Words& words) {
  std::string boot;
  std::string log_level;
  po::options_description options("gentiandeal serve: run an entry instance");
  options.add_options()("help,h", "show this text")(
      "boot", po::value(&boot), "boot settings file (docs/SETTINGS.md)")(
      "log-level", po::value(&log_level)->default_value("info"),
      "debug, info, warn, error or off");
  if (const auto code = ReadWords(words, "serve", options)) return *code;
  if (boot.empty()) return UsageError("serve", "give --boot FILE");
  SetUpLog(log_level);
  Init init;
  Diagnostics faults;
  if (LoadBootSettings(boot, &init, &faults)) {
    for (const Diagnostic& fault : faults) {
      std::cerr << ToString(fault) << "\n";
    }
    return kExitUsage;
  }
  return Serve(init);
}

}  // namespace gentiandeal
