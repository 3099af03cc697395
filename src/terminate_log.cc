#include "terminate_log.h"

#include <spdlog/spdlog.h>

#include <boost/stacktrace.hpp>
#include <cstdlib>
#include <exception>
#include <string>

#include "buffered_log.h"
#include "json_checks.h"

namespace gentiandeal {
namespace {

constexpr size_t kMaxFrames = 40;

std::string Reason() {
  const std::exception_ptr thrown = std::current_exception();
  if (thrown == nullptr) return "no-exception";
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown-exception";
  }
}

// The stack hasn't been unwound: libevent calls back from C.
[[noreturn]] void OnTerminate() {
  spdlog::critical("event=terminated reason={}", Printable(Reason()));
  const boost::stacktrace::stacktrace calls(0, kMaxFrames);
  for (size_t i = 0; i < calls.size(); ++i) {
    spdlog::critical("event=terminated-at frame={} call={} address={}", i,
                     Printable(calls[i].name()), calls[i].address());
  }
  FlushLog();
  std::abort();
}

}  // namespace

void LogBeforeTerminate() { std::set_terminate(&OnTerminate); }

}  // namespace gentiandeal
