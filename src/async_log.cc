#include "async_log.h"

#include <poll.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <climits>
#include <mutex>

namespace gentiandeal {
namespace {

/// Capacity of the queue of lines; when it is full, the oldest are dropped.
constexpr size_t kMaxQueuedLines = 8192;

/// Writes lines to standard output without blocking, since a blocked write
/// would keep the process from exiting. Drops lines while the reader of
/// standard output is behind, and logs their number when it has caught up.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (dropped_ > 0 && TryWrite("event=log-dropped lines=" +
                                 std::to_string(dropped_) + "\n")) {
      dropped_ = 0;
    }
    if (!TryWrite({line.data(), line.size()})) ++dropped_;
  }

  void flush_() override {}

 private:
  // Cuts lines at `PIPE_BUF`: a pipe that polls as writable accepts that many
  // bytes without blocking.
  static bool TryWrite(std::string_view line) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    line = line.substr(0, PIPE_BUF);
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  uint64_t dropped_ = 0;
};

}  // namespace

void SetUpAsyncLog(const std::string& level) {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto logger = spdlog::create_async_nb<NonBlockingSink>("gentiandeal");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
}

void ShutDownAsyncLog() { spdlog::shutdown(); }

}  // namespace gentiandeal
