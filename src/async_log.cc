#include "async_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace gentiandeal {
namespace {

/// Lines that wait to be written; older ones are dropped beyond it.
constexpr size_t kLogQueue = 8192;
}  // namespace

void SetUpAsyncLog(const std::string& level) {
  spdlog::init_thread_pool(kLogQueue, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("gentiandeal");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(std::chrono::seconds(1));
}

void ShutDownAsyncLog() { spdlog::shutdown(); }

}  // namespace gentiandeal
