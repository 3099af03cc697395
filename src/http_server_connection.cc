#include "http_server_connection.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>

#include "head_check.h"
#include "job_json.h"

namespace gentiandeal {
namespace {

/// Longest time from the first byte of a request to its last.
constexpr Duration kRequestTimeout{10000};
/// A connection without a request is closed after this time.
constexpr Duration kIdleTimeout{60000};
/// Longest time between the last reply and the close. What the sender still
/// sends in this time is discarded.
constexpr Duration kLingerTimeout{2000};
constexpr std::string_view kInvalidBody =
    "body is not valid: send Content-Length or good chunks";
constexpr size_t kInputHighWatermarkBytes = 256 * 1024;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 414:
      return "URI Too Long";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Bad Request";
  }
}

std::string RefusalText(int status, Errc error, std::string_view detail) {
  JobAnswer answer;
  answer.error_ = error;
  const std::string body = AnswerToJson(answer, detail);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += ReasonPhrase(status);
  text += "\r\nContent-Type: application/json";
  text += "\r\nGentiandeal-Outcome: not-run";
  text += "\r\nConnection: close";
  text += "\r\nContent-Length: " + std::to_string(body.size());
  text += "\r\n\r\n" + body;
  return text;
}

}  // namespace

HttpServerConnection::HttpServerConnection(event_base* base,
                                           evhtp_connection_t* conn)
    : socket_(conn->bev),
      close_event_(event_new(base, -1, 0, &OnClose, conn)),
      accepted_at_(clock_.Now()),
      timeout_start_(accepted_at_) {
  bufferevent_data_cb read = nullptr;
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(socket_, &read, &write, &event, &arg);
  bufferevent* filter = bufferevent_filter_new(
      socket_, &OnInput, nullptr, BEV_OPT_CLOSE_ON_FREE, nullptr, this);
  bufferevent_setcb(filter, read, write, event, arg);
  bufferevent_enable(filter, EV_READ | EV_WRITE);
  bufferevent_setwatermark(socket_, EV_READ, 0, kInputHighWatermarkBytes);
  evhtp_connection_set_bev(conn, filter);
  evbuffer_add_cb(bufferevent_get_output(socket_), &OnOutput, this);
}

HttpServerConnection::~HttpServerConnection() {
  evbuffer_remove_cb(bufferevent_get_output(socket_), &OnOutput, this);
  event_free(close_event_);
}

void HttpServerConnection::OnRequest() {
  first_request_wait_ =
      had_request_ ? Duration{0} : clock_.Now() - accepted_at_;
  had_request_ = true;
  reading_ = false;
  phase_ = Phase::kAwaitingReply;
}

