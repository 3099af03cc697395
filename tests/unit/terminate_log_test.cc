#include "terminate_log.h"

#include <event2/event.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <stdexcept>
#include <thread>

#include "buffered_log.h"
#include "event_base.h"
#include "json_text.h"

namespace gentiandeal {
namespace {

/// Runs an event loop whose only callback throws.
void ThrowFromCallback() {
  const EventBase base(event_base_new());
  const timeval at_once{0, 0};
  const auto fail = [](evutil_socket_t, int16_t, void*) {
    throw std::runtime_error("no such member");
  };
  event_base_once(base.get(), -1, EV_TIMEOUT, fail, nullptr, &at_once);
  event_base_dispatch(base.get());
}

/// Ends by an exception, with a log as instances have.
[[noreturn]] void EndByException(int output) {
  std::signal(SIGABRT, SIG_DFL);
  dup2(output, STDOUT_FILENO);
  SetUpBufferedLog("info");
  LogBeforeTerminate();
  // The test framework would catch what this thread throws.
  std::thread(&ThrowFromCallback).join();
  _exit(0);
}

BOOST_AUTO_TEST_SUITE(terminate_log)

// Guards against a process that ends without a word in its log.
BOOST_AUTO_TEST_CASE(AnExceptionInACallbackIsLoggedWithItsPlace) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) EndByException(ends[1]);
  close(ends[1]);
  std::string log;
  char bytes[4096];
  for (ssize_t got = 0; (got = read(ends[0], bytes, sizeof(bytes))) > 0;) {
    log.append(bytes, static_cast<size_t>(got));
  }
  close(ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  BOOST_TEST((WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT));
  BOOST_TEST(log.find("event=terminated reason=no?such?member") != log.npos);
  BOOST_TEST(log.find("event=terminated-at frame=3") != log.npos);
}

// Guards against a message that ends the process because of a name in it.
BOOST_AUTO_TEST_CASE(BytesThatAreNotUtf8AreReplaced) {
  const nlohmann::json value = {{"name", "a\xff\xfe"}};
  BOOST_TEST(ToJsonText(value) == "{\"name\":\"a\xef\xbf\xbd\xef\xbf\xbd\"}");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
