#include <boost/test/unit_test.hpp>

#include "base64.h"
#include "caller_codec.h"
#include "leased_worker_client.h"
#include "process_settings.h"
#include "store_client.h"

namespace gentiandeal::platform {
namespace {

constexpr char kTable[] = R"({"version":7,"routes":[
  {"name":"r-1","host":"desk.example","prefix":"/case/","service":"dossier",
   "slo_ms":60,"retries":3,"stretch":1.6},
  {"name":"r-2","host":"desk.example","prefix":"/case/long/",
   "service":"dossier","slo_ms":60,"retries":0}]})";

struct CodecFixture {
  QueueTable table_;

  CodecFixture() { BOOST_REQUIRE(ParseQueueTable(kTable, &table_)); }

  ParsedRequest Parse(const std::string& method, const std::string& path,
                      const std::string& body = "") {
    CallerRequest request;
    request.method_ = method;
    request.path_ = path;
    request.fields_ = {{"Host", "desk.example:80"}, {"Deadline-Ms", "900"}};
    request.body_ = body;
    return ParseCallerRequest(request, &table_);
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_codec, CodecFixture)

BOOST_AUTO_TEST_CASE(LongestPrefixSelectsTheQueue) {
  BOOST_TEST(FindQueue(table_, "desk.example", "/case/a")->name_ == "r-1");
  BOOST_TEST(FindQueue(table_, "DESK.example", "/case/long/a")->name_ == "r-2");
  BOOST_TEST(FindQueue(table_, "other.example", "/case/a") == nullptr);
  BOOST_TEST(!ParseQueueTable(R"({"version":"x"})", &table_));
}

BOOST_AUTO_TEST_CASE(ParsesAJobAndComputesItsObjective) {
  const ParsedRequest parsed =
      Parse("POST", "/case/5c0e7a21d94b36f8",
            R"({"spec":"x","best_effort":true,"phases":[{"count":4,"cpu":500,
              "mem_mb":256,"est_ms":900}]})");
  BOOST_REQUIRE((parsed.kind_ == ParsedRequest::Kind::kSubmit));
  BOOST_TEST(parsed.job_.objective_.ms_ == 1500);
  BOOST_TEST(parsed.job_.deadline_.ms_ == 900);
  BOOST_TEST(parsed.job_.max_failures_ == 3U);
  BOOST_TEST(parsed.job_.steps_[0].count_ == 4U);
}

BOOST_AUTO_TEST_CASE(RejectsUnsupportedAndInvalidJobs) {
  const auto status = [&](const char* body) {
    return Parse("POST", "/case/5c0e7a21d94b36f8", body).reply_.status_;
  };
  BOOST_TEST(status(R"({"spec":"x","phases":[{"count":1}]})") == 503);
  BOOST_TEST(status(R"({"best_effort":true,"repeats":2,
                        "phases":[{"count":1}]})") == 503);
  BOOST_TEST(status(R"({"best_effort":true,
                        "phases":[{"count":2,"anti_affinity":1}]})") == 503);
  BOOST_TEST(status(R"({"best_effort":true,
                        "phases":[{"count":1,"after":[0]}]})") == 400);
  BOOST_TEST(status(R"({"best_effort":true,"phases":[{"count":"x"}]})") == 400);
  BOOST_TEST(status("[]") == 400);
}

BOOST_AUTO_TEST_CASE(RepliesAtOnceToRequestsThatStartNoJob) {
  BOOST_TEST(Parse("GET", "/case/").reply_.status_ == 200);
  BOOST_TEST(Parse("GET", "/none/").reply_.status_ == 404);
  BOOST_TEST(Parse("GET", "/case/5c0e7a21d94b36f8").reply_.status_ == 410);
  BOOST_TEST(Parse("DELETE", "/case/5c0e7a21d94b36f8").reply_.status_ == 410);
  BOOST_TEST(ParseCallerRequest({}, nullptr).reply_.status_ == 503);
}

// Guards against a valid job that is refused for good: its queue came after its
// head had been read, and its body was discarded.
BOOST_AUTO_TEST_CASE(AJobWhoseQueueCameAfterItsHeadMayBeSentAgain) {
  CallerRequest request;
  request.method_ = "POST";
  request.path_ = "/case/5c0e7a21d94b36f8";
  request.fields_ = {{"Host", "desk.example"}, {"Content-Length", "120"}};
  const QueueTable before;
  BOOST_REQUIRE(!UsesBody(request, &before));
  request.body_discarded_ = true;
  BOOST_TEST(ParseCallerRequest(request, &table_).reply_.status_ == 503);
  request.fields_[1] = {"Transfer-Encoding", "chunked"};
  BOOST_TEST(ParseCallerRequest(request, &table_).reply_.status_ == 503);
  request.body_discarded_ = false;
  request.fields_[1] = {"Content-Length", "0"};
  BOOST_TEST(ParseCallerRequest(request, &table_).reply_.status_ == 400);
}

