#ifndef GENTIANDEAL_SRC_HTTP_SERVER_H_
#define GENTIANDEAL_SRC_HTTP_SERVER_H_

#include "caller_request.h"
#include "gentiandeal_p.h"

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
};

struct HttpServerStats {
  uint64_t requests_ = 0;
  uint64_t refused_malformed_ = 0;  ///< Connections closed with an error reply.
  uint64_t request_timeouts_ = 0;   ///< Requests that did not arrive in time.
  uint64_t open_connections_ = 0;
};

/// HTTP server based on libevhtp, with an `HttpServerConnection` in front of
/// each connection. Reads complete requests and writes each reply to the
/// connection of its request.
class HttpServer {
 public:
  HttpServer(event_base* base, HttpServerEvents events);
  ~HttpServer();

  /// Binds and listens. @returns the system's error on failure.
  std::error_code Listen(const Address& address);

  /// Notices the end of a connection with an open request at once, also if
  /// more requests were sent on it. Holds for connections accepted later.
  void WatchCallers();

  /// Stops accepting connections; open ones stay open.
  void StopListening();

  /// Whether the sender of a request is known to have disconnected, also if
  /// `disconnected_` has not been called yet.
  bool HasDisconnected(RequestId request) const;

  /// Sends the reply to a request. Ignored when its sender has disconnected.
  void Reply(RequestId request, const HttpReply& reply);

  /// Bound address, with the port that the kernel chose.
  Address address() const;
  const HttpServerStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_SERVER_H_
