#include "http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <string.h>
#include <strings.h>

#include <utility>

#include "socket_address.h"

namespace gentiandeal {
namespace {

/// The same as servers' timeout of idle connections.
constexpr timeval kIdleTimeout{60, 0};
constexpr timeval kAtOnce{0, 0};
/// Exchanges end by their own timer. libevent's timeouts discard the readiness
/// of a socket that is found in the same pass of the event loop.
constexpr timeval kLibraryTimeout{24 * 3600, 0};
/// Until a timer looks again at a socket that the event loop hasn't dealt with.
constexpr timeval kRecheckInterval{0, 5 * 1000};

evhttp_cmd_type ParseMethod(std::string_view method) {
  constexpr std::pair<std::string_view, evhttp_cmd_type> kMethods[] = {
      {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},         {"DELETE", EVHTTP_REQ_DELETE},
      {"HEAD", EVHTTP_REQ_HEAD},       {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS},
  };
  for (const auto& [name, type] : kMethods) {
    if (name == method) return type;
  }
  return EVHTTP_REQ_GET;
}

void FillRequest(const Address& to, const HttpRequest& from,
                 evhttp_request* request) {
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : from.fields_) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  if (evhttp_find_header(fields, "Host") == nullptr) {
    evhttp_add_header(fields, "Host", ToString(to).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), from.body_.data(),
               from.body_.size());
}

HttpResponse ReadResponse(evhttp_request* request) {
  HttpResponse response;
  if (request == nullptr) return response;
  response.status_ = evhttp_request_get_response_code(request);
  response.complete_ = response.status_ != 0;
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    response.fields_.emplace_back(field->key, field->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  response.body_.resize(evbuffer_get_length(body));
  evbuffer_remove(body, response.body_.data(), response.body_.size());
  return response;
}

timeval ToTimeval(Duration duration) {
  return {static_cast<time_t>(duration.ms_ / 1000),
          static_cast<suseconds_t>(duration.ms_ % 1000 * 1000)};
}

/// Bytes of the first line of a request or response besides its path, and of
/// the separators around one header field.
constexpr size_t kFirstLineBytes = 20;
constexpr size_t kFieldSeparatorBytes = 4;

size_t FieldBytes(const evkeyvalq* fields) {
  size_t bytes = 0;
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    bytes += strlen(field->key) + strlen(field->value) + kFieldSeparatorBytes;
  }
  return bytes;
}

size_t ResponseBytes(const HttpResponse& response) {
  if (!response.complete_) return 0;
  size_t bytes = kFirstLineBytes + response.body_.size();
  for (const auto& [key, value] : response.fields_) {
    bytes += key.size() + value.size() + kFieldSeparatorBytes;
  }
  return bytes;
}

evutil_socket_t Descriptor(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

bool CanReuseConnection(const HttpResponse& response) {
  const std::string connection = response.Field("Connection");
  return response.complete_ && strcasecmp(connection.c_str(), "close") != 0;
}

}  // namespace

std::string HttpResponse::Field(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

HttpClient::HttpClient(event_base* base)
    : base_(base), deferred_(evtimer_new(base, &OnDeferred, this)) {}

HttpClient::~HttpClient() {
  while (!exchanges_.empty()) Cancel(exchanges_.begin()->first);
  while (!idle_.empty()) DropIdle(idle_.begin()->first);
  FreeClosing();
  event_free(deferred_);
}

evhttp_connection* HttpClient::TakeConnection(const Address& to) {
  std::vector<evhttp_connection*>& idle = idle_[to];
  while (!idle.empty()) {
    evhttp_connection* connection = idle.back();
    idle.pop_back();
    // The event loop may not have read yet that the server has closed it.
    if (!HasPeerClosed(Descriptor(connection))) return connection;
    FreeLater(connection);
  }
  evhttp_connection* connection =
      evhttp_connection_base_new(base_, nullptr, to.host_.c_str(), to.port_);
  evhttp_connection_set_retries(connection, 0);
  return connection;
}

HttpClient::ExchangeId HttpClient::Send(const Address& to,
                                        const HttpRequest& request,
                                        Duration timeout, Done done) {
  const ExchangeId id = next_id_++;
  Exchange& exchange = exchanges_[id];
  exchange.client_ = this;
  exchange.id_ = id;
  exchange.to_ = to;
  exchange.connection_ = TakeConnection(to);
  exchange.done_ = std::move(done);
  exchange.connects_ = Descriptor(exchange.connection_) < 0;
  exchange.timeout_ = timeout;
  exchange.request_ = evhttp_request_new(&HttpClient::OnDone, &exchange);
  // libevent reports errors of open connections only.
  evhttp_request_set_error_cb(
      exchange.request_, [](evhttp_request_error /*error*/, void* arg) {
        static_cast<Exchange*>(arg)->failure_ = HttpFailure::kDisconnected;
      });
  FillRequest(to, request, exchange.request_);
  ++traffic_.requests_;
  traffic_.bytes_sent_ +=
      kFirstLineBytes + request.path_.size() + request.body_.size() +
      FieldBytes(evhttp_request_get_output_headers(exchange.request_));
  evhttp_connection_set_timeout_tv(exchange.connection_, &kLibraryTimeout);
  StartTimer(&exchange);
  exchange.sending_ = true;
  const int error =
      evhttp_make_request(exchange.connection_, exchange.request_,
                          ParseMethod(request.method_), request.path_.c_str());
  exchange.sending_ = false;
  if (error != 0) exchange.request_ = nullptr;
  if (exchange.request_ == nullptr) {
    exchange.failure_ = HttpFailure::kRefused;
    event_del(exchange.timer_);
    FailLater(id);
  }
  return id;
}

/// Reports a failure from the event loop. When a connect fails immediately,
/// libevent calls back before the call that sends the request returns, or not
/// at all.
void HttpClient::FailLater(ExchangeId id) {
  failed_.push_back(id);
  event_add(deferred_, &kAtOnce);
}

void HttpClient::OnDeferred(evutil_socket_t /*fd*/, int16_t /*what*/,
                            void* arg) {
  auto* self = static_cast<HttpClient*>(arg);
  self->FreeClosing();
  for (const ExchangeId id : std::exchange(self->failed_, {})) {
    const auto found = self->exchanges_.find(id);
    if (found != self->exchanges_.end()) OnDone(nullptr, &found->second);
  }
}

void HttpClient::StartTimer(Exchange* exchange) {
  bufferevent* buffer =
      evhttp_connection_get_bufferevent(exchange->connection_);
  evbuffer_add_cb(bufferevent_get_input(buffer), &OnInput, exchange);
  evbuffer_add_cb(bufferevent_get_output(buffer), &OnOutput, exchange);
  exchange->timer_ = evtimer_new(base_, &OnTimeout, exchange);
  RestartTimer(exchange);
}

void HttpClient::RestartTimer(Exchange* exchange) {
  const timeval wait = ToTimeval(exchange->timeout_);
  event_add(exchange->timer_, &wait);
}

void HttpClient::StopTimer(Exchange* exchange) {
  bufferevent* buffer =
      evhttp_connection_get_bufferevent(exchange->connection_);
  evbuffer_remove_cb(bufferevent_get_input(buffer), &OnInput, exchange);
  evbuffer_remove_cb(bufferevent_get_output(buffer), &OnOutput, exchange);
  event_free(exchange->timer_);
}

void HttpClient::OnInput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                         void* arg) {
  if (info->n_added > 0) RestartTimer(static_cast<Exchange*>(arg));
}

void HttpClient::OnOutput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                          void* arg) {
  if (info->n_deleted == 0) return;
  auto* exchange = static_cast<Exchange*>(arg);
  exchange->any_byte_sent_ = true;
  RestartTimer(exchange);
}

