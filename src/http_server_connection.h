#ifndef GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_
#define GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_

#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

#include "caller_silence.h"
#include "chunk_check.h"
#include "gentiandeal_p.h"

namespace gentiandeal {

/// One accepted connection: a bufferevent filter between the socket and the
/// HTTP library. Passes the bytes of one request at a time to the library,
/// refuses invalid request heads with an error reply, and closes only after the
/// last reply is sent.
class HttpServerConnection {
 public:
  /// Installs the filter on a connection that the library just accepted.
  HttpServerConnection(event_base* base, evhtp_connection_t* conn);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  /// Reads on behind a request that awaits its reply, so that the end of the
  /// connection is noticed whatever the sender has sent before it. Bytes beyond
  /// the limit of the input are discarded, and the reply is the last one.
  void KeepReading() { keeps_reading_ = true; }

  /// The library has parsed a complete request.
  void OnRequest();

  /// Path and query of the current request, as sent. The library's copy may
  /// also contain parts of a form body.
  const std::string& target() const { return target_; }

  /// Whether the connection must close after the reply to the current request.
  /// True for a chunked request: its end is not known here, so that bytes of a
  /// following request may already have been passed to the library. Also true
  /// once bytes of a following request were discarded.
  bool must_close() const { return chunked_ || discarded_; }

  /// The reply has been given to the library.
  ///
  /// @param close_connection Whether to close the connection once the reply is
  /// sent; otherwise the next request is read.
  void OnReplyQueued(bool close_connection);

  /// Sends an error reply and closes the connection once it is sent.
  void Refuse(int status, Errc error, std::string_view detail);

  /// The library is about to free the connection. Sends status 400 when the
  /// current request is incomplete: the library closes without a reply when it
  /// finds a malformed body.
  void OnLibraryClose();

  int socket() const { return bufferevent_getfd(socket_); }

  /// Closes the connection from the event loop. Safe to call within the
  /// library's callbacks.
  void ScheduleClose();

  /// Refuses a request that did not arrive in time and closes an idle or
  /// lingering connection. @returns true when a request was refused.
  bool CheckTimeouts(Time now);

  /// Whether an error reply was written to this connection.
  bool refused() const { return refused_; }

  /// Time from the accepting of the connection until its first request was
  /// complete; zero for a later request.
  Duration first_request_wait() const { return first_request_wait_; }

  /// The request that awaits its reply, or an invalid id.
  RequestId pending_request_;
  /// Silence of the sender of `pending_request_`, where that is limited.
  std::optional<CallerSilence> silence_;

 private:
  enum class Phase : uint8_t {
    kReadingHead,
    kReadingBody,
    kAwaitingReply,
    kClosing
  };

  static bufferevent_filter_result OnInput(evbuffer* from, evbuffer* to,
                                           ev_ssize_t limit,
                                           bufferevent_flush_mode mode,
                                           void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg);
  static void OnClose(int fd, short what, void* arg);

  bool ReadHead(evbuffer* from);
  size_t PassToLibrary(evbuffer* from, evbuffer* to);
  void DiscardExcess(evbuffer* from);
  void CloseWhenSent();

  bufferevent* socket_;
  event* close_event_;
  MonotonicClock clock_;
  Time accepted_at_;
  bool had_request_ = false;
  Duration first_request_wait_;
  std::string target_;
  Phase phase_ = Phase::kReadingHead;
  bool reading_ = false;  // part of the current request has arrived
  bool chunked_ = false;
  ChunkCheck chunks_;           // if chunked
  size_t head_bytes_left_ = 0;  // of the current request, not yet passed
  bool refused_ = false;
  bool keeps_reading_ = false;
  bool discarded_ = false;
  bool write_shut_down_ = false;
  uint64_t remaining_bytes_ = 0;  // of the current request, not yet passed
  uint64_t bytes_passed_ = 0;     // of the current request, head included
  Time timeout_start_;            // of the request, idle or linger timeout
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_SERVER_CONNECTION_H_
