#include "caller_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <unordered_map>

#include "caller_request.h"
#include "guarded_connection.h"
#include "job_json.h"
#include "socket_address.h"

namespace gentiandeal {
namespace {

constexpr int kBacklog = 1024;
constexpr timeval kSweepInterval{1, 0};

std::vector<HttpField> CopyFields(evhtp_headers_t* headers) {
  std::vector<HttpField> fields;
  for (evhtp_kv_t* kv = headers->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next) {
    fields.emplace_back(std::string(kv->key, kv->klen),
                        std::string(kv->val, kv->vlen));
  }
  return fields;
}

std::string TakeBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

bool WantsKeepAlive(const evhtp_request_t* request) {
  const char* connection = evhtp_header_find(request->headers_in, "Connection");
  if (connection == nullptr) return request->proto == EVHTP_PROTO_11;
  if (SameFieldName(connection, "close")) return false;
  return request->proto == EVHTP_PROTO_11 ||
         SameFieldName(connection, "keep-alive");
}

void AddField(evhtp_request_t* request, const std::string& name,
              const std::string& value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(event_base* base, CallerEvents events)
      : base_(base), events_(std::move(events)), htp_(evhtp_new(base, this)) {
    evhtp_set_gencb(htp_, &OnRequest, this);
    evhtp_set_post_accept_cb(htp_, &OnAccept, this);
    evhtp_set_parser_flags(htp_, EVHTP_PARSE_QUERY_FLAG_LENIENT);
    // The guards refuse earlier, with an answer.
    evhtp_set_max_body_size(htp_, 2 * config::kMaxBodyBytes);
    sweep_ = event_new(base, -1, EV_PERSIST, &OnSweep, this);
    event_add(sweep_, &kSweepInterval);
  }

  ~Impl() {
    closing_ = true;
    event_free(sweep_);
    while (!connections_.empty()) {
      evhtp_connection_free(connections_.begin()->first);
    }
    evhtp_unbind_socket(htp_);
    evhtp_free(htp_);
  }

  std::error_code Listen(const Address& address) {
    const bool v6 = address.host_.find(':') != std::string::npos;
    const std::string host = (v6 ? "ipv6:" : "ipv4:") + address.host_;
    if (evhtp_bind_socket(htp_, host.c_str(), address.port_, kBacklog) != 0) {
      return {errno, std::generic_category()};
    }
    return LocalAddress(evconnlistener_get_fd(htp_->server), &address_);
  }

  void StopListening() { evconnlistener_disable(htp_->server); }

  void Answer(RequestId id, const JobAnswer& answer) {
    const auto found = waiting_.find(id.value_);
    if (found == waiting_.end()) return;
    const Waiting waiting = found->second;
    waiting_.erase(found);
    stats_.waiting_now_ = waiting_.size();
    Find(waiting.request_->conn)->waiting_ = RequestId{};
    if (waiting.passthrough_ && answer.tasks_.size() == 1) {
      SendWorkerAnswer(waiting.request_, answer);
    } else {
      SendJobAnswer(waiting.request_, answer);
    }
  }

  Address address() const { return address_; }
  const CallerServerStats& stats() const { return stats_; }

 private:
  struct Waiting {
    evhtp_request_t* request_ = nullptr;
    bool passthrough_ = false;
  };

  static evhtp_res OnAccept(evhtp_connection_t* conn, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    self->connections_.emplace(
        conn, std::make_unique<GuardedConnection>(self->base_, conn));
    ++self->stats_.connections_now_;
    const auto hook = [&](evhtp_hook_type type, auto callback) {
      // The library takes every hook as one type and casts it back.
      const auto generic = reinterpret_cast<void (*)()>(callback);
      evhtp_connection_set_hook(conn, type,
                                reinterpret_cast<evhtp_hook>(generic), self);
    };
    hook(evhtp_hook_on_request_fini, &OnRequestEnd);
    hook(evhtp_hook_on_connection_fini, &OnConnectionEnd);
    hook(evhtp_hook_on_event, &OnSocketEvent);
    return EVHTP_RES_OK;
  }

  GuardedConnection* Find(evhtp_connection_t* conn) const {
    const auto found = connections_.find(conn);
    return found == connections_.end() ? nullptr : found->second.get();
  }

  static evhtp_res OnRequestEnd(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    GuardedConnection* connection = self->Find(request->conn);
    if (connection != nullptr) self->Forget(connection);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnConnectionEnd(evhtp_connection_t* conn, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const auto found = self->connections_.find(conn);
    if (found == self->connections_.end()) return EVHTP_RES_OK;
    self->Forget(found->second.get());
    found->second->OnLibraryClose();
    if (found->second->refused()) ++self->stats_.refused_malformed_;
    self->connections_.erase(found);
    --self->stats_.connections_now_;
    return EVHTP_RES_OK;
  }

  // The library keeps a connection that ended while a request waits; its
  // caller is gone all the same.
  static void OnSocketEvent(evhtp_connection_t* conn, short events, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    GuardedConnection* connection = self->Find(conn);
    const bool ended = (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (connection == nullptr || !ended) return;
    self->Forget(connection);
    connection->CloseSoon();
  }

  static void OnSweep(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const Time now = self->clock_.Now();
    for (auto& [conn, connection] : self->connections_) {
      if (connection->Sweep(now)) ++self->stats_.timed_out_slow_;
    }
  }

  static void OnRequest(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    GuardedConnection* connection = self->Find(request->conn);
    connection->OnRequest();
    ++self->stats_.requests_;
    CallerRequest read;
    read.method_ = htparser_get_methodstr_m(request->method);
    read.path_ = connection->target();
    read.fields_ = CopyFields(request->headers_in);
    read.body_ = TakeBody(request->buffer_in);
    self->Route(request, std::move(read));
  }

  void Route(evhtp_request_t* request, CallerRequest read) {
    const std::string_view path = read.path_;
    const bool post = read.method_ == "POST";
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
    if (path == "/v1/jobs" && post) return SubmitJob(request, read);
    if (path == "/v1/cancel" && post) return Cancel(request, read);
    if (path.substr(0, 4) == "/v1/") {
      return SendRefusal(request, Errc::kBadRequest,
                         "path or method is not known: see docs/API.md");
    }
    Passthrough(request, std::move(read));
  }

  void IssueClient(evhtp_request_t* request) {
    const std::string id = ToString(events_.issue_client_());
    SendJson(request, 201,
             "{\"client\":\"" + id + "\",\"expires_ms\":" +
                 std::to_string(config::kClientIdLifetime.ms_) + "}");
  }

  void SubmitJob(evhtp_request_t* request, const CallerRequest& read) {
    Submit submit;
    std::string detail;
    auto error = ParseSubmissionId(read.fields_, &submit.submission_, &detail);
    if (!error) error = ParseJob(read.body_, &submit.job_, &detail);
    if (error) return SendRefusal(request, error, detail);
    Wait(request, std::move(submit));
  }

  void Passthrough(evhtp_request_t* request, CallerRequest read) {
    Submit submit;
    std::string detail;
    auto error = ParseSubmissionId(read.fields_, &submit.submission_, &detail);
    if (!error) {
      error = ParsePassthrough(std::move(read), &submit.job_, &detail);
    }
    if (error) return SendRefusal(request, error, detail);
    Wait(request, std::move(submit));
  }

  void Cancel(evhtp_request_t* request, const CallerRequest& read) {
    std::optional<SubmissionId> id;
    std::string detail;
    const auto error = ParseSubmissionId(read.fields_, &id, &detail);
    if (error) return SendRefusal(request, error, detail);
    if (!id) {
      return SendRefusal(request, Errc::kBadRequest,
                         "Gentiandeal-Client and Gentiandeal-Sequence must "
                         "name the submission");
    }
    CancelSubmission cancel;
    cancel.request_ = Register(request, /*passthrough=*/false);
    cancel.submission_ = *id;
    events_.cancel_(cancel);
  }

  void Wait(evhtp_request_t* request, Submit submit) {
    submit.request_ = Register(request, submit.job_.passthrough_);
    events_.submit_(std::move(submit));
  }

  RequestId Register(evhtp_request_t* request, bool passthrough) {
    const RequestId id{++last_request_};
    waiting_.emplace(id.value_, Waiting{request, passthrough});
    Find(request->conn)->waiting_ = id;
    stats_.waiting_now_ = waiting_.size();
    return id;
  }

  void Forget(GuardedConnection* connection) {
    if (!connection->waiting_.valid()) return;
    const RequestId id = connection->waiting_;
    connection->waiting_ = RequestId{};
    waiting_.erase(id.value_);
    stats_.waiting_now_ = waiting_.size();
    if (!closing_) events_.caller_gone_({id});
  }

  void SendRefusal(evhtp_request_t* request, std::error_code error,
                   std::string_view detail) {
    JobAnswer answer;
    answer.error_ = error;
    ++stats_.refused_malformed_;
    AddField(request, kOutcomeField, std::string(Name(answer.outcome_)));
    SendJson(request, HttpStatus(answer), AnswerToJson(answer, detail));
  }

  void SendJobAnswer(evhtp_request_t* request, const JobAnswer& answer) {
    AddField(request, kOutcomeField, std::string(Name(answer.outcome_)));
    if (answer.retry_after_.ms_ > 0) {
      const int64_t seconds = (answer.retry_after_.ms_ + 999) / 1000;
      AddField(request, "Retry-After", std::to_string(seconds));
    }
    SendJson(request, HttpStatus(answer), AnswerToJson(answer));
  }

  void SendWorkerAnswer(evhtp_request_t* request, const JobAnswer& answer) {
    const TaskAnswer& task = answer.tasks_[0];
    for (const auto& [name, value] : task.fields_) {
      if (!IsHopByHop(name)) AddField(request, name, value);
    }
    AddField(request, kOutcomeField, std::string(Name(answer.outcome_)));
    evbuffer_add(request->buffer_out, task.body_.data(), task.body_.size());
    Finish(request, task.status_);
  }

  void SendJson(evhtp_request_t* request, int status, const std::string& body) {
    AddField(request, "Content-Type", "application/json");
    evbuffer_add(request->buffer_out, body.data(), body.size());
    Finish(request, status);
  }

  void SendText(evhtp_request_t* request, int status, const std::string& body) {
    AddField(request, "Content-Type", "text/plain; charset=utf-8");
    evbuffer_add(request->buffer_out, body.data(), body.size());
    Finish(request, status);
  }

  void Finish(evhtp_request_t* request, int status) {
    GuardedConnection* connection = Find(request->conn);
    const bool last = connection->must_close() || events_.draining_() ||
                      !WantsKeepAlive(request);
    if (last) AddField(request, "Connection", "close");
    if (events_.draining_()) AddField(request, kRenewField, "1");
    if (evbuffer_get_length(request->buffer_out) == 0) {
      AddField(request, "Content-Length", "0");
    }
    // The connection is closed by its guard, once the answer has left.
    evhtp_request_set_keepalive(request, 1);
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
    connection->OnAnswered(last);
  }

  event_base* base_;
  CallerEvents events_;
  evhtp_t* htp_;
  event* sweep_ = nullptr;
  MonotonicClock clock_;
  Address address_;
  uint64_t last_request_ = 0;
  bool closing_ = false;
  std::unordered_map<evhtp_connection_t*, std::unique_ptr<GuardedConnection>>
      connections_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  CallerServerStats stats_;
};

CallerServer::CallerServer(event_base* base, CallerEvents events)
    : impl_(std::make_unique<Impl>(base, std::move(events))) {}
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