// Guards against a caller that is told to send an empty body again for ever.
BOOST_AUTO_TEST_CASE(AnEmptyChunkedBodyIsInvalid) {
  CallerRequest request;
  request.method_ = "POST";
  request.path_ = "/case/5c0e7a21d94b36f8";
  request.fields_ = {{"Host", "desk.example"},
                     {"Transfer-Encoding", "chunked"}};
  BOOST_REQUIRE(UsesBody(request, &table_));
  BOOST_TEST(ParseCallerRequest(request, &table_).reply_.status_ == 400);
}

BOOST_AUTO_TEST_CASE(RefusalsCarryRetryAfterInSeconds) {
  const HttpReply reply =
      ToReply({{1}, HostedJobOutcome::kNotRun, "overloaded", {1200}, {}, {}});
  BOOST_TEST(reply.status_ == 429);
  BOOST_REQUIRE(FindField(reply.fields_, "Retry-After") != nullptr);
  BOOST_TEST(*FindField(reply.fields_, "Retry-After") == "2");
  BOOST_TEST(
      ToReply({{1}, HostedJobOutcome::kTimedOut, "x", {}, {}, {}}).status_ ==
      504);
}

BOOST_AUTO_TEST_CASE(RejectsUnusableWorkerEntries) {
  const std::string good =
      R"({"service":"s","addr":"10.0.0.1:80","zone":"west","state":"draining",
          "capacity":{"cpu":1000,"mem_mb":10,"gpu":0},"labels":["a"],"seq":4})";
  LeasedWorker worker;
  BOOST_REQUIRE(ParseWorkerEntry("w", good, Time{}, &worker));
  BOOST_TEST(worker.leaving_);
  BOOST_TEST(!ParseWorkerEntry("w", R"({"service":"s"})", Time{}, &worker));
  BOOST_TEST(!ParseWorkerEntry("w", "\xff\xfe", Time{}, &worker));
  std::string unknown_state = good;
  unknown_state.replace(unknown_state.find("draining"), 8, "sleeping");
  BOOST_TEST(!ParseWorkerEntry("w", unknown_state, Time{}, &worker));
}

BOOST_AUTO_TEST_CASE(ParsesAnswersOfWorkers) {
  std::optional<int64_t> clock;
  HttpResponse response;
  response.status_ = 409;
  response.body_ = R"({"clock_ms":42,"reason":"late"})";
  BOOST_TEST((ParseStartResult(response, &clock) == StartResult::kLate));
  BOOST_TEST(*clock == 42);
  response.status_ = 0;
  response.body_.clear();
  BOOST_TEST((ParseStartResult(response, &clock) == StartResult::kUnanswered));
  response.status_ = 200;
  response.body_ = R"({"clock_ms":42,"born":7,"running":[["t",2,"",41]],
                       "finished":[[58,"u",1,"done",""]]})";
  PollEnded poll;
  ParsePollAnswer(response, &poll);
  BOOST_REQUIRE((poll.result_ == PollResult::kListed));
  BOOST_TEST(poll.running_[0].percent_ == 41);
  BOOST_TEST(poll.finished_[0].number_ == 58U);
  BOOST_TEST(poll.started_ms_ == 7);
  PollEnded malformed;
  response.body_ = R"({"clock_ms":42})";
  ParsePollAnswer(response, &malformed);
  BOOST_TEST((malformed.result_ == PollResult::kUnanswered));
}

/// Replaces the first `from` in a text.
std::string With(std::string text, const std::string& from,
                 const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against numbers of a worker's list that are taken modulo 2^32, or that
// overflow when a lease is added to them.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeMakeAWorkersListUnusable) {
  const std::string good =
      R"({"clock_ms":42,"born":7,"running":[["t",2,"",41]],
          "finished":[[58,"u",1,"done",""]]})";
  const auto lists = [](const std::string& body) {
    HttpResponse response;
    response.status_ = 200;
    response.body_ = body;
    PollEnded poll;
    ParsePollAnswer(response, &poll);
    return poll.result_ == PollResult::kListed;
  };
  BOOST_REQUIRE(lists(good));
  for (const char* number : {"4294967298", "-1", "1e30", "1e400", "null",
                             "true", "\"2\"", "[[[[2]]]]"}) {
    BOOST_TEST(!lists(With(good, "\"t\",2", "\"t\"," + std::string(number))),
               number);
    BOOST_TEST(!lists(With(good, "\"u\",1", "\"u\"," + std::string(number))),
               number);
  }
  for (const char* number : {"9223372036854775807", "1e30", "1e400", "true"}) {
    BOOST_TEST(!lists(With(good, "42", number)), number);
  }
  BOOST_TEST(!lists(With(good, "\"born\":7", "\"born\":-7")));
  BOOST_TEST(!lists(With(good, "[58", "[-58")));
  BOOST_TEST(!lists(With(good, "done", "vanished")));
}

