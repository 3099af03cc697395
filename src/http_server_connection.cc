#include "http_server_connection.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>

#include "head_check.h"
#include "job_json.h"
#include "socket_address.h"

namespace gentiandeal {
namespace {

/// Unread bytes that are discarded before a close, at most.
constexpr size_t kMaxDiscardedBytes = 256 * 1024;
constexpr std::string_view kInvalidBody =
    "body is not valid: send Content-Length or good chunks";
constexpr std::string_view kMemoryInUse =
    "memory for requests is in use: send it again later";
constexpr std::string_view kServerEnds =
    "instance is shutting down: send it to another instance";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Memory of a parsed header field besides its text.
constexpr size_t kFieldBytes = sizeof(HttpField) + 32;

/// Stalled requests have made room by then.
constexpr Duration kRetryAfter{1000};

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
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Bad Request";
  }
}

std::string RefusalText(int status, Errc error, std::string_view detail) {
  JobAnswer answer;
  answer.error_ = error;
  if (status == 503) answer.retry_after_ = kRetryAfter;
  const std::string body = AnswerToJson(answer, detail);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += ReasonPhrase(status);
  text += "\r\nContent-Type: application/json";
  text += "\r\nGentiandeal-Outcome: not-run";
  if (status == 503) {
    text += "\r\nRetry-After: " + std::to_string(kRetryAfter.ms_ / 1000);
  }
  text += "\r\nConnection: close";
  text += "\r\nContent-Length: " + std::to_string(body.size());
  text += "\r\n\r\n" + body;
  return text;
}

HttpRefusal ReasonOf(int status) {
  if (status == 413) return HttpRefusal::kBodySize;
  return status == 431 ? HttpRefusal::kHeadSize : HttpRefusal::kMalformed;
}

bool WantsKeepAlive(const HeadCheck& head) {
  const std::string* connection = FindField(head.fields_, "Connection");
  if (connection == nullptr) return head.http11_;
  if (SameFieldName(*connection, "close")) return false;
  return head.http11_ || SameFieldName(*connection, "keep-alive");
}

bool ExpectsContinue(const std::vector<HttpField>& fields) {
  const std::string* expected = FindField(fields, "Expect");
  return expected != nullptr && SameFieldName(*expected, "100-continue");
}

// Writes to the socket directly, for a connection that is freed next with its
// output buffer. If the reply can't be written, the sender only sees the close.
void SendNow(int fd, const std::string& text) {
  [[maybe_unused]] const ssize_t sent =
      send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
}

// Sends what the kernel takes of a buffer that is freed next. Its library only
// writes it from the event loop. @returns whether all of it was sent.
bool SendBuffered(int fd, evbuffer* buffer) {
  std::array<evbuffer_iovec, 8> parts{};
  const int count = evbuffer_peek(buffer, -1, nullptr, parts.data(),
                                  static_cast<int>(parts.size()));
  msghdr message{};
  message.msg_iov = reinterpret_cast<iovec*>(parts.data());
  message.msg_iovlen =
      std::min<size_t>(static_cast<size_t>(count), parts.size());
  const ssize_t sent = sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
  return sent == static_cast<ssize_t>(evbuffer_get_length(buffer));
}

// A close with unread bytes resets the connection, which may discard the last
// reply on its way.
void DiscardUnread(int fd) {
  std::array<char, 4096> bytes;
  size_t discarded = 0;
  ssize_t size = 0;
  while (discarded < kMaxDiscardedBytes &&
         (size = recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
    discarded += static_cast<size_t>(size);
  }
}

}  // namespace

HttpServerConnection::HttpServerConnection(event_base* base,
                                           evhtp_connection_t* conn,
                                           HttpServerShared* shared, Id id)
    : socket_(conn->bev),
      close_event_(event_new(base, -1, 0, &OnClose, conn)),
      shared_(shared),
      id_(id),
      accepted_at_(shared->clock_.Now()) {
  BeginWait();
  bufferevent_data_cb read = nullptr;
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(socket_, &read, &write, &event, &arg);
  bufferevent* filter = bufferevent_filter_new(
      socket_, &OnInput, nullptr, BEV_OPT_CLOSE_ON_FREE, nullptr, this);
  bufferevent_setcb(filter, read, write, event, arg);
  bufferevent_enable(filter, EV_READ | EV_WRITE);
  bufferevent_setwatermark(socket_, EV_READ, 0,
                           shared->limits_.read_ahead_bytes_);
  evhtp_connection_set_bev(conn, filter);
  evbuffer_add_cb(bufferevent_get_output(socket_), &OnOutput, this);
}

