#include "http_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <unordered_map>

#include "http_server_connection.h"
#include "process_memory.h"
#include "socket_address.h"

namespace gentiandeal {
namespace {

constexpr int kListenBacklog = 1024;
constexpr Duration kTimeoutCheckInterval{1000};

void LimitSocketBuffers(int fd, int bytes) {
  if (bytes == 0) return;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/// The event library keeps a small block for each descriptor that it has seen,
/// for good. Allocated among the objects of a crowd of connections, these
/// blocks would keep the pages around them from being returned (2.8 MB for 700
/// connections), so they are allocated one after the other at the start.
void ReserveEventSlots(event_base* base, int fd, uint32_t count) {
  std::vector<int> copies;
  for (uint32_t i = 0; i < count; ++i) {
    const int copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (copy < 0) break;
    copies.push_back(copy);
    event* slot = event_new(
        base, copy, EV_READ, [](int, short, void*) {}, nullptr);
    event_add(slot, nullptr);
    event_free(slot);
  }
  for (const int copy : copies) close(copy);
}

std::string HostOf(const evhtp_connection_t* conn) {
  SocketAddress from;
  from.size_ = conn->saddr->sa_family == AF_INET6 ? sizeof(sockaddr_in6)
                                                  : sizeof(sockaddr_in);
  std::memcpy(&from.storage_, conn->saddr, from.size_);
  Address address;
  FromSocketAddress(from, &address);
  return address.host_;
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
  Impl(event_base* base, HttpServerEvents events,
       const HttpServerOptions& options)
      : base_(base),
        events_(std::move(events)),
        options_(options),
        shared_{options.limits_,
                ClientMemory(options.memory_),
                [this](const CallerRequest& head) {
                  return options_.uses_bodies_ && events_.uses_body_(head);
                },
                [this](const auto& ids) { CloseForOthers(ids); },
                {},
                {}},
        htp_(evhtp_new(base, this)) {
    evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
    // `HttpServerConnection` sends "100 Continue" where it reads the body.
    evhtp_disable_flag(htp_, EVHTP_FLAG_ENABLE_100_CONT);
    evhtp_set_gencb(htp_, &OnRequest, this);
    evhtp_set_post_accept_cb(htp_, &OnAccept, this);
    timeout_check_ = event_new(base, -1, EV_PERSIST, &OnTimeoutCheck, this);
    const timeval interval{kTimeoutCheckInterval.ms_ / 1000, 0};
    event_add(timeout_check_, &interval);
    last_check_ = clock_.Now();
  }

  ~Impl() {
    closing_ = true;
    event_free(timeout_check_);
    while (!connections_.empty()) {
      connections_.begin()->second->EndWithServer();
      evhtp_connection_free(connections_.begin()->first);
    }
    LogShed(shared_.memory_.TakePeak());
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
    LimitSocketBuffers(fd, shared_.limits_.socket_buffer_bytes_);
    if (options_.memory_mb_ > 0) {
      ReserveEventSlots(base_, fd, options_.memory_.max_connections_);
    }
    return LocalAddress(fd, &address_);
  }

  void WatchCallers(std::optional<Duration> silence_limit) {
    watches_callers_ = true;
    silence_limit_ = silence_limit;
  }

  void SetLimits(const HttpLimits& limits) {
    shared_.limits_ = LimitForMemory(limits, options_.memory_mb_);
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
      connection->OnPeerEnd();
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
  HttpServerStats stats() const {
    HttpServerStats stats = stats_;
    stats.load_ = shared_.shed_;
    stats.load_.connections_ = shared_.memory_.connections();
    for (size_t i = 0; i < kHeldKinds; ++i) {
      stats.load_.held_[i] = shared_.memory_.held(static_cast<HeldKind>(i));
    }
    return stats;
  }

 private:
  static evhtp_res OnAccept(evhtp_connection_t* conn, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const HttpServerConnection::Id id = ++self->last_connection_;
    const ClientMemory::Decision decision =
        self->shared_.memory_.Open(id, HostOf(conn), self->clock_.Now());
    self->CloseForOthers(decision.close_);
    if (!decision.granted_) {
      ++self->shared_.shed_.closed_[static_cast<size_t>(HttpClose::kCrowded)];
      return EVHTP_RES_ERROR;
    }
    auto& connection =
        self->connections_
            .emplace(conn, std::make_unique<HttpServerConnection>(
                               self->base_, conn, &self->shared_, id))
            .first->second;
    self->by_id_.emplace(id, connection.get());
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
    found->second->NoteUnanswered();
    self->DropPendingRequest(found->second.get());
    found->second->OnLibraryClose();
    if (found->second->refused()) ++self->stats_.refused_malformed_;
    self->by_id_.erase(found->second->id());
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
    connection->OnPeerEnd();
    self->DropPendingRequest(connection);
    connection->ScheduleClose();
  }

  static void OnTimeoutCheck(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const Time now = self->clock_.Now();
    self->check_late_ =
        std::max(Duration{}, now - self->last_check_ - kTimeoutCheckInterval);
    self->last_check_ = now;
    for (auto& [conn, connection] : self->connections_) {
      if (connection->CheckTimeouts(now)) ++self->stats_.request_timeouts_;
    }
    const ClientMemory::Peak peak = self->shared_.memory_.TakePeak();
    self->LogShed(peak);
    self->free_memory_.Note(peak.total_, self->shared_.memory_.total());
  }

  /// Logs what was refused and closed since the last call, one line for each
  /// reason.
  void LogShed(const ClientMemory::Peak& peak) {
    const HttpLoad& shed = shared_.shed_;
    const auto log = [&](std::string_view event, const auto& names,
                         const auto& counts, const auto& logged) {
      for (size_t i = 0; i < names.size(); ++i) {
        if (counts[i] == logged[i]) continue;
        spdlog::warn(
            "event={} server={} reason={} count={} connections={} peak_bytes={}"
            " largest_client={} largest_bytes={} check_late_ms={}",
            event, options_.name_, names[i], counts[i] - logged[i],
            shared_.memory_.connections(), peak.total_, peak.host_,
            peak.host_bytes_, check_late_.ms_);
      }
    };
    log("clients-refused", kHttpRefusalNames, shed.refused_, logged_.refused_);
    log("clients-closed", kHttpCloseNames, shed.closed_, logged_.closed_);
    log("requests-unanswered", kHttpUnansweredNames, shed.unanswered_,
        logged_.unanswered_);
    logged_ = shed;
  }

  void CloseForOthers(const std::vector<HttpServerConnection::Id>& ids) {
    for (const HttpServerConnection::Id id : ids) {
      const auto found = by_id_.find(id);
      if (found != by_id_.end()) found->second->CloseForOthers();
    }
  }

  static void OnRequest(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    HttpServerConnection* connection = self->Find(request->conn);
    CallerRequest http_request = connection->TakeRequest();
    ++self->stats_.requests_;
    const RequestId id{++self->last_request_};
    self->pending_requests_.emplace(id.value_, request);
    connection->pending_request_ = id;
    if (self->silence_limit_) {
      connection->silence_.emplace(*self->silence_limit_, self->clock_.Now());
    }
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
    const bool close_connection =
        connection->must_close() || reply.close_connection_;
    if (close_connection) {
      AddField(request, "Connection", "close");
    } else {
      AddKeepAlive(request);
    }
    if (reply.body_.empty()) AddField(request, "Content-Length", "0");
    // `HttpServerConnection` closes the connection once the reply is sent.
    evhtp_request_set_keepalive(request, 1);
    evhtp_send_reply(request, static_cast<evhtp_res>(reply.status_));
    connection->OnReplyQueued(close_connection);
  }

  /// Tells the sender how long it may use the connection for another request,
  /// so that none crosses the close of an idle connection.
  void AddKeepAlive(evhtp_request_t* request) const {
    const int64_t seconds = shared_.limits_.idle_timeout_.ms_ / 1000;
    if (seconds == 0) return;
    // For HTTP/1.0 the library adds this field itself.
    if (request->proto == EVHTP_PROTO_11) {
      AddField(request, "Connection", "keep-alive");
    }
    AddField(request, "Keep-Alive", "timeout=" + std::to_string(seconds));
  }

  event_base* base_;
  HttpServerEvents events_;
  HttpServerOptions options_;
  HttpServerShared shared_;
  HttpLoad logged_;
  FreeMemoryReturn free_memory_;
  evhtp_t* htp_;
  event* timeout_check_ = nullptr;
  Time last_check_;
  Duration check_late_;  ///< Of the last check for timeouts.
  MonotonicClock clock_;
  Address address_;
  uint64_t last_request_ = 0;
  HttpServerConnection::Id last_connection_ = 0;
  bool closing_ = false;
  bool watches_callers_ = false;
  std::optional<Duration> silence_limit_;
  std::unordered_map<evhtp_connection_t*, std::unique_ptr<HttpServerConnection>>
      connections_;
  std::unordered_map<HttpServerConnection::Id, HttpServerConnection*> by_id_;
  std::unordered_map<uint64_t, evhtp_request_t*> pending_requests_;
  HttpServerStats stats_;
};

HttpServer::HttpServer(event_base* base, HttpServerEvents events,
                       const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>(base, std::move(events), options)) {}
HttpServer::~HttpServer() = default;

std::error_code HttpServer::Listen(const Address& address) {
  return impl_->Listen(address);
}

void HttpServer::WatchCallers(std::optional<Duration> silence_limit) {
  impl_->WatchCallers(silence_limit);
}

void HttpServer::SetLimits(const HttpLimits& limits) {
  impl_->SetLimits(limits);
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

HttpServerStats HttpServer::stats() const { return impl_->stats(); }

}  // namespace gentiandeal