// Guards against a configuration whose numbers wrap or turn objectives
// negative: the one before stays in force.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeMakeAConfigurationUnusable) {
  QueueTable table;
  for (const char* retries : {"4294967297", "-1", "1e30", "true", "\"3\""}) {
    BOOST_TEST(!ParseQueueTable(With(kTable, "\"retries\":3",
                                     "\"retries\":" + std::string(retries)),
                                &table),
               retries);
  }
  for (const char* stretch : {"-1.6", "1e7", "1e400", "\"x\""}) {
    BOOST_TEST(
        !ParseQueueTable(With(kTable, "1.6", std::string(stretch)), &table),
        stretch);
  }
  for (const char* objective : {"-60", "1e18", "9223372036854775807"}) {
    BOOST_TEST(!ParseQueueTable(With(kTable, "60", objective), &table),
               objective);
  }
  BOOST_TEST(table.queues_.empty());
}

// Guards against a caller's numbers that are converted out of range.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeMakeAJobInvalid) {
  const std::string good = R"({"best_effort":true,
      "phases":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900}]})";
  const auto submits = [&](const std::string& body) {
    return Parse("POST", "/case/5c0e7a21d94b36f8", body).kind_ ==
           ParsedRequest::Kind::kSubmit;
  };
  BOOST_REQUIRE(submits(good));
  for (const char* field : {"4,", "500", "256", "900"}) {
    for (std::string number : {"4294967300", "-1", "1e30", "1e400"}) {
      if (field[1] == ',') number += ",";
      BOOST_TEST(!submits(With(good, field, number)), field << " " << number);
    }
  }
}

BOOST_AUTO_TEST_CASE(SettingsErrorNamesTheMissingField) {
  ProcessSettings settings;
  std::string detail;
  BOOST_TEST((ParseProcessSettings("{}", &settings, &detail) ==
              make_error_code(Errc::kBadSettings)));
  BOOST_TEST(detail.find("node_name") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(BoundsInTheSettingsOverrideDefaults) {
  ProcessSettings settings;
  std::string detail;
  const char* text = R"({"node_name":"a","zone":"z","ip":"10.0.0.1",
      "listen":{"frontend":"10.0.0.1:1","ready":"10.0.0.1:2"},
      "port_range":[5,9],"platform":{"addr":"10.0.0.2:3","min_ttl_ms":1500},
      "limits":{"cpu_quota":0.12,"cores":2,"memory_mb":160,"link_mbps":25.0},
      "bounds":{"grace_s":4.5,"max_hold_ms":800,"stop_timeout_ms":70,
                "resend_ms":2600,"evacuate_ms":5000,"warmup_slack":7}})";
  BOOST_REQUIRE(!ParseProcessSettings(text, &settings, &detail));
  const WorkerSchedulerLimits limits = SchedulerLimits(settings);
  BOOST_TEST(limits.lease_.ms_ == 700);
  BOOST_TEST(limits.longest_lease_.ms_ == 800);
  BOOST_TEST(settings.cpu_milli_ == 240);
  BOOST_TEST(settings.link_rate_.bytes_per_s_ == 3125000);
  BOOST_TEST(settings.grace_.ms_ == 4500);
  BOOST_TEST(settings.max_lease_.ms_ == 800);
  BOOST_TEST(settings.stop_timeout_.ms_ == 70);
  BOOST_TEST(settings.resend_delay_.ms_ == 2600);
  BOOST_TEST(limits.needs_evacuations_);
  BOOST_TEST(limits.warm_up_.slack_.ms_ == 7);
  BOOST_TEST(settings.min_store_lease_.ms_ == 1500);
}

BOOST_AUTO_TEST_CASE(Base64RoundTripKeepsAllBytes) {
  for (const std::string text : {"", "a", "ab", "abc", "a\xff\x01z"}) {
    std::string decoded;
    BOOST_REQUIRE(DecodeBase64(EncodeBase64(text), &decoded));
    BOOST_TEST(decoded == text);
  }
  std::string decoded;
  BOOST_TEST(!DecodeBase64("abc", &decoded));
  BOOST_TEST(!DecodeBase64("????", &decoded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gentiandeal::platform