/// Whether the event loop has something to read, or can go on with connecting
/// or sending.
bool HttpClient::IsReady(const Exchange& exchange) {
  bufferevent* buffer = evhttp_connection_get_bufferevent(exchange.connection_);
  pollfd wanted{bufferevent_getfd(buffer), POLLIN, 0};
  if (!exchange.any_byte_sent_ ||
      evbuffer_get_length(bufferevent_get_output(buffer)) > 0) {
    wanted.events |= POLLOUT;
  }
  return poll(&wanted, 1, 0) > 0;
}

void HttpClient::OnTimeout(evutil_socket_t /*fd*/, int16_t /*what*/,
                           void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  if (exchange->request_ == nullptr) return;  // its failure is reported next
  if (IsReady(*exchange)) {
    event_add(exchange->timer_, &kRecheckInterval);
    return;
  }
  const bool unsent = exchange->connects_ && !exchange->any_byte_sent_;
  evhttp_cancel_request(std::exchange(exchange->request_, nullptr));
  exchange->failure_ =
      unsent ? HttpFailure::kConnectTimeout : HttpFailure::kTimeout;
  OnDone(nullptr, exchange);
}

void HttpClient::OnDone(evhttp_request* request, void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  HttpClient* self = exchange->client_;
  if (exchange->sending_) {
    exchange->request_ = nullptr;  // to be reported later
    return;
  }
  HttpResponse response = ReadResponse(request);
  if (!response.complete_) {
    response.failure_ = exchange->failure_ == HttpFailure::kNone
                            ? HttpFailure::kRefused
                            : exchange->failure_;
  }
  StopTimer(exchange);
  self->traffic_.bytes_received_ += ResponseBytes(response);
  if (CanReuseConnection(response)) {
    // Otherwise libevent would close the idle connection after the timeout of
    // its last request.
    evhttp_connection_set_timeout_tv(exchange->connection_, &kIdleTimeout);
    // Sets TCP_NODELAY among others, so that later requests do not wait for the
    // acknowledgement of this one.
    if (exchange->connects_) SetTcpOptions(Descriptor(exchange->connection_));
    self->idle_[exchange->to_].push_back(exchange->connection_);
  } else {
    self->FreeLater(exchange->connection_);
  }
  // Whatever silenced an open connection has probably silenced the others that
  // were open then. A repetition must not wait for each of them in turn.
  if (response.failure_ == HttpFailure::kTimeout && !exchange->connects_) {
    self->DropIdle(exchange->to_);
  }
  const Done done = std::move(exchange->done_);
  self->exchanges_.erase(exchange->id_);
  done(response);
}

void HttpClient::DropIdle(const Address& to) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return;
  for (evhttp_connection* connection : found->second) FreeLater(connection);
  idle_.erase(found);
}

void HttpClient::Cancel(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  StopTimer(&found->second);
  if (found->second.request_ != nullptr) {
    evhttp_cancel_request(found->second.request_);
  }
  FreeLater(found->second.connection_);
  exchanges_.erase(found);
}

/// Frees a connection from the event loop: libevent still uses it while it
/// calls back.
void HttpClient::FreeLater(evhttp_connection* connection) {
  closing_.push_back(connection);
  event_add(deferred_, &kAtOnce);
}

void HttpClient::FreeClosing() {
  for (evhttp_connection* connection : std::exchange(closing_, {})) {
    evhttp_connection_free(connection);
  }
}

HttpResponse Fetch(const Address& to, const HttpRequest& request,
                   Duration timeout) {
  event_base* base = event_base_new();
  HttpResponse answer;
  {
    HttpClient client(base);
    client.Send(to, request, timeout, [&](const HttpResponse& response) {
      answer = response;
      event_base_loopbreak(base);
    });
    event_base_dispatch(base);
  }
  event_base_free(base);
  return answer;
}

}  // namespace gentiandeal