HttpServerConnection::~HttpServerConnection() {
  evbuffer_remove_cb(bufferevent_get_output(socket_), &OnOutput, this);
  event_free(close_event_);
  shared_->memory_.Close(id_);
}

CallerRequest HttpServerConnection::TakeRequest() {
  first_request_wait_ =
      had_request_ ? Duration{0} : shared_->clock_.Now() - accepted_at_;
  had_request_ = true;
  reading_ = false;
  CallerRequest request = std::move(request_);
  request_ = {};
  return request;
}

void HttpServerConnection::OnReplyQueued(bool close_connection) {
  BeginWait();
  reply_bytes_ = evbuffer_get_length(bufferevent_get_output(socket_));
  shared_->memory_.HoldAnyway(id_, HeldKind::kOpenRequest, 0);
  shared_->memory_.HoldAnyway(id_, HeldKind::kReply, reply_bytes_);
  SetState(ClientState::kWaiting);
  if (close_connection) return CloseWhenSent();
  phase_ = Phase::kSendingReply;
  if (reply_bytes_ == 0) OnAllSent();
}

void HttpServerConnection::Refuse(HttpRefusal reason, int status, Errc error,
                                  std::string_view detail) {
  if (phase_ == Phase::kClosing) return;
  refused_ = true;
  ++shared_->shed_.refused_[static_cast<size_t>(reason)];
  FreeRequest();
  BeginWait();
  const std::string text = RefusalText(status, error, detail);
  bufferevent_write(socket_, text.data(), text.size());
  reply_bytes_ = text.size();
  shared_->memory_.HoldAnyway(id_, HeldKind::kReply, text.size());
  SetState(ClientState::kWaiting);
  CloseWhenSent();
}

void HttpServerConnection::CloseForOthers() {
  EndNow(HttpRefusal::kMemory, Errc::kQueueFull, kMemoryInUse);
  NoteUnanswered();
  FreeRequest();
  Close(HttpClose::kStalled);
}

void HttpServerConnection::NoteUnanswered() {
  if (std::exchange(end_noted_, true)) return;
  const auto count = [this](HttpUnanswered left) {
    ++shared_->shed_.unanswered_[static_cast<size_t>(left)];
  };
  if (IsSending()) return count(HttpUnanswered::kUnsent);
  if (phase_ == Phase::kAwaitingReply) return count(HttpUnanswered::kPending);
  if (refused_ || phase_ == Phase::kClosing) return;
  if (reading_) return count(HttpUnanswered::kPartial);
  if (HasUnread()) count(HttpUnanswered::kUnread);
}

void HttpServerConnection::EndNow(HttpRefusal reason, Errc error,
                                  std::string_view detail) {
  if (IsSending()) {
    end_noted_ = SendBuffered(socket(), bufferevent_get_output(socket_));
  } else if (phase_ != Phase::kAwaitingReply &&
             phase_ != Phase::kSkippingBody && phase_ != Phase::kClosing &&
             (reading_ || HasUnread())) {
    refused_ = true;
    ++shared_->shed_.refused_[static_cast<size_t>(reason)];
    SendNow(socket(), RefusalText(503, error, detail));
  }
  DiscardUnread(socket());
}

void HttpServerConnection::EndWithServer() {
  EndNow(HttpRefusal::kStopping, Errc::kDraining, kServerEnds);
}

void HttpServerConnection::OnLibraryClose() {
  if (!reading_ || refused_ || IsSending()) return;
  refused_ = true;
  ++shared_->shed_.refused_[static_cast<size_t>(HttpRefusal::kMalformed)];
  SendNow(socket(), RefusalText(400, Errc::kBadRequest, kInvalidBody));
}

void HttpServerConnection::ScheduleClose() {
  event_active(close_event_, EV_TIMEOUT, 0);
}

void HttpServerConnection::Close(HttpClose reason) {
  NoteUnanswered();
  ++shared_->shed_.closed_[static_cast<size_t>(reason)];
  phase_ = Phase::kClosing;
  reading_ = false;
  ScheduleClose();
}

