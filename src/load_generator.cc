#include "load_generator.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "job_json.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

constexpr Duration kControlRequestTimeout{2000};
constexpr int kRoundTripSamples = 21;
constexpr size_t kClientsPerTarget = 128;
constexpr uint32_t kMaxSendsPerJob = 2;

double SteadyMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

uint32_t SumSlots(const Json& status) {
  uint32_t slots = 0;
  const Json workers = status.value("workers", Json::array());
  for (const Json& worker : workers) {
    slots += worker.value("slots", 0u);
  }
  return slots;
}

JobResult ToJobResult(const HttpResponse& response) {
  JobResult result;
  JobAnswer answer;
  if (!response.complete_ || ParseAnswer(response.body_, &answer)) {
    result.error_ = response.complete_ ? "bad-answer" : "link-lost";
    return result;
  }
  result.answered_ = true;
  result.outcome_ = answer.outcome_;
  if (answer.error_) {
    result.error_ = Name(static_cast<Errc>(answer.error_.value()));
  }
  return result;
}

}  // namespace

double IdealResponseMs(const PlannedJob& job, uint32_t slots,
                       double round_trip_ms) {
  double longest_ms = 0;
  double work_ms = 0;
  for (const PlannedTask& task : job.tasks_) {
    const auto run_ms = static_cast<double>(task.run_time_.ms_);
    longest_ms = std::max(longest_ms, run_ms);
    work_ms += run_ms;
  }
  return std::max(longest_ms, work_ms / std::max(slots, 1u)) + round_trip_ms;
}

LoadGenerator::LoadGenerator(const TrafficTarget& target)
    : target_(target),
      base_(event_base_new()),
      http_client_(std::make_unique<HttpClient>(base_)),
      free_clients_(target.addresses_.size()) {
  const auto on_timer = [](evutil_socket_t /*fd*/, int16_t /*what*/,
                           void* arg) {
    static_cast<LoadGenerator*>(arg)->SendDueJobs();
  };
  timer_ = evtimer_new(base_, on_timer, this);
}

LoadGenerator::~LoadGenerator() {
  event_free(timer_);
  http_client_.reset();
  event_base_free(base_);
}

bool LoadGenerator::Prepare() {
  Counters ignored;
  uint32_t listed = 0;
  if (!ReadCounters(&ignored, &listed)) return false;
  slots_ = target_.slots_ > 0 ? target_.slots_ : listed;
  return MeasureRoundTrip() && FetchClients();
}

/// Sums the counters of the targets. `slots` is the largest sum that one target
/// lists, as the instances of a data centre share their workers.
bool LoadGenerator::ReadCounters(Counters* out, uint32_t* slots) const {
  for (const Address& address : target_.addresses_) {
    const HttpResponse response =
        Fetch(address, {"GET", "/v1/status", {}, ""}, kControlRequestTimeout);
    const Json status = Json::parse(response.body_, nullptr, false);
    if (!response.complete_ || !status.is_object()) return false;
    *slots = std::max(*slots, SumSlots(status));
    const Json stats = status.value("stats", Json::object());
    for (const auto& [name, value] : stats.items()) {
      if (value.is_number_unsigned()) (*out)[name] += value.get<uint64_t>();
    }
  }
  return true;
}

bool LoadGenerator::MeasureRoundTrip() {
  std::vector<double> round_trips;
  for (int i = 0; i < kRoundTripSamples; ++i) {
    const double sent_ms = SteadyMs();
    bool complete = false;
    http_client_->Send(target_.addresses_.front(), {"GET", "/healthz", {}, ""},
                       kControlRequestTimeout,
                       [&](const HttpResponse& response) {
                         complete = response.complete_;
                         event_base_loopbreak(base_);
                       });
    event_base_dispatch(base_);
    if (!complete) return false;
    round_trips.push_back(SteadyMs() - sent_ms);
  }
  std::nth_element(round_trips.begin(),
                   round_trips.begin() + kRoundTripSamples / 2,
                   round_trips.end());
  round_trip_ms_ = round_trips[kRoundTripSamples / 2];
  return true;
}

bool LoadGenerator::FetchClients() {
  for (size_t target = 0; target < target_.addresses_.size(); ++target) {
    for (size_t i = 0; i < kClientsPerTarget; ++i) {
      http_client_->Send(
          target_.addresses_[target], {"POST", "/v1/clients", {}, ""},
          kControlRequestTimeout, [&, target](const HttpResponse& response) {
            const Json body = Json::parse(response.body_, nullptr, false);
            if (!body.is_object() || !body.contains("client")) return;
            clients_.push_back(std::make_unique<Client>(
                Client{body["client"].get<std::string>(), target}));
            free_clients_[target].push_back(clients_.back().get());
          });
    }
  }
  while (http_client_->open() > 0) event_base_loop(base_, EVLOOP_ONCE);
  return clients_.size() == kClientsPerTarget * target_.addresses_.size();
}

