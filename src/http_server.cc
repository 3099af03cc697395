#include "http_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <unordered_map>

#include "http_server_connection.h"
#include "socket_address.h"

namespace gentiandeal {
namespace {

constexpr int kListenBacklog = 1024;
constexpr timeval kTimeoutCheckInterval{1, 0};

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

HttpReply JsonReply(int status, std::string text) {
  HttpReply reply;
  reply.status_ = status;
  reply.fields_.emplace_back("Content-Type", "application/json");
  reply.body_ = std::move(text);
  return reply;
}

class HttpServer::Impl {
 public:
  Impl(event_base* base, HttpServerEvents events)
      : base_(base), events_(std::move(events)), htp_(evhtp_new(base, this)) {
    evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(htp_, &OnRequest, this);
    evhtp_set_post_accept_cb(htp_, &OnAccept, this);
    evhtp_set_parser_flags(htp_, EVHTP_PARSE_QUERY_FLAG_LENIENT);
    // Above the limit of `HttpServerConnection`, which refuses with a reply.
    evhtp_set_max_body_size(htp_, 2 * config::kMaxBodyBytes);
    timeout_check_ = event_new(base, -1, EV_PERSIST, &OnTimeoutCheck, this);
    event_add(timeout_check_, &kTimeoutCheckInterval);
  }

  ~Impl() {
    closing_ = true;
    event_free(timeout_check_);
    while (!connections_.empty()) {
      evhtp_connection_free(connections_.begin()->first);
    }
    evhtp_unbind_socket(htp_);
    evhtp_free(htp_);
  }

  std::error_code Listen(const Address& address) {
    const bool v6 = address.host_.find(':') != std::string::npos;
    const std::string host = (v6 ? "ipv6:" : "ipv4:") + address.host_;
    if (evhtp_bind_socket(htp_, host.c_str(), address.port_, kListenBacklog) !=
        0) {
      return {errno, std::generic_category()};
    }
    const int fd = evconnlistener_get_fd(htp_->server);
    if (watches_callers_) SetCallerKeepAlive(fd);
    return LocalAddress(fd, &address_);
  }

  void WatchCallers(std::optional<Duration> silence_limit) {
    watches_callers_ = true;
    silence_limit_ = silence_limit;
  }

  void Tick(Time now) {
    if (!silence_limit_) return;
    std::vector<std::pair<RequestId, Duration>> silent;
    for (const auto& [id, request] : pending_requests_) {
      HttpServerConnection* connection = Find(request->conn);
      if (!connection->silence_ || !connection->silence_->IsCheckDue(now)) {
        continue;
      }
      PeerActivity activity;
      if (const auto error = GetPeerActivity(connection->socket(), &activity)) {
        silence_limit_.reset();
        return events_.silence_unknown_(error);
      }
      if (connection->silence_->Check(activity, now)) {
        silent.emplace_back(RequestId{id}, activity.segment_age_);
      }
    }
    for (const auto& [id, silence] : silent) {
      const auto found = pending_requests_.find(id.value_);
      if (found == pending_requests_.end()) continue;
      HttpServerConnection* connection = Find(found->second->conn);
      events_.silent_(id, silence);
      DropPendingRequest(connection);
      connection->ScheduleClose();
    }
  }

  void StopListening() { evconnlistener_disable(htp_->server); }

  bool HasDisconnected(RequestId id) const {
    const auto found = pending_requests_.find(id.value_);
    return found == pending_requests_.end() ||
           HasPeerClosed(SocketOf(found->second));
  }

  Duration FirstRequestWait(RequestId id) const {
    const auto found = pending_requests_.find(id.value_);
    if (found == pending_requests_.end()) return {};
    return Find(found->second->conn)->first_request_wait();
  }

  Duration TimeSinceArrival(RequestId id) const {
    const auto found = pending_requests_.find(id.value_);
    PeerActivity activity;
    if (found == pending_requests_.end() ||
        GetPeerActivity(SocketOf(found->second), &activity)) {
      return {};
    }
    return activity.data_age_;
  }

  void Reply(RequestId id, const HttpReply& reply) {
    const auto found = pending_requests_.find(id.value_);
    if (found == pending_requests_.end()) return;
    evhtp_request_t* request = found->second;
    pending_requests_.erase(found);
    HttpServerConnection* connection = Find(request->conn);
    connection->pending_request_ = RequestId{};
    for (const auto& [name, value] : reply.fields_) {
      AddField(request, name, value);
    }
    evbuffer_add(request->buffer_out, reply.body_.data(), reply.body_.size());
    SendReply(request, connection, reply);
  }

  Address address() const { return address_; }
  const HttpServerStats& stats() const { return stats_; }

 private:
  static evhtp_res OnAccept(evhtp_connection_t* conn, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    auto& connection =
        self->connections_
            .emplace(conn,
                     std::make_unique<HttpServerConnection>(self->base_, conn))
            .first->second;
    if (self->watches_callers_) {
      connection->KeepReading();
      SetCallerKeepAlive(connection->socket());
    }
    ++self->stats_.open_connections_;
    const auto hook = [&](evhtp_hook_type type, auto callback) {
      // The library takes all hooks as one type and casts each one back.
      const auto generic = reinterpret_cast<void (*)()>(callback);
      evhtp_connection_set_hook(conn, type,
                                reinterpret_cast<evhtp_hook>(generic), self);
    };
    hook(evhtp_hook_on_request_fini, &OnRequestEnd);
    hook(evhtp_hook_on_connection_fini, &OnConnectionEnd);
    hook(evhtp_hook_on_event, &OnSocketEvent);
    return EVHTP_RES_OK;
  }

