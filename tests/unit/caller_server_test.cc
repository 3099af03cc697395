#include "caller_server.h"

#include <boost/test/unit_test.hpp>

#include "test_sockets.h"

namespace gentiandeal {

// A server that keeps submissions until the test answers them.
struct ServerFixture {
  ServerFixture() : base_(event_base_new()), server_(base_.get(), Events()) {
    BOOST_REQUIRE(!server_.Listen({"127.0.0.1", 0}));
  }

  CallerEvents Events() {
    CallerEvents events;
    events.submit_ = [this](Submit submit) {
      submits_.push_back(std::move(submit));
    };
    events.cancel_ = [](const CancelSubmission&) {};
    events.caller_disconnected_ = [this](const CallerDisconnected&) {
      ++disconnects_;
    };
    events.issue_client_ = [] { return ClientId{}; };
    events.status_json_ = [] { return std::string("{}"); };
    events.settings_json_ = events.status_json_;
    events.metrics_text_ = events.status_json_;
    events.ready_ = [] { return true; };
    events.draining_ = [] { return false; };
    return events;
  }

  void AnswerWith(RequestId request, const std::string& body) {
    JobAnswer answer;
    answer.outcome_ = Outcome::kComplete;
    answer.tasks_.push_back({200, {}, body});
    server_.Answer(request, answer);
  }

  bool WaitFor(TestSocket* socket, const std::string& text) {
    return RunUntil(base_.get(), [&] {
      socket->ReadAvailable();
      return socket->received().find(text) != std::string::npos;
    });
  }

  bool WaitForEnd(TestSocket* socket) {
    return RunUntil(base_.get(), [&] {
      socket->ReadAvailable();
      return socket->ended();
    });
  }

  bool WaitForSubmits(size_t count) {
    return RunUntil(base_.get(), [&] { return submits_.size() >= count; });
  }

  EventBase base_;
  std::vector<Submit> submits_;
  int disconnects_ = 0;
  CallerServer server_;
};

BOOST_FIXTURE_TEST_SUITE(caller_server, ServerFixture)

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  TestSocket caller(server_.address());
  caller.Send(Get("/a") + Get("/b") + Get("/c"));
  size_t index = 0;
  for (const char* path : {"/a", "/b", "/c"}) {
    BOOST_REQUIRE(WaitForSubmits(index + 1));
    BOOST_TEST(submits_.size() == index + 1);
    BOOST_TEST(submits_[index].job_.tasks_[0].path_ == path);
    AnswerWith(submits_[index].request_, std::string("body of ") + path);
    BOOST_TEST(WaitFor(&caller, std::string("body of ") + path));
    ++index;
  }
}

BOOST_AUTO_TEST_CASE(AnswersGoToTheConnectionOfTheRequest) {
  TestSocket first(server_.address());
  TestSocket second(server_.address());
  first.Send(Get("/first"));
  BOOST_REQUIRE(WaitForSubmits(1));
  second.Send(Get("/second"));
  BOOST_REQUIRE(WaitForSubmits(2));
  AnswerWith(submits_[1].request_, "for second");
  BOOST_TEST(WaitFor(&second, "for second"));
  AnswerWith(submits_[0].request_, "for first");
  BOOST_TEST(WaitFor(&first, "for first"));
  BOOST_TEST(first.received().find("second") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(RequestsAfterInvalidHeadAreNotSubmitted) {
  TestSocket caller(server_.address());
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabc" +
      Get("/smuggled"));
  BOOST_TEST(WaitForEnd(&caller));
  BOOST_TEST(caller.received().find(" 400 ") != std::string::npos);
  BOOST_TEST(!caller.reset());
  BOOST_TEST(submits_.empty());
}

BOOST_AUTO_TEST_CASE(FormBodyIsNotParsedAsQuery) {
  const std::string body = "a=1&&=%zz&%;{\"b\":2}";
  TestSocket caller(server_.address());
  caller.Send(
      "POST /form?x=1 HTTP/1.1\r\nHost: a\r\nContent-Type: "
      "application/x-www-form-urlencoded\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  BOOST_REQUIRE(WaitForSubmits(1));
  BOOST_TEST(submits_[0].job_.tasks_[0].path_ == "/form?x=1");
  BOOST_TEST(submits_[0].job_.tasks_[0].body_ == body);
}

BOOST_AUTO_TEST_CASE(OversizedBodyGets413WithoutReset) {
  TestSocket caller(server_.address());
  caller.Send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    caller.Send(std::string(50000, 'x'));
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }
  BOOST_TEST(WaitForEnd(&caller));
  BOOST_TEST(caller.received().find(" 413 ") != std::string::npos);
  BOOST_TEST(!caller.reset());
}

BOOST_AUTO_TEST_CASE(InvalidChunksGet400) {
  TestSocket caller(server_.address());
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "ZZ\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST(WaitForEnd(&caller));
  BOOST_TEST(caller.received().find(" 400 ") != std::string::npos);
  BOOST_TEST(submits_.empty());
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerIsReportedAndItsAnswerDropped) {
  TestSocket caller(server_.address());
  caller.Send(Get("/a"));
  BOOST_REQUIRE(WaitForSubmits(1));
  caller.Close();
  BOOST_TEST(RunUntil(base_.get(), [&] { return disconnects_ == 1; }));
  TestSocket next(server_.address());
  next.Send(Get("/b"));
  BOOST_REQUIRE(WaitForSubmits(2));
  AnswerWith(submits_[0].request_, "late");
  AnswerWith(submits_[1].request_, "own");
  BOOST_TEST(WaitFor(&next, "own"));
  BOOST_TEST(next.received().find("late") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ConnectionCloseStillSendsTheWholeAnswer) {
  TestSocket caller(server_.address());
  caller.Send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(WaitForSubmits(1));
  const std::string body(3 * 1024 * 1024, 'x');
  AnswerWith(submits_[0].request_, body);
  BOOST_TEST(WaitForEnd(&caller));
  BOOST_TEST(caller.received().size() > body.size());
  BOOST_TEST(!caller.reset());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
