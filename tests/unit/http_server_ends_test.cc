#include <poll.h>

#include <boost/test/unit_test.hpp>
#include <list>

#include "http_server.h"
#include "test_sockets.h"

namespace gentiandeal {
namespace {

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

// A server that answers at once. Time passes without it while the test doesn't
// run the loop, as for a process without processor time.
struct EndsFixture {
  EventBase base_{event_base_new()};
  std::unique_ptr<HttpServer> server_;
  MonotonicClock clock_;
  std::string reply_ = "{}";

  void Start(const HttpServerOptions& options = {}) {
    HttpServerEvents events;
    events.request_ = [this](RequestId id, const CallerRequest&) {
      server_->Reply(id, JsonReply(200, reply_));
    };
    server_ = std::make_unique<HttpServer>(base_.get(), events, options);
    BOOST_REQUIRE(!server_->Listen({"127.0.0.1", 0}));
  }

  static void StandStill(Duration time) {
    poll(nullptr, 0, static_cast<int>(time.ms_));
  }

  bool Receives(TestSocket* sender, const std::string& text) {
    return RunUntil(base_.get(),
                    [&] {
                      sender->ReadAvailable();
                      return sender->ended() ||
                             sender->received().find(text) != std::string::npos;
                    }) &&
           sender->received().find(text) != std::string::npos;
  }

  /// Has a request answered, so that the connection is idle after it.
  void Use(TestSocket* sender) {
    sender->Send(kRequest);
    BOOST_REQUIRE(Receives(sender, reply_));
    sender->Clear();
  }