bool HttpServerConnection::CheckTimeouts(Time now) {
  const ConnectionWait wait = CurrentWait();
  const uint64_t bytes =
      wait == ConnectionWait::kBody ? body_bytes_read_ : reply_bytes_;
  if (!timeout_.CheckOver(wait, bytes, now, *this)) return false;
  switch (wait) {
    case ConnectionWait::kHead:
    case ConnectionWait::kBody:
      Refuse(HttpRefusal::kTime, 408, Errc::kBadRequest,
             "request must arrive whole within " +
                 std::to_string(timeout_.Limit(wait, bytes).ms_) + " ms");
      return true;
    case ConnectionWait::kReplySent:
      Close(HttpClose::kSlowReply);
      break;
    case ConnectionWait::kSkippedBody:
      Close(HttpClose::kSlowBody);
      break;
    case ConnectionWait::kPeerEnd:
      ScheduleClose();
      break;
    case ConnectionWait::kRequest:
      Close(HttpClose::kIdle);
      break;
    case ConnectionWait::kNone:
      break;
  }
  return false;
}

ConnectionWait HttpServerConnection::CurrentWait() const {
  switch (phase_) {
    case Phase::kReadingHead:
      return reading_ ? ConnectionWait::kHead : ConnectionWait::kRequest;
    case Phase::kReadingBody:
      return ConnectionWait::kBody;
    case Phase::kSendingReply:
      return ConnectionWait::kReplySent;
    case Phase::kSkippingBody:
      return ConnectionWait::kSkippedBody;
    case Phase::kClosing:
      return IsSending() ? ConnectionWait::kReplySent
                         : ConnectionWait::kPeerEnd;
    case Phase::kAwaitingReply:
      break;
  }
  return ConnectionWait::kNone;
}

bool HttpServerConnection::IsSending() const {
  return evbuffer_get_length(bufferevent_get_output(socket_)) > 0;
}

bool HttpServerConnection::IsWritable() const {
  return gentiandeal::IsWritable(socket());
}

bool HttpServerConnection::HasUnread() const {
  return evbuffer_get_length(bufferevent_get_input(socket_)) > 0 ||
         HasUnreadBytes(socket());
}

void HttpServerConnection::SetState(ClientState state) {
  shared_->memory_.SetState(id_, state, shared_->clock_.Now());
}

bool HttpServerConnection::Hold(HeldKind kind, uint64_t bytes) {
  const ClientMemory::Decision decision =
      shared_->memory_.Hold(id_, kind, bytes, shared_->clock_.Now());
  if (!decision.close_.empty()) shared_->close_(decision.close_);
  return decision.granted_;
}

void HttpServerConnection::FreeRequest() {
  request_ = {};
  shared_->memory_.HoldAnyway(id_, HeldKind::kArriving, 0);
}

bufferevent_filter_result HttpServerConnection::OnInput(evbuffer* from,
                                                        evbuffer* to,
                                                        ev_ssize_t,
                                                        bufferevent_flush_mode,
                                                        void* arg) {
  auto* self = static_cast<HttpServerConnection*>(arg);
  return self->Read(from, to) ? BEV_OK : BEV_NEED_MORE;
}

// @returns whether a request was passed to the library.
bool HttpServerConnection::Read(evbuffer* from, evbuffer* to) {
  bool passed = false;
  if (phase_ != Phase::kReadingHead && phase_ != Phase::kReadingBody &&
      !uses_body_) {
    SkipBody(from);
  }
  if (phase_ == Phase::kReadingHead && discarded_) {
    // The reply before it has promised that another request would be read.
    Refuse(HttpRefusal::kMemory, 503, Errc::kQueueFull, kMemoryInUse);
  }
  if (phase_ == Phase::kReadingHead && ReadHead(from)) StartBody();
  if (phase_ == Phase::kReadingBody && ReadBody(from)) {
    PassRequest(to);
    passed = true;
    if (!uses_body_) SkipBody(from);
  }
  if (phase_ == Phase::kClosing) {
    evbuffer_drain(from, evbuffer_get_length(from));
  } else if (phase_ != Phase::kReadingHead && phase_ != Phase::kReadingBody) {
    HoldReadAhead(from);
  }
  return passed;
}

// Accounts the bytes behind the current request, and discards them when they
// are too many. Without room the socket would not be read, and its end not be
// seen.
void HttpServerConnection::HoldReadAhead(evbuffer* from) {
  const size_t size = evbuffer_get_length(from);
  const bool full = keeps_reading_ && phase_ == Phase::kAwaitingReply &&
                    size >= shared_->limits_.read_ahead_bytes_;
  if (!discarded_ && !full && Hold(HeldKind::kArriving, size)) return;
  discarded_ = true;
  evbuffer_drain(from, size);
  shared_->memory_.HoldAnyway(id_, HeldKind::kArriving, 0);
}

