#ifndef GENTIANDEAL_SRC_HTTP_CLIENT_H_
#define GENTIANDEAL_SRC_HTTP_CLIENT_H_

#include <event2/event.h>

#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gentiandeal_p.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

/// HTTP client of the operators' commands, of `platform/` and of the tools.
/// The dispatcher sends tasks with `WorkerClient` instead.
namespace gentiandeal {

struct HttpRequest {
  std::string method_ = "GET";
  std::string path_ = "/";
  std::vector<HttpField> fields_;
  std::string body_;
};

/// Why an exchange has no complete response.
enum class HttpFailure : uint8_t {
  kNone,
  kRefused,         ///< The connection was refused: nothing was sent.
  kConnectTimeout,  ///< No answer to the connection request: nothing was sent.
  kDisconnected,    ///< The connection ended, or the response was malformed.
  kTimeout,         ///< No progress in time.
};

struct HttpResponse {
  bool complete_ = false;  ///< False when the connection failed or timed out.
  HttpFailure failure_ = HttpFailure::kNone;
  int status_ = 0;
  std::vector<HttpField> fields_;
  std::string body_;

  /// @returns the value of a header field, empty when it is absent.
  std::string Field(std::string_view name) const;
};

/// Traffic of a client since it was created. Bytes of requests and responses
/// without the headers of TCP and IP.
struct HttpTraffic {
  uint64_t requests_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

/// HTTP client with persistent connections. Each connection carries one request
/// at a time, and no request is sent twice.
class HttpClient {
 public:
  using Done = std::function<void(const HttpResponse&)>;
  using ExchangeId = uint64_t;

  /// @param base Event loop; must outlive the client.
  explicit HttpClient(event_base* base);
  /// Closes all connections without calling back. Not to be called from `done`.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request on an idle or a new connection.
  ///
  /// @param timeout Longest time without progress: for the response to start,
  /// or between two parts of it. What has arrived by then counts, even if this
  /// process is late and hasn't read it.
  /// @param done Called once from the event loop unless cancelled before.
  ExchangeId Send(const Address& to, const HttpRequest& request,
                  Duration timeout, Done done);

  /// Closes the connection of an exchange whose response is still awaited. Its
  /// `done` is not called. Ignored for an exchange that has ended.
  void Cancel(ExchangeId id);

  /// Number of exchanges whose response is still awaited.
  size_t open() const { return exchanges_.size(); }
  const HttpTraffic& traffic() const { return traffic_; }

 private:
  struct Exchange {
    HttpClient* client_ = nullptr;
    ExchangeId id_ = 0;
    Address to_;
    evhttp_connection* connection_ = nullptr;
    evhttp_request* request_ = nullptr;
    event* timer_ = nullptr;  ///< Since the last progress.
    Done done_;
    bool connects_ = false;       ///< Its connection wasn't open before.
    bool sending_ = false;        ///< `Send` hasn't returned yet.
    bool any_byte_sent_ = false;  ///< Of the request.
    Duration timeout_;
    HttpFailure failure_ = HttpFailure::kNone;
  };

  static void OnDone(evhttp_request* request, void* arg);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg);
  static void OnTimeout(evutil_socket_t fd, int16_t what, void* arg);
  static void OnDeferred(evutil_socket_t fd, int16_t what, void* arg);
  void StartTimer(Exchange* exchange);
  static void RestartTimer(Exchange* exchange);
  static void StopTimer(Exchange* exchange);
  static bool IsReady(const Exchange& exchange);
  evhttp_connection* TakeConnection(const Address& to);
  /// Closes the idle connections to an address.
  void DropIdle(const Address& to);
  void FailLater(ExchangeId id);
  void FreeLater(evhttp_connection* connection);
  void FreeClosing();

  event_base* base_;
  event* deferred_;  ///< Deals with `closing_` and `failed_`.
  ExchangeId next_id_ = 1;
  HttpTraffic traffic_;
  std::map<ExchangeId, Exchange> exchanges_;
  std::map<Address, std::vector<evhttp_connection*>> idle_;
  std::vector<evhttp_connection*> closing_;
  std::vector<ExchangeId> failed_;
};

/// Sends one request and blocks until its response. Runs a private event loop.
HttpResponse Fetch(const Address& to, const HttpRequest& request,
                   Duration timeout);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_HTTP_CLIENT_H_
