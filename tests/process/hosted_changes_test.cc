#include <fcntl.h>
#include <poll.h>

#include <list>

#include "hosted_fixture.h"

namespace gentiandeal::process {
namespace {

/// A kept connection that sends one request after the other.
class KeptCaller {
 public:
  explicit KeptCaller(const Address& to) : to_(to) {}
  ~KeptCaller() { Disconnect(); }
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  bool waiting() const { return waiting_; }
  int fd() const { return fd_; }
  const std::map<int, int>& answers() const { return answers_; }
  int unanswered() const { return unanswered_; }
  int unasked() const { return unasked_; }
  Duration longest() const { return longest_; }

  void Send(const HttpRequest& request) {
    if (fd_ < 0) Connect();
    std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields_) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(request.body_.size()) +
            "\r\n\r\n" + request.body_;
    waiting_ = true;
    sent_at_ = clock_.Now();
    const ssize_t sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    BOOST_REQUIRE(sent == static_cast<ssize_t>(text.size()));
  }

  /// Takes what has arrived.
  void Read() {
    char bytes[4096];
    for (;;) {
      const ssize_t got = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (got <= 0) {
        if (waiting_) ++unanswered_;
        return Disconnect();
      }
      text_.append(bytes, static_cast<size_t>(got));
      TakeAnswer();
      if (fd_ < 0) return;
    }
  }

  /// Counts a request that has waited for longer than `limit`.
  void Check(Duration limit) {
    if (!waiting_ || clock_.Now() - sent_at_ <= limit) return;
    ++unanswered_;
    Disconnect();
  }

 private:
  void Connect() {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    SocketAddress address;
    BOOST_REQUIRE(!ToSocketAddress(to_, &address));
    BOOST_REQUIRE(connect(fd_, address.get(), address.size_) == 0);
  }

  void Disconnect() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    waiting_ = false;
    text_.clear();
  }

  void TakeAnswer() {
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t head = text_.find("\r\n\r\n");
    const size_t length = text_.find(kLength);
    if (head == std::string::npos || length > head) return;
    const size_t size =
        head + 4 + std::stoul(text_.substr(length + kLength.size()));
    if (text_.size() < size) return;
    if (!waiting_ || text_.size() > size) ++unasked_;
    ++answers_[std::stoi(text_.substr(text_.find(' ')))];
    longest_ = std::max(longest_, clock_.Now() - sent_at_);
    waiting_ = false;
    const bool closes = text_.find("Connection: close") < head;
    text_.clear();
    if (closes) Disconnect();
  }

  Address to_;
  MonotonicClock clock_;
  int fd_ = -1;
  bool waiting_ = false;
  Time sent_at_;
  std::string text_;
  std::map<int, int> answers_;  // number by status
  int unanswered_ = 0;
  int unasked_ = 0;  ///< Answers to no request.
  Duration longest_;
};

struct ChangesFixture : HostedFixture {
  static constexpr int kCallersOfEach = 20;
  static constexpr int64_t kAnswerWithinMs = 1500;

  std::list<KeptCaller> callers_;
  int round_ = 0;

  ChangesFixture() {
    for (int i = 0; i < kCallersOfEach; ++i) {
      callers_.emplace_back(a_.callers());
      callers_.emplace_back(b_.callers());
    }
  }

  /// Lets every caller that has its answer send the next job, for a while.
  void Run(Duration time) {
    const Time end = clock_.Now() + time;
    while (clock_.Now() < end) {
      for (KeptCaller& caller : callers_) {
        if (caller.waiting()) continue;
        ++round_;
        caller.Send(
            Job(1 + round_ % 3, round_ % 10 == 0 ? 400 : 30, kAnswerWithinMs));
      }
      ReadFor(std::min(Duration{20}, end - clock_.Now()));
    }
  }

