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
#include "socket_address.h"

namespace gentiandeal {
namespace {

constexpr timeval kNoDelay{0, 0};
constexpr int kLibraryTimeoutSeconds = 24 * 3600;

timeval ToTimeval(Duration duration) {
  const int64_t ms = std::max<int64_t>(duration.ms_, 0);
  return {static_cast<time_t>(ms / 1000),
          static_cast<suseconds_t>(ms % 1000 * 1000)};
}

bool ParseMethod(const std::string& name, evhttp_cmd_type* out) {
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

std::string_view HeaderValue(const evkeyvalq* fields, const char* name) {
  const char* value = evhttp_find_header(fields, name);
  return value == nullptr ? std::string_view() : value;
}

// Whether the response itself defines where its body ends. A body that ends
// with the close of the connection can't be told from a truncated one.
bool IsSelfDelimited(evhttp_request* response, int status) {
  if (status == 204 || status == 304) return true;
  if (evhttp_request_get_command(response) == EVHTTP_REQ_HEAD) return true;
  const evkeyvalq* fields = evhttp_request_get_input_headers(response);
  return !HeaderValue(fields, "Content-Length").empty() ||
         !HeaderValue(fields, "Transfer-Encoding").empty();
}

evutil_socket_t Descriptor(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
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
    deferred_event_ = event_new(base, -1, 0, &OnDeferred, this);
  }

  ~Impl() {
    closing_ = true;
    for (auto& [address, pool] : pools_) {
      pool.idle_.clear_and_dispose(&Delete);
    }
    for (auto& [attempt, connection] : running_) Delete(connection);
    closed_.clear_and_dispose(&Delete);
    event_free(deferred_event_);
  }

  void SetLimits(const WorkerClientLimits& limits) { limits_ = limits; }

  void Start(const StartTask& start) {
    Connection* connection = AcquireConnection(start.address_);
    if (connection == nullptr) return ReportLater(start, Errc::kQueueFull);
    connection->attempt_ = start.attempt_;
    connection->task_id_ = start.task_id_;
    connection->any_byte_sent_ = false;
    connection->reported_ = false;
    connection->errors_ = 0;
    running_.emplace(start.attempt_.value_, connection);
    evhttp_request* request = MakeRequest(start, connection);
    connection->request_ = request;
    const TaskSpec& task = start.job_->tasks_[start.task_index_];
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    const bool known = ParseMethod(task.method_, &method);
    if (!known) {
      evhttp_request_free(request);
      connection->request_ = nullptr;
      return FailLater(connection, Errc::kBadRequest);
    }
    ArmTimer(connection, start.timeout_);
    const int made = evhttp_make_request(connection->handle_, request, method,
                                         task.path_.c_str());
    if (made != 0 && !connection->reported_) {
      connection->request_ = nullptr;
      FailLater(connection, Errc::kWorkerLinkLost);
    }
  }

  void Cancel(AttemptId attempt) {
    const auto found = running_.find(attempt.value_);
    if (found == running_.end()) return;
    Close(found->second);
  }

  void FailUnsent() {
    std::vector<Connection*> unsent;
    for (const auto& [attempt, connection] : running_) {
      if (!connection->any_byte_sent_) unsent.push_back(connection);
    }
    for (Connection* connection : unsent) {
      connection->failure_ = Errc::kResumedAfterPause;
      Fail(connection);
    }
  }

  uint32_t connections() const { return connections_; }

 private:
  using ListHook = boost::intrusive::list_base_hook<>;

  // One connection to a worker and the attempt that runs on it, if any.
  struct Connection : ListHook {
    Impl* client_ = nullptr;
    Address address_;
    evhttp_connection* handle_ = nullptr;
    evhttp_request* request_ = nullptr;
    event* timer_ = nullptr;
    AttemptId attempt_;
    std::string task_id_;
    Duration timeout_;
    bool any_byte_sent_ = false;  // of the request
    bool reported_ = true;        // also while the connection is idle
    int errors_ = 0;
    std::error_code failure_;
  };
  using ConnectionList = boost::intrusive::list<Connection>;

  struct Pool {
    ConnectionList idle_;
    uint32_t open_ = 0;
    bool kept_alive_before_ = false;  // after an earlier response
  };

  static void Delete(Connection* connection) {
    event_free(connection->timer_);
    evhttp_connection_free(connection->handle_);
    delete connection;
  }

  Connection* AcquireConnection(const Address& address) {
    Pool& pool = pools_[address];
    while (!pool.idle_.empty()) {
      Connection* connection = &pool.idle_.front();
      // The event loop may not have read yet that the worker has closed it.
      if (!HasPeerClosed(Descriptor(connection->handle_))) {
        pool.idle_.pop_front();
        return connection;
      }
      Discard(connection);
    }
    if (pool.open_ >= limits_.max_connections_) return nullptr;
    ++pool.open_;
    ++connections_;
    return NewConnection(address);
  }

  Connection* NewConnection(const Address& address) {
    auto* connection = new Connection;
    connection->client_ = this;
    connection->address_ = address;
    connection->timer_ = event_new(base_, -1, 0, &OnTimer, connection);
    connection->handle_ = evhttp_connection_base_new(
        base_, nullptr, address.host_.c_str(), address.port_);
    evhttp_connection_set_retries(connection->handle_, 0);
    // Attempts end by their own timer, not by the library's timeout.
    evhttp_connection_set_timeout(connection->handle_, kLibraryTimeoutSeconds);
    evhttp_connection_set_max_body_size(
        connection->handle_, static_cast<ev_ssize_t>(config::kMaxAnswerBytes));
    evhttp_connection_set_closecb(connection->handle_, &OnClosed, connection);
    bufferevent* bev = evhttp_connection_get_bufferevent(connection->handle_);
    evbuffer_add_cb(bufferevent_get_output(bev), &OnOutput, connection);
    return connection;
  }

  evhttp_request* MakeRequest(const StartTask& start, Connection* connection) {
    const TaskSpec& task = start.job_->tasks_[start.task_index_];
    evhttp_request* request = evhttp_request_new(&OnResponse, connection);
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

  // Starts the connect timeout. Once the first byte is sent, `OnOutput`
  // replaces it by the timeout of the attempt.
  void ArmTimer(Connection* connection, Duration timeout) {
    connection->timeout_ = timeout;
    const timeval first =
        ToTimeval(std::min(timeout, limits_.connect_timeout_));
    event_add(connection->timer_, &first);
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if (info->n_deleted == 0 || connection->any_byte_sent_) return;
    connection->any_byte_sent_ = true;
    if (connection->reported_) return;
    const timeval whole = ToTimeval(connection->timeout_);
    event_add(connection->timer_, &whole);
  }

  static void OnTimer(int, short, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->failure_ = Errc::kWorkerTimeout;
    connection->client_->Fail(connection);
  }

  static void OnError(evhttp_request_error error, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    ++connection->errors_;
    connection->failure_ = error == EVREQ_HTTP_DATA_TOO_LONG
                               ? Errc::kAnswerTooLarge
                               : Errc::kWorkerLinkLost;
  }

  // Discards an idle connection that the worker has closed. The end of an
  // attempt is handled in `OnResponse`.
  static void OnClosed(evhttp_connection*, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if (!connection->reported_) return;
    connection->client_->Discard(connection);
  }

  static void OnResponse(evhttp_request* response, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->request_ = nullptr;
    if (connection->reported_) return;
    const int status =
        response == nullptr ? 0 : evhttp_request_get_response_code(response);
    if (status == 0 || connection->errors_ > 0) {
      if (!connection->failure_) connection->failure_ = Errc::kWorkerLinkLost;
      return connection->client_->Fail(connection);
    }
    connection->client_->Finish(connection, response, status);
  }

  void Finish(Connection* connection, evhttp_request* response, int status) {
    const evkeyvalq* fields = evhttp_request_get_input_headers(response);
    const std::string_view echo = HeaderValue(fields, kTaskField);
    const bool wrong_echo = !echo.empty() && echo != connection->task_id_;
    if (wrong_echo || !IsSelfDelimited(response, status)) {
      connection->failure_ = Errc::kWorkerLinkLost;
      return Fail(connection);
    }
    Pool& pool = pools_[connection->address_];
    const bool closes =
        SameFieldName(HeaderValue(fields, "Connection"), "close");
    AttemptEnded ended;
    ended.attempt_ = connection->attempt_;
    ended.worker_leaving_ = !HeaderValue(fields, kLeavingField).empty() ||
                            (closes && pool.kept_alive_before_);
    const bool refused = !HeaderValue(fields, kNotRunField).empty();
    ended.result_ = refused         ? AttemptResult::kRefused
                    : status >= 500 ? AttemptResult::kFailed
                                    : AttemptResult::kAnswered;
    if (refused) ended.error_ = Errc::kWorkersRefused;
    if (status >= 500 && !refused) ended.error_ = Errc::kWorkerFailed;
    ended.answer_ = TakeAnswer(response);
    if (closes) {
      Close(connection);
    } else {
      pool.kept_alive_before_ = true;
      ReturnToPool(connection);
    }
    ended_(std::move(ended));
  }

  // Ends an attempt without a valid answer: closes its connection and reports
  // it as not sent, or as uncertain once a byte was sent.
  void Fail(Connection* connection) {
    AttemptEnded ended;
    ended.attempt_ = connection->attempt_;
    ended.result_ = connection->any_byte_sent_ ? AttemptResult::kUncertain
                                               : AttemptResult::kNotSent;
    ended.error_ = connection->failure_;
    connection->failure_ = {};
    Close(connection);
    ended_(std::move(ended));
  }

  // Fails an attempt from the event loop, as `Start` must not report its end.
  void FailLater(Connection* connection, Errc error) {
    connection->failure_ = error;
    event_del(connection->timer_);
    event_add(connection->timer_, &kNoDelay);
    event_active(connection->timer_, EV_TIMEOUT, 0);
  }

  // Reports an attempt that got no connection, from the event loop.
  void ReportLater(const StartTask& start, Errc error) {
    AttemptEnded ended;
    ended.attempt_ = start.attempt_;
    ended.result_ = AttemptResult::kNotSent;
    ended.error_ = error;
    unsent_.push_back(std::move(ended));
    event_active(deferred_event_, EV_TIMEOUT, 0);
  }

  void ReturnToPool(Connection* connection) {
    event_del(connection->timer_);
    running_.erase(connection->attempt_.value_);
    connection->reported_ = true;
    pools_[connection->address_].idle_.push_front(*connection);
  }

  // Closes a connection that carries an attempt. Its memory is freed later from
  // the event loop, as the library may still be using it up the call stack.
  void Close(Connection* connection) {
    event_del(connection->timer_);
    running_.erase(connection->attempt_.value_);
    connection->reported_ = true;
    if (connection->request_ != nullptr) {
      evhttp_request* request = connection->request_;
      connection->request_ = nullptr;
      evhttp_cancel_request(request);
    }
    Discard(connection);
  }

  void Discard(Connection* connection) {
    if (closing_ || connection->client_ == nullptr) return;
    connection->client_ = nullptr;
    if (connection->is_linked()) {
      ConnectionList& idle = pools_[connection->address_].idle_;
      idle.erase(idle.iterator_to(*connection));
    }
    evhttp_connection_set_closecb(connection->handle_, nullptr, nullptr);
    --pools_[connection->address_].open_;
    --connections_;
    closed_.push_back(*connection);
    event_active(deferred_event_, EV_TIMEOUT, 0);
  }

  static void OnDeferred(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    self->closed_.clear_and_dispose(&Delete);
    std::vector<AttemptEnded> unsent;
    unsent.swap(self->unsent_);
    for (AttemptEnded& ended : unsent) self->ended_(std::move(ended));
  }

  event_base* base_;
  std::function<void(AttemptEnded)> ended_;
  WorkerClientLimits limits_;
  event* deferred_event_ = nullptr;
  bool closing_ = false;
  uint32_t connections_ = 0;
  std::map<Address, Pool> pools_;
  std::unordered_map<uint64_t, Connection*> running_;
  ConnectionList closed_;
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

void WorkerClient::Cancel(AttemptId attempt) { impl_->Cancel(attempt); }

void WorkerClient::FailUnsent() { impl_->FailUnsent(); }

uint32_t WorkerClient::connections() const { return impl_->connections(); }

}  // namespace gentiandeal
