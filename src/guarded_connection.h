#ifndef GENTIANDEAL_SRC_GUARDED_CONNECTION_H_
#define GENTIANDEAL_SRC_GUARDED_CONNECTION_H_

#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// One caller's connection. Stands between the socket and the HTTP library:
/// passes on the bytes of one request at a time, refuses faulty heads with an
/// answer, and closes only after the last answer has left.
class GuardedConnection {
 public:
  /// Takes over the input of a connection that the library just accepted.
  GuardedConnection(event_base* base, evhtp_connection_t* conn);
  ~GuardedConnection();
  GuardedConnection(const GuardedConnection&) = delete;
  GuardedConnection& operator=(const GuardedConnection&) = delete;

  /// The library has handed over a whole request.
  void OnRequest();

  /// Target of the present request as it was sent. The library's own form may
  /// hold parts of a form body.
  const std::string& target() const { return target_; }

  /// Whether the answer to the present request must be the last one.
  bool must_close() const { return chunked_; }

  /// The answer has been given to the library. @param last Closes once it
  /// has left; else the next request may pass.
  void OnAnswered(bool last);

  /// Answers with a refusal and closes.
  void Refuse(int status, Errc error, std::string_view detail);

  /// The library is about to free the connection; in the middle of a body it
  /// has found a fault and says nothing.
  void OnLibraryClose();

  /// Closes from the event loop. Safe within the library's callbacks.
  void CloseSoon();

  /// Refuses a slow request and closes an idle connection. @returns true when
  /// the request was refused as slow.
  bool Sweep(Time now);

  /// Whether a refusal was written on this connection.
  bool refused() const { return refused_; }

  /// The request whose answer is awaited, or an invalid id.
  RequestId waiting_;

 private:
  enum class Phase : uint8_t { kHead, kBody, kAnswer, kClosing };

  static bufferevent_filter_result OnInput(evbuffer* from, evbuffer* to,
                                           ev_ssize_t limit,
                                           bufferevent_flush_mode mode,
                                           void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg);
  static void OnClose(int fd, short what, void* arg);

  bool ReadHead(evbuffer* from);
  size_t PassOn(evbuffer* from, evbuffer* to);
  void CloseWhenSent();

  bufferevent* socket_;
  event* close_event_;
  MonotonicClock clock_;
  std::string target_;
  Phase phase_ = Phase::kHead;
  bool reading_ = false;  // some bytes of the present request have arrived
  bool chunked_ = false;
  bool refused_ = false;
  bool shut_ = false;
  uint64_t left_ = 0;       // bytes of the present request still to pass
  uint64_t body_read_ = 0;  // bytes passed of a chunked request
  Time since_;              // of the present phase
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_GUARDED_CONNECTION_H_
