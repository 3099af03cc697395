#include <cinttypes>
#include <csignal>
#include <cstdio>

#include "gentiandeal/gentiandeal.h"

// Embeds an entry instance in another program, without a platform: workers are
// given on the command line. Drains and exits on SIGTERM or SIGINT.
//
//   example-01-embedded 127.0.0.1:9001 127.0.0.1:9002

namespace {

gentiandeal::EntryInstance* running_instance = nullptr;

void DrainOnSignal(int) { running_instance->Drain(); }

}  // namespace

int main(int argc, char** argv) {
  gentiandeal::Init init;
  init.drain_linger_ = gentiandeal::Duration{100};
  for (int i = 1; i < argc; ++i) {
    gentiandeal::Address worker;
    if (const auto error = gentiandeal::ParseAddress(argv[i], &worker)) {
      std::fprintf(stderr, "%s: %s\n", argv[i], error.message().c_str());
      return 2;
    }
    init.seed_workers_.push_back(worker);
  }
  gentiandeal::EntryInstance instance(init);
  if (const auto error = instance.Start()) {
    std::fprintf(stderr, "can't listen: %s\n", error.message().c_str());
    return 3;
  }
  running_instance = &instance;
  std::signal(SIGTERM, &DrainOnSignal);
  std::signal(SIGINT, &DrainOnSignal);
  std::printf("callers: %s\n", ToString(instance.callers()).c_str());
  std::fflush(stdout);
  instance.Run();
  const gentiandeal::Stats stats = instance.GetStats();
  std::printf("task starts: %ju\n", static_cast<uintmax_t>(stats.task_starts_));
  return 0;
}