// Checks the head at the front of `from` and refuses an invalid one.
// @returns true when the head is complete and valid.
bool HttpServerConnection::ReadHead(evbuffer* from) {
  const RequestSizes& sizes = shared_->limits_.sizes_;
  const size_t arrived = evbuffer_get_length(from);
  if (arrived == 0) return false;
  if (!reading_) {
    reading_ = true;
    BeginWait();
    head_bytes_ = 0;
    head_bytes_seen_ = 0;
    SetState(ClientState::kWaiting);
  }
  // Bytes that were searched before aren't searched again, so that a head that
  // arrives byte by byte costs no more.
  evbuffer_ptr start;
  const size_t overlap = std::min(head_bytes_seen_, kHeadEnd.size() - 1);
  evbuffer_ptr_set(from, &start, head_bytes_seen_ - overlap, EVBUFFER_PTR_SET);
  const evbuffer_ptr end =
      evbuffer_search(from, kHeadEnd.data(), kHeadEnd.size(), &start);
  head_bytes_seen_ = arrived;
  if (end.pos < 0 && arrived <= sizes.max_head_bytes_) {
    HoldArriving(arrived);
    return false;
  }
  const size_t size = end.pos < 0
                          ? sizes.max_head_bytes_ + 1
                          : static_cast<size_t>(end.pos) + kHeadEnd.size();
  const auto* bytes = reinterpret_cast<const char*>(
      evbuffer_pullup(from, static_cast<ev_ssize_t>(size)));
  HeadCheck check = CheckHead({bytes, size}, sizes);
  if (check.state_ != HeadCheck::State::kValid) {
    Refuse(ReasonOf(check.status_), check.status_, check.error_, check.detail_);
    return false;
  }
  head_bytes_ = size + check.fields_.size() * kFieldBytes;
  remaining_bytes_ = check.body_bytes_;
  chunked_ = check.chunked_;
  keep_alive_ = WantsKeepAlive(check);
  http11_ = check.http11_;
  request_ = {std::move(check.method_), std::move(check.target_),
              std::move(check.fields_), ""};
  evbuffer_drain(from, size);
  return HoldArriving(evbuffer_get_length(from));
}

void HttpServerConnection::StartBody() {
  phase_ = Phase::kReadingBody;
  chunks_ = {};
  body_bytes_read_ = 0;
  const bool has_body = chunked_ || remaining_bytes_ > 0;
  uses_body_ = !has_body || shared_->uses_body_(request_);
  request_.body_discarded_ = !uses_body_;
  if (has_body && uses_body_ && http11_ && ExpectsContinue(request_.fields_)) {
    bufferevent_write(socket_, kContinue.data(), kContinue.size());
  }
}

// Moves the body at the front of `from` to the request. @returns true when the
// request is complete, as far as it is used.
bool HttpServerConnection::ReadBody(evbuffer* from) {
  if (!uses_body_) return true;
  const size_t arrived = evbuffer_get_length(from);
  shared_->memory_.Progress(id_, arrived, shared_->clock_.Now());
  if (chunked_) return ReadChunks(from);
  const size_t size = std::min<uint64_t>(arrived, remaining_bytes_);
  if (!GrowBody(size)) return false;
  std::string& body = request_.body_;
  const size_t before = body.size();
  body.resize(before + size);
  evbuffer_remove(from, body.data() + before, size);
  body_bytes_read_ += size;
  remaining_bytes_ -= size;
  return remaining_bytes_ == 0;
}

bool HttpServerConnection::ReadChunks(evbuffer* from) {
  const RequestSizes& sizes = shared_->limits_.sizes_;
  const size_t size = evbuffer_get_length(from);
  if (!GrowBody(size)) return false;
  const auto* bytes = reinterpret_cast<const char*>(
      evbuffer_pullup(from, static_cast<ev_ssize_t>(size)));
  if (!chunks_.On({bytes, size}, &request_.body_)) {
    Refuse(HttpRefusal::kMalformed, 400, Errc::kBadRequest, kInvalidBody);
    return false;
  }
  evbuffer_drain(from, size);
  body_bytes_read_ += size;
  // The framing may be as large as a head.
  if (request_.body_.size() > sizes.max_body_bytes_ ||
      body_bytes_read_ > sizes.max_body_bytes_ + sizes.max_head_bytes_) {
    Refuse(HttpRefusal::kBodySize, 413, Errc::kBodyTooLarge,
           "body must be at most " + std::to_string(sizes.max_body_bytes_) +
               " bytes");
    return false;
  }
  return chunks_.done();
}

