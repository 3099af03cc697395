#include <event2/event.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "command_line.h"
#include "http_client.h"
#include "job_json.h"

namespace gentiandeal {
namespace {

namespace po = boost::program_options;

constexpr Duration kControlTimeout{2000};
constexpr Duration kRetryDelay{200};

struct SubmitOptions {
  TargetOptions targets_;
  std::string job_file_;
  std::string client_;
  uint64_t sequence_ = 1;
  int64_t timeout_ms_ = 60000;
  uint32_t attempts_ = 6;
};

bool ReadFileOrStdin(const std::string& file, std::string* out) {
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream stream(file);
    if (!stream) return false;
    text << stream.rdbuf();
  }
  *out = text.str();
  return true;
}

void PrintProgress(const std::string& line) {
  if (isatty(STDERR_FILENO) != 0) std::cerr << line << "\n";
}

void SleepFor(Duration duration) {
  event_base* base = event_base_new();
  const timeval wait{duration.ms_ / 1000, duration.ms_ % 1000 * 1000};
  event_base_loopexit(base, &wait);
  event_base_loop(base, EVLOOP_NO_EXIT_ON_EMPTY);
  event_base_free(base);
}

/// Fetches a client id from the first target that answers.
/// @returns an empty id when none does.
std::string FetchClientId(const std::vector<Address>& targets) {
  for (const Address& target : targets) {
    const HttpResponse response =
        Fetch(target, {"POST", "/v1/clients", {}, ""}, kControlTimeout);
    const auto body = nlohmann::json::parse(response.body_, nullptr, false);
    if (body.is_object() && body.contains("client")) {
      return body.at("client").get<std::string>();
    }
  }
  return {};
}

/// True if another instance may have a better answer: none arrived, or the
/// owner of the submission was unreachable.
bool ShouldRetry(const HttpResponse& response, const JobAnswer& answer) {
  if (!response.complete_) return true;
  return answer.outcome_ == Outcome::kMayHaveRun &&
         answer.error_ == make_error_code(Errc::kOwnerUnreachable);
}

int PrintAnswer(const HttpResponse& response, const JobAnswer& answer) {
  std::cout << response.body_ << "\n";
  switch (answer.outcome_) {
    case Outcome::kComplete:
      return kExitOk;
    case Outcome::kNotRun:
      return kExitFailed;
    case Outcome::kMayHaveRun:
      return kExitMayHaveRun;
  }
  return kExitMayHaveRun;
}

int PrintConnectionLost() {
  JobAnswer lost;
  lost.outcome_ = Outcome::kMayHaveRun;
  lost.error_ = Errc::kPeerLinkLost;
  lost.started_known_ = false;
  std::cout << AnswerToJson(lost) << "\n";
  return kExitMayHaveRun;
}

/// Sends the same submission to one target after another until one gives a
/// final answer.
int SubmitJob(const SubmitOptions& options, const std::string& job,
              const std::vector<Address>& targets) {
  const HttpRequest request{
      "POST",
      "/v1/jobs",
      {{"Content-Type", "application/json"},
       {"Gentiandeal-Client", options.client_},
       {"Gentiandeal-Sequence", std::to_string(options.sequence_)}},
      job};
  HttpResponse response;
  JobAnswer answer;
  for (uint32_t attempt = 0; attempt < options.attempts_; ++attempt) {
    if (attempt > 0) SleepFor(kRetryDelay);
    const Address& target = targets[attempt % targets.size()];
    PrintProgress("submitting to " + ToString(target) + ", attempt " +
                  std::to_string(attempt + 1));
    const HttpResponse next =
        Fetch(target, request, Duration{options.timeout_ms_});
    if (!next.complete_ || ParseAnswer(next.body_, &answer)) continue;
    response = next;
    if (!ShouldRetry(response, answer)) break;
  }
  return response.complete_ ? PrintAnswer(response, answer)
                            : PrintConnectionLost();
}

}  // namespace

int RunSubmit(const Arguments& words) {
  SubmitOptions options;
  po::options_description all(
      "gentiandeal submit --to IP:PORT [OPTIONS] JOB\n"
      "Submits the job of a JSON file (docs/API.md; - reads standard input)\n"
      "and prints its complete answer. When a connection is lost, the same\n"
      "submission is sent to the next address; no task starts twice");
  AddTargetOptions(&all, &options.targets_);
  auto add = all.add_options();
  add("job", po::value(&options.job_file_)->required(), "job file");
  add("client", po::value(&options.client_),
      "client id to submit under; fetched from an instance by default");
  add("sequence", po::value(&options.sequence_),
      "sequence number of the submission for this client; default 1");
  add("timeout-ms", po::value(&options.timeout_ms_),
      "timeout of one attempt, in milliseconds");
  add("attempts", po::value(&options.attempts_), "maximum number of attempts");
  if (const auto end = ParseArguments(words, "submit", all, "job")) return *end;
  std::vector<Address> targets;
  if (const auto end = ReadTargets(options.targets_, "submit", &targets)) {
    return *end;
  }
  std::string text;
  if (!ReadFileOrStdin(options.job_file_, &text)) {
    return PrintUsageError("submit", options.job_file_ + " can't be read");
  }
  JobSpec job;
  std::string detail;
  if (ParseJob(text, &job, &detail)) {
    return PrintUsageError("submit", options.job_file_ + ": " + detail);
  }
  if (options.client_.empty()) options.client_ = FetchClientId(targets);
  if (options.client_.empty()) {
    std::cerr << "gentiandeal submit: no instance answers; check --to\n";
    return kExitUnavailable;
  }
  return SubmitJob(options, text, targets);
}

}  // namespace gentiandeal
