#include "ledger.h"

#include <boost/test/unit_test.hpp>
#include <charconv>

#include "standins/answer_bytes.h"

namespace gentiandeal::process {
namespace {

constexpr char kMethod[] = "POST";
constexpr Duration kAnswerTimeout{30000};

std::string TaskPath(const std::string& name, uint16_t index,
                     const JobShape& shape) {
  return "/" + name + "/" + std::to_string(index) +
         "?ms=" + std::to_string(shape.run_ms_) +
         "&bytes=" + std::to_string(shape.bytes_);
}

std::string JobText(const std::string& name, const JobShape& shape) {
  JobSpec job;
  job.deadline_ = shape.deadline_;
  for (uint16_t i = 0; i < shape.tasks_; ++i) {
    TaskSpec& task = job.tasks_.emplace_back();
    task.method_ = kMethod;
    task.path_ = TaskPath(name, i, shape);
    task.kind_ = "ms" + std::to_string(shape.run_ms_);
    task.declared_run_time_ = {shape.run_ms_};
    task.body_ = name;
  }
  return JobToJson(job);
}

/// Reads `/NAME/INDEX?...`. @returns false for any other path.
bool ReadPath(const std::string& path, std::string* name, uint16_t* index) {
  const size_t slash = path.find('/', 1);
  const size_t query = path.find('?');
  if (slash == std::string::npos || query == std::string::npos) return false;
  *name = path.substr(1, slash - 1);
  const char* end = path.data() + query;
  return std::from_chars(path.data() + slash + 1, end, *index).ptr == end;
}

HttpRequest WithIdentity(HttpRequest request, const Identity& identity) {
  if (identity.client_.empty()) return request;
  request.fields_.emplace_back("Gentiandeal-Client", identity.client_);
  request.fields_.emplace_back("Gentiandeal-Sequence",
                               std::to_string(identity.sequence_));
  return request;
}

}  // namespace

std::string FetchClient(const Address& instance) {
  const HttpResponse response =
      Fetch(instance, {"POST", "/v1/clients", {}, ""}, kPatience);
  const auto body = nlohmann::json::parse(response.body_, nullptr, false);
  return body.is_object() ? body.value("client", "") : "";
}

Ledger::Ledger() = default;

size_t Ledger::Submit(const Address& to, const std::string& name,
                      const JobShape& shape, const Identity& identity) {
  shapes_[name] = shape;
  requests_.push_back({name});
  return caller_.Send(
      to,
      WithIdentity({"POST", "/v1/jobs", {}, JobText(name, shape)}, identity),
      kAnswerTimeout);
}

size_t Ledger::Cancel(const Address& to, const std::string& name,
                      const Identity& identity) {
  requests_.push_back({name});
  return caller_.Send(to,
                      WithIdentity({"POST", "/v1/cancel", {}, ""}, identity),
                      kAnswerTimeout);
}

void Ledger::GiveUp(size_t request) {
  caller_.GiveUp(request);
  requests_[request].given_up_ = true;
}

bool Ledger::Answered(size_t request) const {
  JobAnswer ignored;
  return caller_.Answered(request) && caller_.Answer(request).complete_ &&
         !ParseAnswer(caller_.Answer(request).body_, &ignored);
}

JobAnswer Ledger::Answer(size_t request) const {
  JobAnswer answer;
  BOOST_REQUIRE_MESSAGE(!ParseAnswer(caller_.Answer(request).body_, &answer),
                        "no answer: " << caller_.Answer(request).status_ << " "
                                      << caller_.Answer(request).body_);
  return answer;
}

size_t Ledger::Count(Outcome outcome) const {
  size_t count = 0;
  for (size_t i = 0; i < requests_.size(); ++i) {
    if (Answered(i)) count += Answer(i).outcome_ == outcome;
  }
  return count;
}

std::string Ledger::PathOf(const std::string& name, uint16_t index) const {
  return TaskPath(name, index, shapes_.at(name));
}

std::string Ledger::BodyOf(const std::string& name, uint16_t index) const {
  return standin::AnswerBytes(kMethod, PathOf(name, index), name,
                              shapes_.at(name).bytes_);
}

std::vector<Violation> Ledger::Violations(
    const std::vector<LoggedStart>& starts) const {
  InvariantChecker checker([this](const std::string& name, uint16_t index) {
    return BodyOf(name, index);
  });
  for (size_t i = 0; i < requests_.size(); ++i) {
    const Request& request = requests_[i];
    const std::string key = "request " + std::to_string(i);
    checker.OnRequest(key, request.name_, shapes_.at(request.name_).tasks_);
    // A lost link is an answer that the caller treats as "may have run".
    if (!Answered(i)) {
      checker.OnCallerGone(key);
      continue;
    }
    const JobAnswer answer = Answer(i);
    AnswerSeen seen{key, request.name_,         answer.outcome_,
                    "",  answer.started_known_, answer.started_,
                    {}};
    if (answer.error_) {
      seen.error_ = Name(static_cast<Errc>(answer.error_.value()));
    }
    for (const TaskAnswer& task : answer.tasks_) {
      seen.bodies_.push_back(task.body_);
    }
    checker.OnAnswer(std::move(seen));
  }
  for (const LoggedStart& start : starts) {
    StartSeen seen{start.task_id_, "", 0};
    if (!ReadPath(start.path_, &seen.submission_, &seen.index_)) continue;
    checker.OnStart(std::move(seen));
  }
  return checker.Check(/*all_answered=*/true);
}

void Ledger::Check(const std::vector<LoggedStart>& starts) const {
  for (const Violation& violation : Violations(starts)) {
    BOOST_ERROR(violation.invariant_ << ": " << violation.detail_);
  }
}

}  // namespace gentiandeal::process
