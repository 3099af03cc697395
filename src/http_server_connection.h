#ifndef GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_
#define GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_

#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

#include "caller_request.h"
#include "caller_silence.h"
#include "chunk_check.h"
#include "client_memory.h"
#include "connection_timeout.h"
#include "http_limits.h"

namespace gentiandeal {

/// What the connections of one server share.
struct HttpServerShared {
  HttpLimits limits_;
  ClientMemory memory_;
  /// Whether the body of a request with this head will be used.
  std::function<bool(const CallerRequest& head)> uses_body_;
  /// Closes connections that were named by `memory_`.
  std::function<void(const std::vector<ClientMemory::Connection>&)> close_;
  /// Refusals and closes since the start.
  HttpLoad shed_;
  MonotonicClock clock_;
};

/// One accepted connection: a bufferevent filter between the socket and the
/// HTTP library. Collects one request at a time, within the limits and the
/// memory of the server, and passes only its method and version to the library,
/// which keeps more for a field or a chunk than the sender has sent. Refuses
/// invalid requests with an error reply, and closes only after the last reply
/// is sent.
class HttpServerConnection {
 public:
  using Id = ClientMemory::Connection;

  /// Installs the filter on a connection that the library just accepted and
  /// that `shared` has accounted under `id`.
  HttpServerConnection(event_base* base, evhtp_connection_t* conn,
                       HttpServerShared* shared, Id id);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  /// Reads on behind a request that awaits its reply, so that the end of the
  /// connection is noticed whatever the sender has sent before it. Bytes beyond
  /// the limit of the input are discarded, and the reply is the last one.
  void KeepReading() { keeps_reading_ = true; }

  /// The library has been passed a request. @returns the request; its body is
  /// empty if it isn't used.
  CallerRequest TakeRequest();

  /// Whether the connection must close after the reply to the current request.
  /// True for a chunked request: bytes of a following request may have been
  /// read as part of it. Also true once bytes of a following request were
  /// discarded.
  bool must_close() const { return chunked_ || discarded_ || !keep_alive_; }

  /// The reply has been given to the library.
  ///
  /// @param close_connection Whether to close the connection once the reply is
  /// sent; otherwise the next request is read.
  void OnReplyQueued(bool close_connection);

  /// Sends an error reply and closes the connection once it is sent.
  void Refuse(HttpRefusal reason, int status, Errc error,
              std::string_view detail);

  /// Closes the connection, whose memory or place others need. A reply is sent
  /// first, and the sender of a request that has arrived, whole or in part, is
  /// told that it was not run, both as far as the kernel takes it.
  void CloseForOthers();

  /// The other side has ended the connection.
  void OnPeerEnd() { end_noted_ = true; }

  /// Counts what this server leaves without an answer, as it ends the
  /// connection. Called before its state is given up; later calls do nothing.
  void NoteUnanswered();

  /// The library is about to free the connection. Sends status 400 when the
  /// current request is incomplete: the sender has ended it early.
  void OnLibraryClose();

  /// The server ends. Sends what is left of a reply as far as the kernel takes
  /// it, and refuses a request that has arrived but wasn't processed.
  void EndWithServer();

  int socket() const { return bufferevent_getfd(socket_); }

  /// Closes the connection from the event loop. Safe to call within the
  /// library's callbacks.
  void ScheduleClose();

  /// Refuses a request that did not arrive in time and closes an idle or
  /// lingering connection, or one whose sender takes no reply, unless the
  /// socket shows that this server is late itself. @returns true when a request
  /// was refused.
  bool CheckTimeouts(Time now);

  Id id() const { return id_; }

  /// Whether an error reply was written to this connection.
  bool refused() const { return refused_; }

  /// Time from the accepting of the connection until its first request was
  /// complete; zero for a later request.
  Duration first_request_wait() const { return first_request_wait_; }

  bool HasUnread() const;
  bool IsWritable() const;

  /// The request that awaits its reply, or an invalid id.
  RequestId pending_request_;
  /// Silence of the sender of `pending_request_`, where that is limited.
  std::optional<CallerSilence> silence_;

 private:
  enum class Phase : uint8_t {
    kReadingHead,
    kReadingBody,
    kAwaitingReply,
    kSendingReply,  ///< The next request is read once the reply is sent.
    kSkippingBody,  ///< The reply to a request whose body isn't used was sent.
    kClosing
  };

  static bufferevent_filter_result OnInput(evbuffer* from, evbuffer* to,
                                           ev_ssize_t limit,
                                           bufferevent_flush_mode mode,
                                           void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg);
  static void OnClose(int fd, short what, void* arg);

  bool Read(evbuffer* from, evbuffer* to);
  bool ReadHead(evbuffer* from);
  void StartBody();
  bool ReadBody(evbuffer* from);
  bool ReadChunks(evbuffer* from);
  bool GrowBody(size_t bytes);
  void SkipBody(evbuffer* from);
  void PassRequest(evbuffer* to);
  void HoldReadAhead(evbuffer* from);
  /// Accounts the bytes of the request that is arriving, with `unread` in the
  /// input. Refuses it if they don't fit.
  bool HoldArriving(size_t unread);
  bool Hold(HeldKind kind, uint64_t bytes);
  /// Frees what is kept of a request that is arriving.
  void FreeRequest();
  void CloseWhenSent();
  void OnAllSent();
  /// Starts the timeout of the next wait, under the limits in force now.
  void BeginWait() { timeout_.Begin(shared_->limits_, shared_->clock_.Now()); }
  ConnectionWait CurrentWait() const;
  /// Just before the connection is freed: sends what is left of a reply as far
  /// as the kernel takes it, or refuses a request that has arrived, whole or in
  /// part.
  void EndNow(HttpRefusal reason, Errc error, std::string_view detail);
  void Close(HttpClose reason);
  void SetState(ClientState state);
  bool IsSending() const;

  bufferevent* socket_;
  event* close_event_;
  HttpServerShared* shared_;
  Id id_;
  Time accepted_at_;
  bool had_request_ = false;
  Duration first_request_wait_;
  CallerRequest request_;  ///< Being read.
  bool http11_ = true;
  Phase phase_ = Phase::kReadingHead;
  bool reading_ = false;  // part of the current request has arrived
  bool uses_body_ = true;
  bool chunked_ = false;
  bool keep_alive_ = true;
  ChunkCheck chunks_;             // if chunked
  size_t head_bytes_ = 0;         // of the current request
  size_t head_bytes_seen_ = 0;    // without the end of the head
  uint64_t remaining_bytes_ = 0;  // of the body, not yet read; if not chunked
  uint64_t body_bytes_read_ = 0;  // with the framing of chunks
  bool refused_ = false;
  bool keeps_reading_ = false;
  bool discarded_ = false;
  bool write_shut_down_ = false;
  bool end_noted_ = false;
  ConnectionTimeout timeout_;
  uint64_t reply_bytes_ = 0;  // when the reply was queued
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_
