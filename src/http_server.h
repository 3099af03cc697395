#ifndef GENTIANDEAL_SRC_HTTP_SERVER_H_
#define GENTIANDEAL_SRC_HTTP_SERVER_H_

#include "caller_request.h"
#include "gentiandeal_p.h"
#include "http_limits.h"

struct event_base;

namespace gentiandeal {

/// A complete HTTP response.
struct HttpReply {
  int status_ = 200;
  std::vector<HttpField> fields_;
  std::string body_;
  /// Closes the connection once the reply is sent.
  bool close_connection_ = false;
};

/// Response with the JSON text `text` as its body.
HttpReply JsonReply(int status, std::string text);

/// Callbacks of the server. Called on the event loop's thread.
struct HttpServerEvents {
  /// A complete request has arrived.
  std::function<void(RequestId, CallerRequest)> request_;
  /// The sender of a request disconnected before the reply.
  std::function<void(RequestId)> disconnected_ = [](RequestId) {};
  /// The sender of a request has been silent too long; `disconnected_` follows.
  std::function<void(RequestId, Duration silence)> silent_ = [](RequestId,
                                                                Duration) {};
  /// Whether the body of a request with this head will be used. If not, it is
  /// discarded as it arrives and the request is reported without it. Asked
  /// where the server uses bodies at all.
  std::function<bool(const CallerRequest& head)> uses_body_ =
      [](const CallerRequest&) { return true; };
  /// The kernel can't tell how long a sender has been silent. Called once.
  std::function<void(std::error_code)> silence_unknown_ = [](std::error_code) {
  };
};

struct HttpServerStats {
  uint64_t requests_ = 0;
  uint64_t refused_malformed_ = 0;  ///< Connections closed with an error reply.
  uint64_t request_timeouts_ = 0;   ///< Requests that did not arrive in time.
  uint64_t open_connections_ = 0;
  HttpLoad load_;
};

/// HTTP server based on libevhtp, with an `HttpServerConnection` in front of
/// each connection. Reads complete requests and writes each reply to the
/// connection of its request.
class HttpServer {
 public:
  HttpServer(event_base* base, HttpServerEvents events,
             const HttpServerOptions& options = {});
  ~HttpServer();

  /// Binds and listens. @returns the system's error on failure.
  std::error_code Listen(const Address& address);

  /// Notices the end of a connection with an open request at once, also if
  /// more requests were sent on it, and has the kernel probe all connections.
  /// Call before `Listen`.
  ///
  /// @param silence_limit The sender of an open request is disconnected when
  /// nothing was received from its host for so long. Not limited if empty or
  /// if the kernel can't tell.
  void WatchCallers(std::optional<Duration> silence_limit);

  /// Changes the limits of requests; those that apply where memory is limited
  /// are added. `socket_buffer_bytes_` and `read_ahead_bytes_` hold
  /// for connections that are accepted later.
  void SetLimits(const HttpLimits& limits);

  /// Checks for silent senders.
  void Tick(Time now);

  /// Stops accepting connections; open ones stay open.
  void StopListening();

  /// Whether the sender of a request is known to have disconnected, also if
  /// `disconnected_` has not been called yet.
  bool HasDisconnected(RequestId request) const;

  /// Time since the last bytes of a request arrived; zero if the kernel can't
  /// tell. Meaningful when the request is reported.
  Duration TimeSinceArrival(RequestId request) const;

  /// Time between the accepting of a connection and its first request; zero for
  /// a later request. Meaningful when the request is reported.
  Duration FirstRequestWait(RequestId request) const;

  /// Sends the reply to a request. Ignored when its sender has disconnected.
  void Reply(RequestId request, const HttpReply& reply);

  /// Bound address, with the port that the kernel chose.
  Address address() const;
  HttpServerStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_SERVER_H_
