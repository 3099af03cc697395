#include "http_client.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "event_base.h"
#include "test_sockets.h"

namespace gentiandeal {
namespace {

constexpr Duration kCallTimeout{100};
constexpr useconds_t kAfterTimeoutUs = 150 * 1000;
/// A connection request that wasn't answered is repeated by the kernel after
/// one second.
constexpr timeval kAfterRepeats{1, 500 * 1000};

/// Listens on loopback without accepting, as a process that stands still.
class StandingListener {
 public:
  explicit StandingListener(uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(socket_, generic, sizeof address) == 0);
    BOOST_REQUIRE(listen(socket_, 16) == 0);
    socklen_t size = sizeof address;
    getsockname(socket_, generic, &size);
    port_ = ntohs(address.sin_port);
  }
  ~StandingListener() { close(socket_); }
  uint16_t port() const { return port_; }
  /// @returns an accepted connection, or -1 if there is none.
  int Accept() const { return accept(socket_, nullptr, nullptr); }
  bool HasConnection() const {
    const int accepted = Accept();
    if (accepted >= 0) close(accepted);
    return accepted >= 0;
  }

 private:
  int socket_;
  uint16_t port_ = 0;
};

BOOST_AUTO_TEST_SUITE(http_client)

// An owner starts a task elsewhere once its start was given up, so a worker
// process that is restarted at the same address must not receive it.
BOOST_AUTO_TEST_CASE(ACallThatWasGivenUpReachesNoLaterProcess) {
  const EventBase base(event_base_new());
  std::optional<HttpResponse> answer;
  auto earlier = std::make_unique<StandingListener>(0);
  const uint16_t port = earlier->port();
  HttpClient client(base.get());
  client.Send({"127.0.0.1", port}, {"POST", "/start", {}, "body"}, kCallTimeout,
              [&](const HttpResponse& response) { answer = response; });
  while (!answer) event_base_loop(base.get(), EVLOOP_ONCE);
  BOOST_TEST(!answer->complete_);
  earlier.reset();
  const StandingListener later(port);
  event_base_loopexit(base.get(), &kAfterRepeats);
  event_base_dispatch(base.get());
  BOOST_TEST(!later.HasConnection());
}

// Guards against a process that ends while a worker answers: the client of the
// store ran the callbacks of the workers' client, whose owner was gone.
BOOST_AUTO_TEST_CASE(DestroyingAClientRunsNoCallbackOfAnother) {
  const EventBase base(event_base_new());
  TestListener listener;
  int answered = 0;
  const auto count = [&](const HttpResponse&) { ++answered; };
  HttpClient other(base.get());
  other.Send(listener.address(), {"POST", "/-/hold", {}, "{}"}, kCallTimeout,
             count);
  std::unique_ptr<TestSocket> accepted;
  BOOST_REQUIRE(RunUntil(base.get(), [&] {
    if (!accepted) accepted = listener.Accept();
    if (accepted) accepted->ReadAvailable();
    return accepted && !accepted->received().empty();
  }));
  {
    HttpClient destroyed(base.get());
    destroyed.Send(listener.address(), {}, kCallTimeout, count);
    accepted->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  BOOST_TEST(answered == 0);
  BOOST_TEST(RunUntil(base.get(), [&] { return answered > 0; }));
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  BOOST_TEST(answered == 1);
}

// Guards against an answer inside the call that asks for it: its caller hasn't
// recorded the call yet.
BOOST_AUTO_TEST_CASE(AFailureKnownAtOnceIsReportedFromTheEventLoop) {
  const EventBase base(event_base_new());
  const Address unreachable{"255.255.255.255", 9};
  int failed = 0;
  const auto count = [&](const HttpResponse& response) {
    failed += response.failure_ == HttpFailure::kRefused ? 1 : 0;
  };
  HttpClient client(base.get());
  client.Send(unreachable, {}, kCallTimeout, count);
  BOOST_TEST(failed == 0);
  BOOST_TEST(RunUntil(base.get(), [&] { return failed > 0; }));
  HttpClient(base.get()).Send(unreachable, {}, kCallTimeout, count);
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  BOOST_TEST(failed == 1);
  BOOST_TEST(client.open() == 0U);
}

// A start that was never sent can be sent elsewhere at once, and a worker whose
// process is gone is told from one that is silent.
BOOST_AUTO_TEST_CASE(TellsWhyAnExchangeHasNoResponse) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  const auto failure = [&](uint16_t port, const std::function<void()>& sent) {
    std::optional<HttpResponse> answer;
    client.Send({"127.0.0.1", port}, {"POST", "/poll", {}, "body"},
                kCallTimeout,
                [&](const HttpResponse& response) { answer = response; });
    sent();
    while (!answer) event_base_loop(base.get(), EVLOOP_ONCE);
    return answer->failure_;
  };
  auto listener = std::make_unique<StandingListener>(0);
  const uint16_t port = listener->port();
  BOOST_TEST((failure(port, [] {}) == HttpFailure::kTimeout));
  while (listener->HasConnection()) {
  }
  const auto close_connection = [&] {
    while (!listener->HasConnection()) {
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
  };
  BOOST_TEST((failure(port, close_connection) == HttpFailure::kDisconnected));
  listener.reset();
  BOOST_TEST((failure(port, [] {}) == HttpFailure::kRefused));
}

// Guards against a watch of workers that stays silent for its time limit once
// for each idle connection, while workers leave (all connections open at one
// moment go silent, new ones work).
BOOST_AUTO_TEST_CASE(ARepetitionAvoidsConnectionsThatWentSilentTogether) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  const StandingListener listener(0);
  std::vector<std::unique_ptr<TestSocket>> accepted;
  const auto accept_all = [&] {
    for (int fd = listener.Accept(); fd >= 0; fd = listener.Accept()) {
      accepted.push_back(std::make_unique<TestSocket>(fd));
    }
    return accepted.size();
  };
  size_t answered = 0;
  std::optional<HttpFailure> failure;
  const auto send = [&] {
    client.Send({"127.0.0.1", listener.port()}, {"GET", "/watch", {}, ""},
                kCallTimeout, [&](const HttpResponse& response) {
                  answered += response.complete_ ? 1 : 0;
                  failure = response.failure_;
                });
  };
  for (int call = 0; call < 3; ++call) send();
  BOOST_REQUIRE(RunUntil(base.get(), [&] { return accept_all() == 3; }));
  for (const auto& socket : accepted) {
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  BOOST_REQUIRE(RunUntil(base.get(), [&] { return answered == 3; }));
  // From here on, nothing is answered on these three.
  failure.reset();
  send();
  BOOST_REQUIRE(RunUntil(base.get(), [&] { return failure.has_value(); }));
  BOOST_TEST((failure == HttpFailure::kTimeout));
  BOOST_TEST(accepted.size() == 3U);
  send();
  BOOST_TEST(RunUntil(base.get(), [&] { return accept_all() == 4; }));
}

// Guards against a start that goes onto a connection whose end lies unread, and
// counts as one that may run.
BOOST_AUTO_TEST_CASE(SendsNothingOnAConnectionWhoseEndIsUnread) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  TestListener listener;
  std::unique_ptr<TestSocket> socket;
  std::optional<HttpResponse> response;
  const auto send = [&] {
    response.reset();
    client.Send(listener.address(), {"POST", "/start", {}, "body"},
                kCallTimeout,
                [&](const HttpResponse& ended) { response = ended; });
  };
  const auto answer_on_new_connection = [&] {
    socket.reset();
    return RunUntil(base.get(), [&] {
      if (!socket) socket = listener.Accept();
      if (socket) socket->ReadAvailable();
      if (socket && socket->received().find("body") != std::string::npos) {
        socket->Clear();
        socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
      return response.has_value();
    });
  };
  send();
  BOOST_REQUIRE(answer_on_new_connection());
  BOOST_REQUIRE(response->complete_);
  socket->Close();
  send();
  BOOST_REQUIRE(answer_on_new_connection());
  BOOST_TEST(response->complete_);
}

// Guards against calls that fail, and leases that aren't renewed, because this
// process was late to read answers that had come in time.
BOOST_AUTO_TEST_CASE(AnAnswerThatCameInTimeIsReadHoweverLate) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  TestListener listener;
  std::unique_ptr<TestSocket> socket;
  std::optional<HttpResponse> response;
  for (const char* connection : {"new", "kept"}) {
    response.reset();
    client.Send(listener.address(), {"POST", "/poll", {}, "body"}, kCallTimeout,
                [&](const HttpResponse& ended) { response = ended; });
    BOOST_REQUIRE(RunUntil(base.get(), [&] {
      if (!socket) socket = listener.Accept();
      if (socket) socket->ReadAvailable();
      return socket && socket->received().find("body") != std::string::npos;
    }));
    socket->Clear();
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    usleep(kAfterTimeoutUs);
    BOOST_REQUIRE(RunUntil(base.get(), [&] { return response.has_value(); }));
    BOOST_TEST_CONTEXT(connection) {
      BOOST_TEST(response->body_ == "ok");
      BOOST_TEST((response->failure_ == HttpFailure::kNone));
    }
  }
}

// Guards against a start that is given up because this process was late to see
// that its connection was up.
BOOST_AUTO_TEST_CASE(AConnectionThatWasUpInTimeCarriesItsRequest) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  TestListener listener;
  std::unique_ptr<TestSocket> socket;
  std::optional<HttpResponse> response;
  client.Send(listener.address(), {"POST", "/start", {}, "body"}, kCallTimeout,
              [&](const HttpResponse& ended) { response = ended; });
  usleep(kAfterTimeoutUs);
  BOOST_TEST(RunUntil(base.get(), [&] {
    if (!socket) socket = listener.Accept();
    if (socket) socket->ReadAvailable();
    return response ||
           (socket && socket->received().find("body") != std::string::npos);
  }));
  BOOST_TEST(!response.has_value());
}

// Guards against a worker whose process is gone and that is taken for a silent
// one, because the refusal is read late.
BOOST_AUTO_TEST_CASE(ARefusalThatIsReadLateIsNoTimeout) {
  const EventBase base(event_base_new());
  HttpClient client(base.get());
  TestListener listener;
  const Address nobody = listener.address();
  listener.Close();
  std::optional<HttpResponse> response;
  client.Send(nobody, {"POST", "/poll", {}, "body"}, kCallTimeout,
              [&](const HttpResponse& ended) { response = ended; });
  usleep(kAfterTimeoutUs);
  BOOST_REQUIRE(RunUntil(base.get(), [&] { return response.has_value(); }));
  BOOST_TEST((response->failure_ == HttpFailure::kRefused));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
