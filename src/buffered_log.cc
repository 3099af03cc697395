#include "buffered_log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace gentiandeal {
namespace {

/// Bytes of lines that are kept while standard output takes none; lines that
/// don't fit are dropped.
constexpr size_t kMaxBufferedBytes = 512 * 1024;
/// Bytes from which the buffer is written without waiting for the timer.
constexpr size_t kFlushBytes = 64 * 1024;

/// Writes lines to standard output without blocking, since a blocked write
/// would keep the process from serving and from exiting. Counts the lines that
/// it drops, and logs their number when the reader has caught up.
class BufferedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffer_.size() >= kFlushBytes) flush_();
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      buffer_ += "event=log-dropped lines=" + std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
    buffer_.append(line.data(), line.size());
  }

  // A pipe that polls as writable accepts `PIPE_BUF` bytes without blocking.
  void flush_() override {
    size_t written = 0;
    while (written < buffer_.size()) {
      pollfd output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) break;
      const size_t size = std::min<size_t>(PIPE_BUF, buffer_.size() - written);
      const ssize_t taken = write(STDOUT_FILENO, &buffer_[written], size);
      if (taken <= 0) break;
      written += static_cast<size_t>(taken);
    }
    buffer_.erase(0, written);
  }

 private:
  std::string buffer_;
  uint64_t dropped_ = 0;
};

}  // namespace

void SetUpBufferedLog(const std::string& level) {
  auto logger = std::make_shared<spdlog::logger>(
      "gentiandeal", std::make_shared<BufferedSink>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::err);
  spdlog::set_default_logger(std::move(logger));
}

void FlushLog() { spdlog::default_logger_raw()->flush(); }

}  // namespace gentiandeal