  uint64_t Unanswered() const {
    uint64_t sum = 0;
    for (const uint64_t count : server_->stats().load_.unanswered_) {
      sum += count;
    }
    return sum;
  }
};

BOOST_FIXTURE_TEST_SUITE(http_server_ends, EndsFixture)

// Guards against idle connections that are closed by time alone: the loop may
// check timeouts before it has read what arrived while it stood still.
BOOST_AUTO_TEST_CASE(RequestsThatArriveDuringAStallAreAnswered) {
  HttpServerOptions options;
  options.limits_.idle_timeout_ = {300};
  Start(options);
  std::list<TestSocket> senders;
  for (int i = 0; i < 100; ++i) {
    Use(&senders.emplace_back(server_->address()));
  }
  for (TestSocket& sender : senders) sender.Send(kRequest);
  StandStill(Duration{2500});
  size_t answered = 0;
  for (TestSocket& sender : senders) {
    if (Receives(&sender, reply_)) ++answered;
  }
  BOOST_TEST(answered == senders.size());
  BOOST_TEST(Unanswered() == 0U);
  BOOST_TEST(RunUntil(base_.get(),
                      [&] { return server_->stats().open_connections_ == 0; }));
}

// Guards against clients that send on a connection that is about to be closed.
BOOST_AUTO_TEST_CASE(AReplyTellsHowLongItsConnectionStaysOpen) {
  HttpServerOptions options;
  options.limits_.idle_timeout_ = {2500};
  Start(options);
  TestSocket sender(server_->address());
  sender.Send(kRequest);
  BOOST_TEST(Receives(&sender, "Keep-Alive: timeout=2\r\n"));
  TestSocket last(server_->address());
  last.Send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  BOOST_TEST(Receives(&last, reply_));
  BOOST_TEST(last.received().find("Keep-Alive") == std::string::npos);
}

// Guards against last replies that are cut after the time for lingering, which
// begins only once they are sent.
BOOST_AUTO_TEST_CASE(ALastReplyIsSentThoughItsReaderPauses) {
  HttpServerOptions options;
  options.limits_.socket_buffer_bytes_ = 16 * 1024;
  Start(options);
  reply_ = std::string(4 << 20, 'x') + "end";
  TestSocket reader(server_->address());
  reader.Send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const Time end = clock_.Now() + Duration{3500};
  BOOST_TEST(RunUntil(base_.get(), [&] { return clock_.Now() >= end; }));
  BOOST_TEST(Receives(&reader, "end"));
  BOOST_TEST(Unanswered() == 0U);
}

// Guards against the loss of a request whose bytes were discarded although the
// reply before it had promised to read it.
BOOST_AUTO_TEST_CASE(ARequestDiscardedBehindAReplyIsRefused) {
  HttpServerOptions options;
  options.limits_.socket_buffer_bytes_ = 16 * 1024;
  options.memory_.max_bytes_ = kConnectionBytes + 64 * 1024;
  Start(options);
  reply_ = std::string(4 << 20, 'x') + "end";
  TestSocket sender(server_->address());
  sender.Send(kRequest);
  BOOST_REQUIRE(
      RunUntil(base_.get(), [&] { return server_->stats().requests_ == 1; }));
  sender.Send(kRequest);
  const Time end = clock_.Now() + Duration{200};
  BOOST_REQUIRE(RunUntil(base_.get(), [&] { return clock_.Now() >= end; }));
  BOOST_TEST(Receives(&sender, "Gentiandeal-Outcome: not-run"));
}

// Guards against a close without a reply when another connection needs the
// place of one whose request hasn't been read.
BOOST_AUTO_TEST_CASE(AnUnreadRequestIsRefusedWhenOthersNeedItsPlace) {
  HttpServerOptions options;
  options.memory_.max_connections_ = 1;
  Start(options);
  TestSocket idle(server_->address());
  Use(&idle);
  StandStill(ClientMemory::kMinStall + Duration{100});
  TestSocket other(server_->address());
  idle.Send(kRequest);
  BOOST_TEST(Receives(&idle, "503 Service Unavailable"));
  BOOST_TEST(!idle.reset());
  BOOST_TEST(Unanswered() == 0U);
}

// Guards against resets of requests that arrive as the process exits.
BOOST_AUTO_TEST_CASE(AnUnreadRequestIsRefusedWhenTheServerEnds) {
  Start();
  TestSocket idle(server_->address());
  Use(&idle);
  idle.Send(kRequest);
  StandStill(Duration{20});
  server_.reset();
  idle.ReadAvailable();
  BOOST_TEST(idle.received().find("Gentiandeal-Outcome: not-run") !=
             std::string::npos);
  BOOST_TEST(idle.ended());
  BOOST_TEST(!idle.reset());
}

// Guards against replies that are dropped from the buffer at the exit.
BOOST_AUTO_TEST_CASE(AReplyInTheBufferIsSentWhenTheServerEnds) {
  HttpServerEvents events;
  RequestId request;
  events.request_ = [&](RequestId id, const CallerRequest&) { request = id; };
  server_ = std::make_unique<HttpServer>(base_.get(), events);
  BOOST_REQUIRE(!server_->Listen({"127.0.0.1", 0}));
  TestSocket sender(server_->address());
  sender.Send(kRequest);
  BOOST_REQUIRE(RunUntil(base_.get(), [&] { return request.valid(); }));
  server_->Reply(request, JsonReply(200, "{}"));
  server_.reset();
  sender.ReadAvailable();
  BOOST_TEST(sender.received().find("{}") != std::string::npos);
  BOOST_TEST(!sender.reset());
}

// Guards against replies that are dropped unsent when new connections need the
// places of their own after a stall: the time since their last progress is that
// of the server.
BOOST_AUTO_TEST_CASE(QueuedRepliesAreSentWhenOthersNeedTheirPlaces) {
  constexpr size_t kNumber = 100;
  HttpServerOptions options;
  options.memory_.max_connections_ = kNumber;
  std::vector<RequestId> requests;
  HttpServerEvents events;
  events.request_ = [&](RequestId id, const CallerRequest&) {
    requests.push_back(id);
  };
  server_ = std::make_unique<HttpServer>(base_.get(), events, options);
  BOOST_REQUIRE(!server_->Listen({"127.0.0.1", 0}));
  std::list<TestSocket> senders;
  for (size_t i = 1; i <= kNumber; ++i) {
    senders.emplace_back(server_->address()).Send(kRequest);
    BOOST_REQUIRE(RunUntil(base_.get(), [&] { return requests.size() == i; }));
  }
  std::list<TestSocket> others;
  for (size_t i = 0; i < kNumber; ++i) others.emplace_back(server_->address());
  for (const RequestId id : requests) server_->Reply(id, JsonReply(200, "{}"));
  StandStill(ClientMemory::kMinStall + Duration{100});
  size_t answered = 0;
  for (TestSocket& sender : senders) {
    if (Receives(&sender, "{}")) ++answered;
  }
  BOOST_TEST(answered == kNumber);
}

// Guards against an extension that ends with the next check, which may follow
// a late one at once.
BOOST_AUTO_TEST_CASE(HeadsThatAreWholeAreReadThoughTheServerIsLateTwice) {
  HttpServerOptions options;
  options.limits_.head_timeout_ = {200};
  const Time start = clock_.Now();
  Start(options);
  std::list<TestSocket> senders;
  for (int i = 0; i < 200; ++i) {
    senders.emplace_back(server_->address()).Send("GET /a HTTP/1.1\r\n");
    for (int pass = 0; pass < 3; ++pass) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
  }
  for (TestSocket& sender : senders) sender.Send("Host: a\r\n\r\n");
  // The check is due after 1 and 2 s.
  StandStill(start + Duration{1950} - clock_.Now());
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  StandStill(Duration{100});
  size_t answered = 0;
  for (TestSocket& sender : senders) {
    if (Receives(&sender, reply_)) ++answered;
  }
  BOOST_TEST(answered == senders.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal
