#include "worker_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <boost/intrusive/list.hpp>
#include <map>
#include <unordered_map>

#include "caller_request.h"

namespace gentiandeal {
namespace {

constexpr timeval kNow{0, 0};
constexpr int kLibraryTimeoutSeconds = 24 * 3600;

timeval ToTimeval(Duration duration) {
  const int64_t ms = std::max<int64_t>(duration.ms_, 0);
  return {static_cast<time_t>(ms / 1000),
          static_cast<suseconds_t>(ms % 1000 * 1000)};
}

bool ToMethod(const std::string& name, evhttp_cmd_type* out) {
  static constexpr std::pair<std::string_view, evhttp_cmd_type> kMethods[] = {
      {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
      {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
      {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
      {"PATCH", EVHTTP_REQ_PATCH}};
  for (const auto& [known, type] : kMethods) {
    if (known != name) continue;
    *out = type;
    return true;
  }
  return false;
}

std::string_view Field(const evkeyvalq* fields, const char* name) {
  const char* value = evhttp_find_header(fields, name);
  return value == nullptr ? std::string_view() : value;
}

// Whether the end of the body was told by the worker. A body that ends with
// the connection can't be told from one that was cut.
bool IsFramed(evhttp_request* response, int status) {
  if (status == 204 || status == 304) return true;
  if (evhttp_request_get_command(response) == EVHTTP_REQ_HEAD) return true;
  const evkeyvalq* fields = evhttp_request_get_input_headers(response);
  return !Field(fields, "Content-Length").empty() ||
         !Field(fields, "Transfer-Encoding").empty();
}

TaskAnswer TakeAnswer(evhttp_request* response) {
  TaskAnswer answer;
  answer.status_ =
      static_cast<uint16_t>(evhttp_request_get_response_code(response));
  const evkeyvalq* fields = evhttp_request_get_input_headers(response);
  for (const evkeyval* kv = fields->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next) {
    if (IsHopByHop(kv->key) || SameFieldName(kv->key, kTaskField)) continue;
    answer.fields_.emplace_back(kv->key, kv->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(response);
  answer.body_.resize(evbuffer_get_length(body));
  evbuffer_remove(body, answer.body_.data(), answer.body_.size());
  return answer;
}

}  // namespace

class WorkerClient::Impl {
 public:
  Impl(event_base* base, std::function<void(AttemptEnded)> ended)
      : base_(base), ended_(std::move(ended)) {
    sweep_ = event_new(base, -1, 0, &OnSweep, this);
  }

  ~Impl() {
    closing_ = true;
    for (auto& [address, pool] : pools_) {
      pool.idle_.clear_and_dispose(&Delete);
    }
    for (auto& [attempt, link] : running_) Delete(link);
    closed_.clear_and_dispose(&Delete);
    event_free(sweep_);
  }

  void SetLimits(const WorkerClientLimits& limits) { limits_ = limits; }

  void Start(const StartTask& start) {
    Link* link = TakeLink(start.address_);
    if (link == nullptr) return ReportLater(start, Errc::kQueueFull);
    link->attempt_ = start.attempt_;
    link->task_id_ = start.task_id_;
    link->bytes_left_ = false;
    link->reported_ = false;
    link->errors_ = 0;
    running_.emplace(start.attempt_.value_, link);
    evhttp_request* request = MakeRequest(start, link);
    link->request_ = request;
    const TaskSpec& task = start.job_->tasks_[start.task_index_];
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    const bool known = ToMethod(task.method_, &method);
    if (!known) {
      evhttp_request_free(request);
      link->request_ = nullptr;
      return FailLater(link, Errc::kBadRequest);
    }
    ArmTimer(link, start.timeout_);
    const int made = evhttp_make_request(link->connection_, request, method,
                                         task.path_.c_str());
    if (made != 0 && !link->reported_) {
      link->request_ = nullptr;
      FailLater(link, Errc::kWorkerLinkLost);
    }
  }

  void Abandon(AttemptId attempt) {
    const auto found = running_.find(attempt.value_);
    if (found == running_.end()) return;
    Close(found->second);
  }

  void DropUnsent() {
    std::vector<Link*> unsent;
    for (const auto& [attempt, link] : running_) {
      if (!link->bytes_left_) unsent.push_back(link);
    }
    for (Link* link : unsent) {
      link->failure_ = Errc::kResumedAfterPause;
      Fail(link);
    }
  }

  uint32_t connections() const { return connections_; }

 private:
  using Hook = boost::intrusive::list_base_hook<>;

  // One connection to a worker.
  struct Link : Hook {
    Impl* owner_ = nullptr;
    Address address_;
    evhttp_connection* connection_ = nullptr;
    evhttp_request* request_ = nullptr;
    event* timer_ = nullptr;
    AttemptId attempt_;
    std::string task_id_;
    Duration timeout_;
    bool bytes_left_ = false;  // a byte of the request left this process
    bool reported_ = true;
    int errors_ = 0;
    std::error_code failure_;
  };
  using Links = boost::intrusive::list<Link>;

  struct Pool {
    Links idle_;
    uint32_t open_ = 0;
    bool keeps_alive_ = false;  // has kept a connection open before
  };

  static void Delete(Link* link) {
    event_free(link->timer_);
    evhttp_connection_free(link->connection_);
    delete link;
  }

  Link* TakeLink(const Address& address) {
    Pool& pool = pools_[address];
    if (!pool.idle_.empty()) {
      Link* link = &pool.idle_.front();
      pool.idle_.pop_front();
      return link;
    }
    if (pool.open_ >= limits_.max_connections_) return nullptr;
    ++pool.open_;
    ++connections_;
    return NewLink(address);
  }

  Link* NewLink(const Address& address) {
    auto* link = new Link;
    link->owner_ = this;
    link->address_ = address;
    link->timer_ = event_new(base_, -1, 0, &OnTimer, link);
    link->connection_ = evhttp_connection_base_new(
        base_, nullptr, address.host_.c_str(), address.port_);
    evhttp_connection_set_retries(link->connection_, 0);
    // Attempts end by their own timer.
    evhttp_connection_set_timeout(link->connection_, kLibraryTimeoutSeconds);
    evhttp_connection_set_max_body_size(
        link->connection_, static_cast<ev_ssize_t>(config::kMaxAnswerBytes));
    evhttp_connection_set_closecb(link->connection_, &OnClosed, link);
    bufferevent* bev = evhttp_connection_get_bufferevent(link->connection_);
    evbuffer_add_cb(bufferevent_get_output(bev), &OnOutput, link);
    return link;
  }

  evhttp_request* MakeRequest(const StartTask& start, Link* link) {
    const TaskSpec& task = start.job_->tasks_[start.task_index_];
    evhttp_request* request = evhttp_request_new(&OnResponse, link);
    evhttp_request_set_error_cb(request, &OnError);
    evkeyvalq* fields = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : task.fields_) {
      if (IsHopByHop(name)) continue;
      evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    if (FindField(task.fields_, "Host") == nullptr) {
      evhttp_add_header(fields, "Host", ToString(start.address_).c_str());
    }
    evhttp_add_header(fields, kTaskField, start.task_id_.c_str());
    evhttp_add_header(fields, kDeadlineField,
                      std::to_string(start.timeout_.ms_).c_str());
    if (!task.body_.empty()) {
      evbuffer_add(evhttp_request_get_output_buffer(request), task.body_.data(),
                   task.body_.size());
      const std::string length = std::to_string(task.body_.size());
      evhttp_add_header(fields, "Content-Length", length.c_str());
    }
    return request;
  }

  // First the connect time-out; once a byte has left, the task's own.
  void ArmTimer(Link* link, Duration timeout) {
    link->timeout_ = timeout;
    const timeval first =
        ToTimeval(std::min(timeout, limits_.connect_timeout_));
    event_add(link->timer_, &first);
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* link = static_cast<Link*>(arg);
    if (info->n_deleted == 0 || link->bytes_left_) return;
    link->bytes_left_ = true;
    if (link->reported_) return;
    const timeval whole = ToTimeval(link->timeout_);
    event_add(link->timer_, &whole);
  }

  static void OnTimer(int, short, void* arg) {
    auto* link = static_cast<Link*>(arg);
    link->failure_ = Errc::kWorkerTimeout;
    link->owner_->Fail(link);
  }

  static void OnError(evhttp_request_error error, void* arg) {
    auto* link = static_cast<Link*>(arg);
    ++link->errors_;
    link->failure_ = error == EVREQ_HTTP_DATA_TOO_LONG ? Errc::kAnswerTooLarge
                                                       : Errc::kWorkerLinkLost;
  }

  // The worker closed a connection that carries nothing.
  static void OnClosed(evhttp_connection*, void* arg) {
    auto* link = static_cast<Link*>(arg);
    if (!link->reported_) return;
    link->owner_->Discard(link);
  }

  static void OnResponse(evhttp_request* response, void* arg) {
    auto* link = static_cast<Link*>(arg);
    link->request_ = nullptr;
    if (link->reported_) return;
    const int status =
        response == nullptr ? 0 : evhttp_request_get_response_code(response);
    if (status == 0 || link->errors_ > 0) {
      if (!link->failure_) link->failure_ = Errc::kWorkerLinkLost;
      return link->owner_->Fail(link);
    }
    link->owner_->Finish(link, response, status);
  }

  void Finish(Link* link, evhttp_request* response, int status) {
    const evkeyvalq* fields = evhttp_request_get_input_headers(response);
    const std::string_view echo = Field(fields, kTaskField);
    const bool wrong_echo = !echo.empty() && echo != link->task_id_;
    if (wrong_echo || !IsFramed(response, status)) {
      link->failure_ = Errc::kWorkerLinkLost;
      return Fail(link);
    }
    Pool& pool = pools_[link->address_];
    const bool closes = SameFieldName(Field(fields, "Connection"), "close");
    AttemptEnded ended;
    ended.attempt_ = link->attempt_;
    ended.worker_leaving_ =
        !Field(fields, kLeavingField).empty() || (closes && pool.keeps_alive_);
    const bool refused = !Field(fields, kNotRunField).empty();
    ended.verdict_ = refused         ? Verdict::kRefused
                     : status >= 500 ? Verdict::kFailed
                                     : Verdict::kAnswered;
    if (refused) ended.error_ = Errc::kWorkersRefused;
    if (status >= 500 && !refused) ended.error_ = Errc::kWorkerFailed;
    ended.answer_ = TakeAnswer(response);
    if (closes) {
      Close(link);
    } else {
      pool.keeps_alive_ = true;
      Release(link);
    }
    ended_(std::move(ended));
  }

  // Ends an attempt whose exchange did not end cleanly.
  void Fail(Link* link) {
    AttemptEnded ended;
    ended.attempt_ = link->attempt_;
    ended.verdict_ =
        link->bytes_left_ ? Verdict::kUncertain : Verdict::kNotSent;
    ended.error_ = link->failure_;
    link->failure_ = {};
    Close(link);
    ended_(std::move(ended));
  }

  // Fails an attempt from the event loop instead of from within `Start`.
  void FailLater(Link* link, Errc error) {
    link->failure_ = error;
    event_del(link->timer_);
    event_add(link->timer_, &kNow);
    event_active(link->timer_, EV_TIMEOUT, 0);
  }

  // Reports an attempt for which there was no connection.
  void ReportLater(const StartTask& start, Errc error) {
    AttemptEnded ended;
    ended.attempt_ = start.attempt_;
    ended.verdict_ = Verdict::kNotSent;
    ended.error_ = error;
    unsent_.push_back(std::move(ended));
    event_active(sweep_, EV_TIMEOUT, 0);
  }

  void Release(Link* link) {
    event_del(link->timer_);
    running_.erase(link->attempt_.value_);
    link->reported_ = true;
    pools_[link->address_].idle_.push_front(*link);
  }

  // Closes a link that carries an attempt. The library may still be on the
  // stack, so the memory goes later.
  void Close(Link* link) {
    event_del(link->timer_);
    running_.erase(link->attempt_.value_);
    link->reported_ = true;
    if (link->request_ != nullptr) {
      evhttp_request* request = link->request_;
      link->request_ = nullptr;
      evhttp_cancel_request(request);
    }
    Discard(link);
  }

  void Discard(Link* link) {
    if (closing_ || link->owner_ == nullptr) return;
    link->owner_ = nullptr;
    if (link->is_linked()) {
      Links& idle = pools_[link->address_].idle_;
      idle.erase(idle.iterator_to(*link));
    }
    evhttp_connection_set_closecb(link->connection_, nullptr, nullptr);
    --pools_[link->address_].open_;
    --connections_;
    closed_.push_back(*link);
    event_active(sweep_, EV_TIMEOUT, 0);
  }

  static void OnSweep(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    self->closed_.clear_and_dispose(&Delete);
    std::vector<AttemptEnded> unsent;
    unsent.swap(self->unsent_);
    for (AttemptEnded& ended : unsent) self->ended_(std::move(ended));
  }

  event_base* base_;
  std::function<void(AttemptEnded)> ended_;
  WorkerClientLimits limits_;
  event* sweep_ = nullptr;
  bool closing_ = false;
  uint32_t connections_ = 0;
  std::map<Address, Pool> pools_;
  std::unordered_map<uint64_t, Link*> running_;
  Links closed_;
  std::vector<AttemptEnded> unsent_;
};

WorkerClient::WorkerClient(event_base* base,
                           std::function<void(AttemptEnded)> ended)
    : impl_(std::make_unique<Impl>(base, std::move(ended))) {}
WorkerClient::~WorkerClient() = default;

void WorkerClient::SetLimits(const WorkerClientLimits& limits) {
  impl_->SetLimits(limits);
}

void WorkerClient::Start(const StartTask& start) { impl_->Start(start); }

void WorkerClient::Abandon(AttemptId attempt) { impl_->Abandon(attempt); }

void WorkerClient::DropUnsent() { impl_->DropUnsent(); }

uint32_t WorkerClient::connections() const { return impl_->connections(); }

}  // namespace gentiandeal
