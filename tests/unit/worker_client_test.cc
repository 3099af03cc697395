#include "worker_client.h"

#include <boost/test/unit_test.hpp>

#include "test_sockets.h"

namespace gentiandeal {

constexpr char kCompleteAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client and a listening socket on which the test acts as the worker.
struct ClientFixture {
  ClientFixture()
      : base_(event_base_new()),
        client_(base_.get(), [this](AttemptEnded ended) {
          ended_.push_back(std::move(ended));
        }) {}

  AttemptId Start(const Address& address, Duration timeout = {2000}) {
    auto job = std::make_shared<JobSpec>();
    TaskSpec& task = job->tasks_.emplace_back();
    task.method_ = "POST";
    task.path_ = "/convocations";
    task.body_ = "body";
    StartTask start;
    start.attempt_.value_ = ++last_attempt_;
    start.address_ = address;
    start.job_ = job;
    start.task_id_ = "task-" + std::to_string(last_attempt_);
    start.timeout_ = timeout;
    client_.Start(start);
    return start.attempt_;
  }

  // Accepts one connection and reads one complete request.
  std::unique_ptr<TestSocket> TakeRequest() {
    std::unique_ptr<TestSocket> socket;
    RunUntil(base_.get(), [&] {
      socket = worker_.Accept();
      return socket != nullptr;
    });
    BOOST_REQUIRE(socket != nullptr);
    BOOST_REQUIRE(ReadRequest(socket.get()));
    return socket;
  }

  bool ReadRequest(TestSocket* socket) {
    return RunUntil(base_.get(), [&] {
      socket->ReadAvailable();
      return socket->received().find("\r\n\r\nbody") != std::string::npos;
    });
  }

  const AttemptEnded& TakeEnd() {
    const size_t count = taken_ + 1;
    BOOST_REQUIRE(
        RunUntil(base_.get(), [&] { return ended_.size() >= count; }));
    return ended_[taken_++];
  }

  EventBase base_;
  TestListener worker_;
  std::vector<AttemptEnded> ended_;
  size_t taken_ = 0;
  uint64_t last_attempt_ = 0;
  WorkerClient client_;
};

BOOST_FIXTURE_TEST_SUITE(worker_client, ClientFixture)

BOOST_AUTO_TEST_CASE(CompleteAnswerKeepsConnectionOpen) {
  Start(worker_.address());
  const auto socket = TakeRequest();
  BOOST_TEST(socket->received().find("Gentiandeal-Task: task-1") !=
             std::string::npos);
  socket->Send(kCompleteAnswer);
  const AttemptEnded& first = TakeEnd();
  BOOST_TEST((first.result_ == AttemptResult::kAnswered));
  BOOST_TEST(first.answer_.body_ == "ok");
  socket->Clear();
  Start(worker_.address());
  BOOST_TEST(ReadRequest(socket.get()));
  socket->Send(kCompleteAnswer);
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kAnswered));
  BOOST_TEST(client_.connections() == 1u);
}

BOOST_AUTO_TEST_CASE(RefusedConnectIsReportedAsNotSent) {
  worker_.Close();
  Start(worker_.address());
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kNotSent));
}

BOOST_AUTO_TEST_CASE(ResetAfterSendIsUncertainAndNotRetried) {
  Start(worker_.address());
  TakeRequest()->Close(/*hard=*/true);
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kUncertain));
  const Time until = MonotonicClock().Now() + Duration{50};
  RunUntil(base_.get(), [&] { return MonotonicClock().Now() > until; });
  BOOST_TEST((worker_.Accept() == nullptr));
}

BOOST_AUTO_TEST_CASE(ResetOfReusedConnectionIsUncertainAndNotRetried) {
  Start(worker_.address());
  const auto socket = TakeRequest();
  socket->Send(kCompleteAnswer);
  TakeEnd();
  socket->Clear();
  Start(worker_.address());
  BOOST_REQUIRE(ReadRequest(socket.get()));
  socket->Close(/*hard=*/true);
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kUncertain));
  BOOST_TEST((worker_.Accept() == nullptr));
}

