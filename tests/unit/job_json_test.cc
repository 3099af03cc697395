#include "job_json.h"

#include <boost/test/unit_test.hpp>

namespace gentiandeal {

BOOST_AUTO_TEST_SUITE(job_json)

BOOST_AUTO_TEST_CASE(JobRoundTripsThroughJson) {
  JobSpec job;
  job.team_ = "care/night";
  job.deadline_.ms_ = 700;
  for (int i = 0; i < 260; ++i) {
    TaskSpec& task = job.tasks_.emplace_back();
    task.method_ = "POST";
    task.path_ = "/convocations/" + std::to_string(i);
    task.fields_ = {{"Accept", "text/plain"}};
    task.body_ = std::string("\xff\x00 bytes", 8) + std::to_string(i);
  }
  JobSpec parsed;
  std::string detail;
  BOOST_TEST(!ParseJob(JobToJson(job), &parsed, &detail));
  BOOST_TEST(parsed.team_ == job.team_);
  BOOST_REQUIRE(parsed.tasks_.size() == job.tasks_.size());
  for (size_t i = 0; i < job.tasks_.size(); ++i) {
    BOOST_TEST(parsed.tasks_[i].path_ == job.tasks_[i].path_);
    BOOST_TEST((parsed.tasks_[i].body_ == job.tasks_[i].body_));
  }
}

BOOST_AUTO_TEST_CASE(AnswerRoundTripsThroughJson) {
  JobAnswer answer;
  answer.outcome_ = Outcome::kMayHaveRun;
  answer.error_ = Errc::kWorkerTimeout;
  answer.started_ = {0, 4, 259};
  JobAnswer parsed;
  BOOST_TEST(!ParseAnswer(AnswerToJson(answer), &parsed));
  BOOST_TEST((parsed.outcome_ == answer.outcome_));
  BOOST_TEST((parsed.error_ == answer.error_));
  BOOST_TEST((parsed.started_ == answer.started_));
  answer.started_known_ = false;
  BOOST_TEST(!ParseAnswer(AnswerToJson(answer), &parsed));
  BOOST_TEST(!parsed.started_known_);
}

const std::string kInvalidJobs[] = {
    "",
    "{\"tasks\":[{\"path\":\"/a\"}]",
    "[]",
    "{}",
    "{\"tasks\":[]}",
    "{\"tasks\":{}}",
    "{\"tasks\":[{}]}",
    "{\"tasks\":[{\"path\":\"a\"}]}",
    "{\"tasks\":[{\"path\":\"/a b\"}]}",
    "{\"tasks\":[{\"path\":\"/a\\r\\nX: y\"}]}",
    "{\"tasks\":[{\"path\":7}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"run_ms\":-1}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"run_ms\":1.5}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"run_ms\":1e400}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"run_ms\":18446744073709551615}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"size\":0}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"fields\":{\"A\":\"b\\nc\"}}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"fields\":{\"A b\":\"c\"}}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"body_base64\":\"***=\"}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"body\":\"x\",\"body_base64\":\"eA==\"}]}",
    "{\"tasks\":[{\"path\":\"/a\",\"unknown\":1}]}",
    "{\"tasks\":[{\"path\":\"/a\"}],\"unknown\":1}",
    "{\"tasks\":[{\"path\":\"/a\"}],\"deadline_ms\":0}",
    "{\"tasks\":[{\"path\":\"/a\"}],\"idempotent\":1}",
    "{\"tasks\":[{\"path\":\"/\xff\"}]}",
};

BOOST_AUTO_TEST_CASE(InvalidJobsAreRefusedWithDetail) {
  for (const std::string& text : kInvalidJobs) {
    JobSpec job;
    std::string detail;
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST((ParseJob(text, &job, &detail) == Errc::kBadRequest));
      BOOST_TEST(!detail.empty());
      BOOST_TEST(job.tasks_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(TooManyTasksAreRefused) {
  JobSpec job;
  job.tasks_.resize(config::kMaxTasksPerJob + 1);
  for (TaskSpec& task : job.tasks_) task.path_ = "/a";
  JobSpec parsed;
  std::string detail;
  BOOST_TEST((ParseJob(JobToJson(job), &parsed, &detail) == Errc::kBadRequest));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace gentiandeal
