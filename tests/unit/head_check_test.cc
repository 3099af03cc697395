#include "head_check.h"

#include <boost/test/unit_test.hpp>

#include "caller_request.h"

namespace gentiandeal {

BOOST_AUTO_TEST_SUITE(head_check)

constexpr char kHost[] = "Host: a\r\n";

HeadCheck Check(const std::string& first_line, const std::string& fields) {
  return CheckHead(first_line + "\r\n" + fields + "\r\n");
}

BOOST_AUTO_TEST_CASE(ValidHeadGivesRequestLength) {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: a\r\n"
      "Content-Length: 5\r\n\r\n";
  const HeadCheck check = CheckHead(head + "hello");
  BOOST_TEST((check.state_ == HeadCheck::State::kValid));
  BOOST_TEST(check.head_bytes_ == head.size());
  BOOST_TEST(check.body_bytes_ == 5u);
  for (size_t size = 0; size < head.size(); ++size) {
    const HeadCheck part = CheckHead(head.substr(0, size));
    BOOST_TEST((part.state_ == HeadCheck::State::kIncomplete));
  }
}

struct InvalidHead {
  std::string line_;
  std::string fields_;
  int status_;
};

const InvalidHead kInvalidHeads[] = {
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
     400},
    {"POST / HTTP/1.1",
     "Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400},
    {"POST / HTTP/1.1", "Host: a\r\nTransfer-Encoding: gzip, chunked\r\n", 400},
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: -3\r\n", 400},
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: +3\r\n", 400},
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: 3, 3\r\n", 400},
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: 99999999999999999999\r\n",
     400},
    {"POST / HTTP/1.1", "Host: a\r\nContent-Length: 4194305\r\n", 413},
    {"GET / HTTP/1.1", "", 400},
    {"GET / HTTP/1.1", "Host: a\r\nHost: b\r\n", 400},
    {"GET / HTTP/1.1", "Host: a\r\n folded\r\n", 400},
    {"GET / HTTP/1.1", "Host: a\r\nX : b\r\n", 400},
    {"GET / HTTP/1.1", std::string("Host: a\0b\r\n", 11), 400},
    {"GET / HTTP/1.1", "Host: a\nX: b\r\n", 400},
    {"GET  / HTTP/1.1", kHost, 400},
    {"GET a HTTP/1.1", kHost, 400},
    {"GET / HTTP/1.1 x", kHost, 505},
    {"GET / HTTP/2.0", kHost, 505},
    {"get / HTTP/1.1", kHost, 501},
    {"BREW / HTTP/1.1", kHost, 501},
    {"GET /" + std::string(9000, 'a') + " HTTP/1.1", kHost, 414},
    {"GET / HTTP/1.1", "Host: a\r\nX: " + std::string(20000, 'a') + "\r\n",
     431},
};

BOOST_AUTO_TEST_CASE(InvalidHeadsAreRefusedWithDetail) {
  for (const InvalidHead& invalid : kInvalidHeads) {
    const HeadCheck check = Check(invalid.line_, invalid.fields_);
    BOOST_TEST_CONTEXT(invalid.line_.substr(0, 40) + " " +
                       invalid.fields_.substr(0, 60)) {
      BOOST_TEST((check.state_ == HeadCheck::State::kInvalid));
      BOOST_TEST(check.status_ == invalid.status_);
      BOOST_TEST(!check.detail_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(OversizedHeadIsRefusedBeforeItIsComplete) {
  const HeadCheck check = CheckHead("GET / HTTP/1.1\r\nX: " +
                                    std::string(config::kMaxHeadBytes, 'a'));
  BOOST_TEST(check.status_ == 431);
}

BOOST_AUTO_TEST_CASE(SubmissionIdNeedsBothHeaders) {
  ClientId client;
  client.owner_.value_ = 1;
  std::optional<SubmissionId> id;
  std::string detail;
  BOOST_TEST(!ParseSubmissionId({}, &id, &detail));
  BOOST_TEST(!id);
  BOOST_TEST(!!ParseSubmissionId({{kSequenceField, "1"}}, &id, &detail));
  const std::string text = ToString(client);
  for (const char* sequence : {"0", "-1", "x", "99999999999999999999"}) {
    BOOST_TEST(!!ParseSubmissionId(
        {{kClientField, text}, {kSequenceField, sequence}}, &id, &detail));
  }
  BOOST_TEST(!ParseSubmissionId(
      {{"gentiandeal-client", text}, {kSequenceField, "7"}}, &id, &detail));
  BOOST_TEST(id->sequence_ == 7u);
}

BOOST_AUTO_TEST_CASE(PassthroughDropsHopByHopAndOwnHeaders) {
  CallerRequest request;
  request.method_ = "POST";
  request.path_ = "/drills?x=1";
  request.fields_ = {{"Connection", "keep-alive"},
                     {"Gentiandeal-Team", "north"},
                     {"Gentiandeal-Deadline", "900"},
                     {"Accept", "text/plain"}};
  JobSpec job;
  std::string detail;
  BOOST_TEST(!ParsePassthrough(request, &job, &detail));
  BOOST_TEST(job.team_ == "north");
  BOOST_TEST(job.deadline_.ms_ == 900);
  BOOST_TEST(job.passthrough_);
  BOOST_REQUIRE(job.tasks_.size() == 1u);
  BOOST_TEST(job.tasks_[0].fields_.size() == 1u);
  request.fields_ = {{"Gentiandeal-Deadline", "-1"}};
  BOOST_TEST(!!ParsePassthrough(request, &job, &detail));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