// Guards against a task that goes onto a connection whose end lies unread, and
// counts as one that may have run.
BOOST_AUTO_TEST_CASE(SendsNothingOnAConnectionWhoseEndIsUnread) {
  Start(worker_.address());
  const auto earlier = TakeRequest();
  earlier->Send(kCompleteAnswer);
  TakeEnd();
  earlier->Close();
  Start(worker_.address());
  const auto later = TakeRequest();
  later->Send(kCompleteAnswer);
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kAnswered));
  BOOST_TEST(client_.connections() == 1u);
}

BOOST_AUTO_TEST_CASE(TruncatedOrMalformedAnswerIsUncertain) {
  for (const char* truncated :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 20",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
        "HTTP/1.1 200 OK\r\n\r\nends with the connection",
        "nonsense\r\n\r\n"}) {
    Start(worker_.address());
    const auto socket = TakeRequest();
    socket->Send(truncated);
    socket->Close();
    BOOST_TEST_CONTEXT(truncated) {
      BOOST_TEST((TakeEnd().result_ == AttemptResult::kUncertain));
    }
  }
  BOOST_TEST(client_.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(AnswerWithWrongTaskIdIsUncertain) {
  Start(worker_.address());
  const auto socket = TakeRequest();
  socket->Send(
      "HTTP/1.1 200 OK\r\nGentiandeal-Task: other\r\nContent-Length: 2\r\n\r\n"
      "ok");
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kUncertain));
  BOOST_TEST(client_.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(AnswerAfterTimeoutIsDropped) {
  Start(worker_.address(), Duration{30});
  const auto late = TakeRequest();
  const AttemptEnded& ended = TakeEnd();
  BOOST_TEST((ended.result_ == AttemptResult::kUncertain));
  BOOST_TEST((ended.error_ == Errc::kWorkerTimeout));
  late->Send(kCompleteAnswer);
  Start(worker_.address());
  const auto next = TakeRequest();
  next->Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  BOOST_TEST(TakeEnd().answer_.body_ == "new");
}

BOOST_AUTO_TEST_CASE(CancelledAttemptClosesItsConnection) {
  const AttemptId attempt = Start(worker_.address());
  const auto socket = TakeRequest();
  client_.Cancel(attempt);
  BOOST_TEST(RunUntil(base_.get(), [&] {
    socket->ReadAvailable();
    return socket->ended();
  }));
  BOOST_TEST(ended_.empty());
  BOOST_TEST(client_.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(UnsentAttemptsFailAfterPause) {
  Start(worker_.address());
  client_.FailUnsent();
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kNotSent));
  std::unique_ptr<TestSocket> socket;
  RunUntil(base_.get(), [&] {
    socket = worker_.Accept();
    return socket != nullptr;
  });
  BOOST_REQUIRE(socket != nullptr);
  BOOST_TEST(RunUntil(base_.get(), [&] {
    socket->ReadAvailable();
    return socket->ended();
  }));
  BOOST_TEST(socket->received().empty());
  Start(worker_.address());
  const auto sent = TakeRequest();
  client_.FailUnsent();
  sent->Send(kCompleteAnswer);
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kAnswered));
}

BOOST_AUTO_TEST_CASE(NotRunHeaderMakesAnAnswerARefusal) {
  Start(worker_.address());
  TakeRequest()->Send(
      "HTTP/1.1 503 Busy\r\nGentiandeal-Not-Run: 1\r\nGentiandeal-Leaving: "
      "1\r\n"
      "Content-Length: 0\r\n\r\n");
  const AttemptEnded refused = TakeEnd();
  BOOST_TEST((refused.result_ == AttemptResult::kRefused));
  BOOST_TEST(refused.worker_leaving_);
}

BOOST_AUTO_TEST_CASE(ServerErrorWithoutNotRunHeaderIsAFailure) {
  Start(worker_.address());
  const auto socket = TakeRequest();
  socket->Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  const AttemptEnded& ended = TakeEnd();
  BOOST_TEST((ended.result_ == AttemptResult::kFailed));
  BOOST_TEST(!ended.worker_leaving_);
}

BOOST_AUTO_TEST_CASE(ConnectionsToOneWorkerAreBounded) {
  client_.SetLimits({Duration{250}, 2});
  Start(worker_.address());
  Start(worker_.address());
  Start(worker_.address());
  BOOST_TEST((TakeEnd().result_ == AttemptResult::kNotSent));
  BOOST_TEST(client_.connections() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
