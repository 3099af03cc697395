#include "caller_server.h"

#include <unordered_map>

#include "caller_request.h"
#include "http_server.h"
#include "job_json.h"

namespace gentiandeal {

namespace {

/// Memory that the parsed values of a job may take where memory is limited. A
/// job of 260 tasks with 50 fields each stays below it.
constexpr size_t kMaxExpandedBytes = 4 * 1024 * 1024;

bool IsOwnPath(std::string_view path) {
  return path == "/healthz" || path == "/readyz" || path == "/metrics" ||
         path.substr(0, 4) == "/v1/";
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(event_base* base, CallerEvents events, const HttpServerOptions& options)
      : events_(std::move(events)),
        max_expanded_bytes_(options.memory_mb_ > 0 ? kMaxExpandedBytes
                                                   : SIZE_MAX),
        server_(base, MakeServerEvents(), options) {}
  ~Impl() { closing_ = true; }

  std::error_code Listen(const Address& address) {
    return server_.Listen(address);
  }

  void StopListening() { server_.StopListening(); }

  void Answer(RequestId id, const JobAnswer& answer) {
    const auto found = pending_requests_.find(id.value_);
    if (found == pending_requests_.end()) return;
    const bool passthrough = found->second;
    pending_requests_.erase(found);
    if (passthrough && answer.tasks_.size() == 1) {
      SendWorkerAnswer(id, answer);
    } else {
      SendJobAnswer(id, answer);
    }
  }

  Address address() const { return server_.address(); }
  const CallerServerStats& stats() const {
    const HttpServerStats http = server_.stats();
    stats_ = {http.requests_, http.refused_malformed_ + refused_,
              http.request_timeouts_, http.open_connections_,
              pending_requests_.size()};
    return stats_;
  }

 private:
  HttpServerEvents MakeServerEvents() {
    HttpServerEvents events;
    events.uses_body_ = [](const CallerRequest& head) {
      // The paths of this server, but for jobs, are answered without a body.
      const std::string_view path = head.path_;
      return path == "/v1/jobs" || !IsOwnPath(path);
    };
    events.request_ = [this](RequestId id, CallerRequest http_request) {
      Route(id, std::move(http_request));
    };
    events.disconnected_ = [this](RequestId id) {
      if (pending_requests_.erase(id.value_) > 0 && !closing_) {
        events_.caller_disconnected_({id});
      }
    };
    return events;
  }

  void Route(RequestId request, CallerRequest http_request) {
    const std::string_view path = http_request.path_;
    const bool post = http_request.method_ == "POST";
    if (path == "/healthz") return SendText(request, 200, "ok\n");
    if (path == "/readyz") {
      const bool ready = events_.ready_();
      return SendText(request, ready ? 200 : 503, ready ? "ready\n" : "no\n");
    }
    if (path == "/metrics") {
      return SendText(request, 200, events_.metrics_text_());
    }
    if (path == "/v1/status") {
      return SendJson(request, 200, events_.status_json_());
    }
    if (path == "/v1/settings") {
      return SendJson(request, 200, events_.settings_json_());
    }
    if (path == "/v1/clients" && post) return IssueClient(request);
    if (path == "/v1/jobs" && post) return SubmitJob(request, http_request);
    if (path == "/v1/cancel" && post) return Cancel(request, http_request);
    if (path.substr(0, 4) == "/v1/") {
      return SendRefusal(request, Errc::kBadRequest,
                         "path or method is not known: see docs/API.md");
    }
    Passthrough(request, std::move(http_request));
  }

  void IssueClient(RequestId request) {
    const std::string id = ToString(events_.issue_client_());
    SendJson(request, 201,
             "{\"client\":\"" + id + "\",\"expires_ms\":" +
                 std::to_string(config::kClientIdLifetime.ms_) + "}");
  }

  void SubmitJob(RequestId request, const CallerRequest& http_request) {
    Submit submit;
    std::string detail;
    auto error =
        ParseSubmissionId(http_request.fields_, &submit.submission_, &detail);
    if (!error) {
      error = ParseJob(http_request.body_, &submit.job_, &detail,
                       max_expanded_bytes_);
    }
    if (error) return SendRefusal(request, error, detail);
    PostSubmit(request, std::move(submit));
  }

  void Passthrough(RequestId request, CallerRequest http_request) {
    Submit submit;
    std::string detail;
    auto error =
        ParseSubmissionId(http_request.fields_, &submit.submission_, &detail);
    if (!error) {
      error = ParsePassthrough(std::move(http_request), &submit.job_, &detail);
    }
    if (error) return SendRefusal(request, error, detail);
    PostSubmit(request, std::move(submit));
  }

  void Cancel(RequestId request, const CallerRequest& http_request) {
    std::optional<SubmissionId> id;
    std::string detail;
    const auto error = ParseSubmissionId(http_request.fields_, &id, &detail);
    if (error) return SendRefusal(request, error, detail);
    if (!id) {
      return SendRefusal(request, Errc::kBadRequest,
                         "Gentiandeal-Client and Gentiandeal-Sequence must "
                         "name the submission");
    }
    CancelSubmission cancel;
    cancel.request_ = request;
    AddPendingRequest(request, /*passthrough=*/false);
    cancel.submission_ = *id;
    events_.cancel_(cancel);
  }

  void PostSubmit(RequestId request, Submit submit) {
    submit.request_ = request;
    AddPendingRequest(request, submit.job_.passthrough_);
    events_.submit_(std::move(submit));
  }

  void AddPendingRequest(RequestId id, bool passthrough) {
    pending_requests_.emplace(id.value_, passthrough);
  }

  void SendRefusal(RequestId request, std::error_code error,
                   std::string_view detail) {
    JobAnswer answer;
    answer.error_ = error;
    ++refused_;
    HttpReply reply;
    reply.fields_.emplace_back(kOutcomeField, Name(answer.outcome_));
    SendJson(request, HttpStatus(answer), AnswerToJson(answer, detail),
             std::move(reply));
  }

  void SendJobAnswer(RequestId request, const JobAnswer& answer) {
    HttpReply reply;
    reply.fields_.emplace_back(kOutcomeField, Name(answer.outcome_));
    if (answer.retry_after_.ms_ > 0) {
      const int64_t seconds = (answer.retry_after_.ms_ + 999) / 1000;
      reply.fields_.emplace_back("Retry-After", std::to_string(seconds));
    }
    SendJson(request, HttpStatus(answer), AnswerToJson(answer),
             std::move(reply));
  }

  void SendWorkerAnswer(RequestId request, const JobAnswer& answer) {
    const TaskAnswer& task = answer.tasks_[0];
    HttpReply reply;
    for (const auto& field : task.fields_) {
      if (!IsHopByHop(field.first)) reply.fields_.push_back(field);
    }
    reply.fields_.emplace_back(kOutcomeField, Name(answer.outcome_));
    reply.body_ = task.body_;
    SendReply(request, task.status_, std::move(reply));
  }

  void SendJson(RequestId request, int status, std::string body,
                HttpReply reply = {}) {
    reply.fields_.emplace_back("Content-Type", "application/json");
    reply.body_ = std::move(body);
    SendReply(request, status, std::move(reply));
  }

  void SendText(RequestId request, int status, std::string body) {
    HttpReply reply;
    reply.fields_.emplace_back("Content-Type", "text/plain; charset=utf-8");
    reply.body_ = std::move(body);
    SendReply(request, status, std::move(reply));
  }

  void SendReply(RequestId request, int status, HttpReply reply) {
    reply.status_ = status;
    reply.close_connection_ = events_.draining_();
    if (reply.close_connection_) {
      reply.fields_.emplace_back(kRenewClientField, "1");
    }
    server_.Reply(request, reply);
  }

  CallerEvents events_;
  size_t max_expanded_bytes_;
  bool closing_ = false;
  uint64_t refused_ = 0;  // well-formed HTTP requests refused here
  std::unordered_map<uint64_t, bool> pending_requests_;  // is passthrough
  mutable CallerServerStats stats_;
  HttpServer server_;  // last: its destructor reports disconnected callers
};

CallerServer::CallerServer(event_base* base, CallerEvents events,
                           const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>(base, std::move(events), options)) {}
CallerServer::~CallerServer() = default;

std::error_code CallerServer::Listen(const Address& address) {
  return impl_->Listen(address);
}

void CallerServer::StopListening() { impl_->StopListening(); }

void CallerServer::Answer(RequestId request, const JobAnswer& answer) {
  impl_->Answer(request, answer);
}

Address CallerServer::address() const { return impl_->address(); }

const CallerServerStats& CallerServer::stats() const { return impl_->stats(); }

}  // namespace gentiandeal