  int SocketOf(const evhtp_request_t* request) const {
    return Find(request->conn)->socket();
  }

  HttpServerConnection* Find(evhtp_connection_t* conn) const {
    const auto found = connections_.find(conn);
    return found == connections_.end() ? nullptr : found->second.get();
  }

  static evhtp_res OnRequestEnd(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    HttpServerConnection* connection = self->Find(request->conn);
    if (connection != nullptr) self->DropPendingRequest(connection);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnConnectionEnd(evhtp_connection_t* conn, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const auto found = self->connections_.find(conn);
    if (found == self->connections_.end()) return EVHTP_RES_OK;
    self->DropPendingRequest(found->second.get());
    found->second->OnLibraryClose();
    if (found->second->refused()) ++self->stats_.refused_malformed_;
    self->connections_.erase(found);
    --self->stats_.open_connections_;
    return EVHTP_RES_OK;
  }

  // The library keeps a connection that ended while a request awaits its
  // reply, so the disconnected caller is reported from here.
  static void OnSocketEvent(evhtp_connection_t* conn, short events, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    HttpServerConnection* connection = self->Find(conn);
    const bool ended = (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (connection == nullptr || !ended) return;
    self->DropPendingRequest(connection);
    connection->ScheduleClose();
  }

  static void OnTimeoutCheck(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const Time now = self->clock_.Now();
    for (auto& [conn, connection] : self->connections_) {
      if (connection->CheckTimeouts(now)) ++self->stats_.request_timeouts_;
    }
  }

  static void OnRequest(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    HttpServerConnection* connection = self->Find(request->conn);
    connection->OnRequest();
    ++self->stats_.requests_;
    const RequestId id{++self->last_request_};
    self->pending_requests_.emplace(id.value_, request);
    connection->pending_request_ = id;
    if (self->silence_limit_) {
      connection->silence_.emplace(*self->silence_limit_, self->clock_.Now());
    }
    CallerRequest http_request;
    http_request.method_ = htparser_get_methodstr_m(request->method);
    http_request.path_ = connection->target();
    http_request.fields_ = CopyFields(request->headers_in);
    http_request.body_ = TakeBody(request->buffer_in);
    self->events_.request_(id, std::move(http_request));
  }

  void DropPendingRequest(HttpServerConnection* connection) {
    if (!connection->pending_request_.valid()) return;
    const RequestId id = connection->pending_request_;
    connection->pending_request_ = RequestId{};
    pending_requests_.erase(id.value_);
    if (!closing_) events_.disconnected_(id);
  }

  void SendReply(evhtp_request_t* request, HttpServerConnection* connection,
                 const HttpReply& reply) {
    const bool close_connection = connection->must_close() ||
                                  reply.close_connection_ ||
                                  !WantsKeepAlive(request);
    if (close_connection) AddField(request, "Connection", "close");
    if (reply.body_.empty()) AddField(request, "Content-Length", "0");
    // `HttpServerConnection` closes the connection once the reply is sent.
    evhtp_request_set_keepalive(request, 1);
    evhtp_send_reply(request, static_cast<evhtp_res>(reply.status_));
    connection->OnReplyQueued(close_connection);
  }

  event_base* base_;
  HttpServerEvents events_;
  evhtp_t* htp_;
  event* timeout_check_ = nullptr;
  MonotonicClock clock_;
  Address address_;
  uint64_t last_request_ = 0;
  bool closing_ = false;
  bool watches_callers_ = false;
  std::optional<Duration> silence_limit_;
  std::unordered_map<evhtp_connection_t*, std::unique_ptr<HttpServerConnection>>
      connections_;
  std::unordered_map<uint64_t, evhtp_request_t*> pending_requests_;
  HttpServerStats stats_;
};

HttpServer::HttpServer(event_base* base, HttpServerEvents events)
    : impl_(std::make_unique<Impl>(base, std::move(events))) {}
HttpServer::~HttpServer() = default;

std::error_code HttpServer::Listen(const Address& address) {
  return impl_->Listen(address);
}

void HttpServer::WatchCallers(std::optional<Duration> silence_limit) {
  impl_->WatchCallers(silence_limit);
}

void HttpServer::Tick(Time now) { impl_->Tick(now); }

void HttpServer::StopListening() { impl_->StopListening(); }

bool HttpServer::HasDisconnected(RequestId request) const {
  return impl_->HasDisconnected(request);
}

Duration HttpServer::FirstRequestWait(RequestId request) const {
  return impl_->FirstRequestWait(request);
}

Duration HttpServer::TimeSinceArrival(RequestId request) const {
  return impl_->TimeSinceArrival(request);
}

void HttpServer::Reply(RequestId request, const HttpReply& reply) {
  impl_->Reply(request, reply);
}

Address HttpServer::address() const { return impl_->address(); }

const HttpServerStats& HttpServer::stats() const { return impl_->stats(); }

}  // namespace gentiandeal