// Makes room for `bytes` more of the body, twice as much as before so that the
// body is seldom moved. @returns false when the request was refused.
bool HttpServerConnection::GrowBody(size_t bytes) {
  std::string& body = request_.body_;
  const size_t needed = body.size() + bytes;
  if (needed <= body.capacity()) return true;
  size_t room = std::max(needed, 2 * body.capacity());
  if (!chunked_) room = std::min<size_t>(room, body.size() + remaining_bytes_);
  if (!HoldArriving(room)) return false;
  body.reserve(room);
  return true;
}

// Discards the rest of a body that isn't used.
void HttpServerConnection::SkipBody(evbuffer* from) {
  const size_t arrived = evbuffer_get_length(from);
  if (chunked_) {  // The connection closes after the reply.
    evbuffer_drain(from, arrived);
    return;
  }
  const size_t size = std::min<uint64_t>(arrived, remaining_bytes_);
  evbuffer_drain(from, size);
  remaining_bytes_ -= size;
  shared_->memory_.Progress(id_, size, shared_->clock_.Now());
  if (remaining_bytes_ > 0) return;
  uses_body_ = true;
  if (phase_ != Phase::kSkippingBody) return;
  phase_ = Phase::kReadingHead;
  timeout_.Restart(shared_->clock_.Now());
  SetState(ClientState::kIdle);
}

// The library needs only what it decides by: how to write the reply.
void HttpServerConnection::PassRequest(evbuffer* to) {
  phase_ = Phase::kAwaitingReply;
  shared_->memory_.HoldAnyway(id_, HeldKind::kArriving, 0);
  shared_->memory_.HoldAnyway(id_, HeldKind::kOpenRequest,
                              head_bytes_ + request_.body_.capacity());
  SetState(ClientState::kBusy);
  evbuffer_add_printf(to, "%s / HTTP/1.%d\r\n\r\n", request_.method_.c_str(),
                      http11_ ? 1 : 0);
}

bool HttpServerConnection::HoldArriving(size_t unread) {
  if (Hold(HeldKind::kArriving, head_bytes_ + unread)) return true;
  Refuse(HttpRefusal::kMemory, 503, Errc::kQueueFull, kMemoryInUse);
  return false;
}

void HttpServerConnection::CloseWhenSent() {
  phase_ = Phase::kClosing;
  reading_ = false;
  if (!IsSending()) ScheduleClose();
}

void HttpServerConnection::OnOutput(evbuffer* buffer,
                                    const evbuffer_cb_info* info, void* arg) {
  auto* self = static_cast<HttpServerConnection*>(arg);
  if (info->n_deleted == 0) return;
  const size_t unsent = evbuffer_get_length(buffer);
  ClientMemory& memory = self->shared_->memory_;
  memory.HoldAnyway(self->id_, HeldKind::kReply, unsent);
  memory.Progress(self->id_, info->n_deleted, self->shared_->clock_.Now());
  if (unsent == 0) self->OnAllSent();
}

void HttpServerConnection::OnAllSent() {
  if (phase_ == Phase::kSendingReply) {
    timeout_.Restart(shared_->clock_.Now());
    phase_ = uses_body_ ? Phase::kReadingHead : Phase::kSkippingBody;
    SetState(uses_body_ ? ClientState::kIdle : ClientState::kWaiting);
    // Reads a pipelined request that arrived before the reply was sent, or
    // refuses one of which bytes were discarded.
    if (!discarded_ &&
        evbuffer_get_length(bufferevent_get_input(socket_)) == 0) {
      return;
    }
    bufferevent_trigger(socket_, EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  if (phase_ != Phase::kClosing || write_shut_down_) return;
  // The other side has `kLingerTimeout` to read the last reply; an immediate
  // close could reset the connection and lose it.
  write_shut_down_ = true;
  timeout_.Restart(shared_->clock_.Now());
  SetState(ClientState::kLingering);
  shutdown(socket(), SHUT_WR);
}

void HttpServerConnection::OnClose(int, short, void* arg) {
  evhtp_connection_free(static_cast<evhtp_connection_t*>(arg));
}

}  // namespace gentiandeal