  /// Lets all that wait get their answers.
  void Finish() {
    const Time end = clock_.Now() + Duration{kAnswerWithinMs + 1100};
    while (clock_.Now() < end &&
           std::any_of(callers_.begin(), callers_.end(),
                       [](const KeptCaller& one) { return one.waiting(); })) {
      ReadFor(Duration{20});
    }
    // A second answer would follow soon.
    ReadFor(Duration{200});
  }

  /// @returns the number of answers with a status, or with any for 0.
  int Answers(int status) const {
    int number = 0;
    for (const KeptCaller& caller : callers_) {
      for (const auto& [one, count] : caller.answers()) {
        if (status == 0 || one == status) number += count;
      }
    }
    return number;
  }

  void CheckAnswers() {
    Duration longest;
    int unanswered = 0;
    int unasked = 0;
    for (const KeptCaller& caller : callers_) {
      unanswered += caller.unanswered();
      unasked += caller.unasked();
      longest = std::max(longest, caller.longest());
    }
    BOOST_TEST_MESSAGE("answers "
                       << Answers(0) << ", 200: " << Answers(200)
                       << ", 404: " << Answers(404) << ", 429: " << Answers(429)
                       << ", 502: " << Answers(502) << ", 504: " << Answers(504)
                       << ", longest " << longest.ms_ << " ms");
    BOOST_TEST(unanswered == 0);
    BOOST_TEST(unasked == 0);
  }

 private:
  void ReadFor(Duration time) {
    const Time end = clock_.Now() + time;
    do {
      std::vector<pollfd> sockets;
      std::vector<KeptCaller*> readers;
      for (KeptCaller& caller : callers_) {
        if (caller.fd() < 0) continue;
        sockets.push_back({caller.fd(), POLLIN, 0});
        readers.push_back(&caller);
      }
      const Duration left = std::max(Duration{0}, end - clock_.Now());
      poll(sockets.data(), sockets.size(), static_cast<int>(left.ms_));
      for (size_t i = 0; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0) readers[i]->Read();
      }
      for (KeptCaller& caller : callers_) {
        caller.Check(Duration{kAnswerWithinMs + 1000});
      }
    } while (clock_.Now() < end);
  }
};

BOOST_FIXTURE_TEST_SUITE(hosted, HostedFixture)

// Guards against jobs whose wait is lost when limits and queues change, also
// while one of the instances stands still.
BOOST_FIXTURE_TEST_CASE(EveryRequestIsAnsweredWhileTheConfigurationChanges,
                        ChangesFixture) {
  constexpr const char* kVersions[] = {
      "?header_timeout_ms=1500",
      "?routes=no",
      "",
      "?max_body_bytes=4096&idle_timeout_ms=9000",
      "?routes=no",
      "?idle_timeout_ms=20000"};
  // The second one is a pause, after which the instance ends its jobs.
  constexpr Duration kStandstills[] = {{300}, {600}, {150}};
  Run(Duration{300});
  for (int change = 0; change < 36; ++change) {
    Process& stopped = (change % 4 == 1 ? a_ : b_).process();
    if (change % 2 == 1) {
      stopped.Signal(SIGSTOP);
      Report("PUT", kVersions[change % 6], "config");
      Run(kStandstills[change % 3]);
      stopped.Signal(SIGCONT);
    } else {
      Report("PUT", kVersions[change % 6], "config");
    }
    Run(Duration{200});
  }
  Report("PUT", "", "config");
  Run(Duration{1000});
  Finish();
  CheckAnswers();
  BOOST_TEST(Answers(200) > 500);
  BOOST_TEST(Answers(404) > 100);
  CheckRules();
}

// Guards against a caller that waits for ever once another request with the id
// of its job has arrived.
BOOST_AUTO_TEST_CASE(BothRequestsWithOneIdAreAnswered) {
  const HttpRequest job = Job(1, 600);
  RawCaller first(a_.callers());
  RawCaller second(a_.callers());
  first.Send(job);
  Wait(Duration{200});
  second.Send(job);
  BOOST_TEST(second.Receive(kCallerWaits).substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(first.Receive(kCallerWaits).substr(0, 12) == "HTTP/1.1 200");
  CheckRules();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::process