void HttpServerConnection::OnReplyQueued(bool close_connection) {
  timeout_start_ = clock_.Now();
  if (close_connection) return CloseWhenSent();
  phase_ = Phase::kReadingHead;
  // Reads a pipelined request that arrived before the reply.
  bufferevent_trigger(socket_, EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpServerConnection::Refuse(int status, Errc error,
                                  std::string_view detail) {
  if (phase_ == Phase::kClosing) return;
  refused_ = true;
  timeout_start_ = clock_.Now();
  const std::string text = RefusalText(status, error, detail);
  bufferevent_write(socket_, text.data(), text.size());
  CloseWhenSent();
}

void HttpServerConnection::OnLibraryClose() {
  if (!reading_ || refused_) return;
  evbuffer* output = bufferevent_get_output(socket_);
  if (evbuffer_get_length(output) > 0) return;
  refused_ = true;
  // Writes to the socket directly: the library frees the connection and its
  // output buffer next.
  const std::string text = RefusalText(400, Errc::kBadRequest, kInvalidBody);
  const int fd = bufferevent_getfd(socket_);
  // If the reply can't be written, the sender only sees the close.
  [[maybe_unused]] const ssize_t sent =
      send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
}

void HttpServerConnection::ScheduleClose() {
  event_active(close_event_, EV_TIMEOUT, 0);
}

bool HttpServerConnection::CheckTimeouts(Time now) {
  const Duration age = now - timeout_start_;
  if (phase_ == Phase::kClosing) {
    if (age > kLingerTimeout) ScheduleClose();
    return false;
  }
  if (reading_) {
    if (age <= kRequestTimeout) return false;
    Refuse(408, Errc::kBadRequest, "request must arrive whole within 10000 ms");
    return true;
  }
  if (phase_ == Phase::kReadingHead && age > kIdleTimeout) {
    ScheduleClose();
  }
  return false;
}

bufferevent_filter_result HttpServerConnection::OnInput(evbuffer* from,
                                                        evbuffer* to,
                                                        ev_ssize_t,
                                                        bufferevent_flush_mode,
                                                        void* arg) {
  auto* self = static_cast<HttpServerConnection*>(arg);
  if (self->phase_ == Phase::kClosing) {
    evbuffer_drain(from, evbuffer_get_length(from));
    return BEV_NEED_MORE;
  }
  if (self->phase_ == Phase::kReadingHead && !self->ReadHead(from)) {
    return BEV_NEED_MORE;
  }
  if (self->phase_ == Phase::kAwaitingReply && self->keeps_reading_) {
    self->DiscardExcess(from);
  }
  if (self->phase_ != Phase::kReadingBody) return BEV_NEED_MORE;
  return self->PassToLibrary(from, to) > 0 ? BEV_OK : BEV_NEED_MORE;
}

// Without room the socket would not be read, and its end not be seen.
void HttpServerConnection::DiscardExcess(evbuffer* from) {
  const size_t size = evbuffer_get_length(from);
  if (!discarded_ && size < kInputHighWatermarkBytes) return;
  discarded_ = true;
  evbuffer_drain(from, size);
}

// Checks the head at the front of `from` and refuses an invalid one.
// @returns true when the head is complete and valid.
bool HttpServerConnection::ReadHead(evbuffer* from) {
  const size_t size =
      std::min(evbuffer_get_length(from), config::kMaxHeadBytes + 1);
  if (size == 0) return false;
  if (!reading_) {
    reading_ = true;
    timeout_start_ = clock_.Now();
  }
  const auto* bytes = reinterpret_cast<const char*>(
      evbuffer_pullup(from, static_cast<ev_ssize_t>(size)));
  HeadCheck check = CheckHead({bytes, size});
  if (check.state_ == HeadCheck::State::kInvalid) {
    Refuse(check.status_, check.error_, check.detail_);
    return false;
  }
  if (check.state_ == HeadCheck::State::kIncomplete) return false;
  phase_ = Phase::kReadingBody;
  target_ = std::move(check.target_);
  chunked_ = check.chunked_;
  chunks_ = {};
  head_bytes_left_ = check.head_bytes_;
  remaining_bytes_ = check.head_bytes_ + check.body_bytes_;
  bytes_passed_ = 0;
  return true;
}

// @returns the number of bytes passed; 0 when the body is too large.
size_t HttpServerConnection::PassToLibrary(evbuffer* from, evbuffer* to) {
  size_t size = evbuffer_get_length(from);
  if (!chunked_) size = std::min<size_t>(size, remaining_bytes_);
  bytes_passed_ += size;
  if (bytes_passed_ > config::kMaxHeadBytes + config::kMaxBodyBytes) {
    Refuse(413, Errc::kBodyTooLarge, "body must be at most 4194304 bytes");
    return 0;
  }
  if (chunked_) {
    const auto* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(from, static_cast<ev_ssize_t>(size)));
    const size_t of_head = std::min(head_bytes_left_, size);
    head_bytes_left_ -= of_head;
    if (!chunks_.On({bytes + of_head, size - of_head})) {
      Refuse(400, Errc::kBadRequest, kInvalidBody);
      return 0;
    }
  }
  evbuffer_remove_buffer(from, to, size);
  if (chunked_) return size;
  remaining_bytes_ -= size;
  if (remaining_bytes_ == 0) phase_ = Phase::kAwaitingReply;
  return size;
}

void HttpServerConnection::CloseWhenSent() {
  phase_ = Phase::kClosing;
  reading_ = false;
  if (evbuffer_get_length(bufferevent_get_output(socket_)) == 0) {
    ScheduleClose();
  }
}

// Shuts down the sending side once the last reply is sent. The other side then
// has `kLingerTimeout` to read it; an immediate close could reset the
// connection and lose the reply.
void HttpServerConnection::OnOutput(evbuffer* buffer,
                                    const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<HttpServerConnection*>(arg);
  if (self->phase_ != Phase::kClosing || info->n_deleted == 0) return;
  if (evbuffer_get_length(buffer) > 0 || self->write_shut_down_) return;
  self->write_shut_down_ = true;
  shutdown(bufferevent_getfd(self->socket_), SHUT_WR);
}

void HttpServerConnection::OnClose(int, short, void* arg) {
  evhtp_connection_free(static_cast<evhtp_connection_t*>(arg));
}

}  // namespace gentiandeal