double LoadGenerator::ElapsedMs() const { return SteadyMs() - start_ms_; }

TrafficResult LoadGenerator::Run(const std::vector<PlannedJob>& jobs) {
  TrafficResult result;
  Counters before;
  uint32_t ignored = 0;
  ReadCounters(&before, &ignored);
  jobs_ = &jobs;
  next_job_ = 0;
  finished_jobs_ = 0;
  results_.assign(jobs.size(), {});
  start_ms_ = SteadyMs();
  ScheduleNextJob();
  if (!jobs.empty()) event_base_dispatch(base_);
  result.elapsed_ms_ = ElapsedMs();
  ReadCounters(&result.counters_, &ignored);
  for (auto& [name, value] : result.counters_) {
    value -= std::min(value, before[name]);
  }
  result.jobs_ = std::move(results_);
  result.slots_ = slots_;
  result.round_trip_ms_ = round_trip_ms_;
  return result;
}

void LoadGenerator::ScheduleNextJob() {
  if (next_job_ == jobs_->size()) return;
  const double wait_ms =
      std::max((*jobs_)[next_job_].arrival_ms_ - ElapsedMs(), 0.0);
  const auto wait_us = static_cast<int64_t>(wait_ms * 1000);
  const timeval wait{wait_us / 1000000, wait_us % 1000000};
  evtimer_add(timer_, &wait);
}

void LoadGenerator::SendDueJobs() {
  while (next_job_ < jobs_->size() &&
         (*jobs_)[next_job_].arrival_ms_ <= ElapsedMs()) {
    StartJob(next_job_++);
  }
  ScheduleNextJob();
}

void LoadGenerator::StartJob(size_t job) {
  const auto open = std::make_shared<OpenJob>();
  open->job_ = job;
  open->target_ = job % target_.addresses_.size();
  open->body_ = JobRequestBody((*jobs_)[job], std::to_string(job),
                               target_.team_, target_.deadline_);
  std::vector<Client*>& free = free_clients_[open->target_];
  if (!free.empty()) {
    open->client_ = free.back();
    free.pop_back();
    ++open->client_->sequence_;
  }
  open->sent_ms_ = ElapsedMs();
  JobResult& result = results_[job];
  result.sent_late_ms_ = open->sent_ms_ - (*jobs_)[job].arrival_ms_;
  SendJob(open);
}

void LoadGenerator::SendJob(const std::shared_ptr<OpenJob>& open) {
  HttpRequest request{
      "POST", "/v1/jobs", {{"Content-Type", "application/json"}}, open->body_};
  if (open->client_ != nullptr) {
    const uint64_t sequence = open->client_->sequence_;
    request.fields_.emplace_back("Gentiandeal-Client", open->client_->id_);
    request.fields_.emplace_back("Gentiandeal-Sequence",
                                 std::to_string(sequence));
    request.fields_.emplace_back("Gentiandeal-Acknowledged",
                                 std::to_string(sequence - 1));
  }
  ++results_[open->job_].sends_;
  http_client_->Send(target_.addresses_[open->target_], request,
                     target_.timeout_,
                     [this, open](const HttpResponse& response) {
                       HandleResponse(open, response);
                     });
}

void LoadGenerator::HandleResponse(const std::shared_ptr<OpenJob>& open,
                                   const HttpResponse& response) {
  const JobResult& sent = results_[open->job_];
  const bool resend = !response.complete_ && open->client_ != nullptr &&
                      sent.sends_ < kMaxSendsPerJob &&
                      target_.addresses_.size() > 1;
  if (resend) {
    open->target_ = (open->target_ + 1) % target_.addresses_.size();
    SendJob(open);
    return;
  }
  const PlannedJob& job = (*jobs_)[open->job_];
  JobResult result = ToJobResult(response);
  result.response_ms_ = ElapsedMs() - open->sent_ms_;
  result.ideal_ms_ = IdealResponseMs(job, slots_, round_trip_ms_);
  result.sent_late_ms_ = sent.sent_late_ms_;
  result.tasks_ = static_cast<uint32_t>(job.tasks_.size());
  result.sends_ = sent.sends_;
  results_[open->job_] = result;
  if (open->client_ != nullptr) {
    free_clients_[open->client_->target_].push_back(open->client_);
  }
  if (++finished_jobs_ == jobs_->size()) event_base_loopbreak(base_);
}

}  // namespace gentiandeal
