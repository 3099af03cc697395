#include "consul_platform.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <boost/intrusive/list.hpp>

namespace gentiandeal {
namespace {

/// HTTP response of a call, as received.
struct RawResponse {
  int status_ = 0;         ///< 0 when no complete response arrived.
  bool not_sent_ = false;  ///< No byte of the request left this process.
  std::string index_;
  std::string body_;
};

using ResponseCallback = std::function<void(const RawResponse&)>;

timeval ToTimeval(Duration duration) {
  return {duration.ms_ / 1000, duration.ms_ % 1000 * 1000};
}

/// Consul lengthens a blocking query by up to this fraction of its wait, to
/// spread the load.
constexpr int64_t kWatchJitterDivisor = 16;
constexpr size_t kMaxResponseHeaderBytes = 16 * 1024;
constexpr Duration kImmediately{0};

/// One HTTP request on its own connection.
class Call : public boost::intrusive::list_base_hook<> {
 public:
  using Done = std::function<void(Call*)>;

  Call(event_base* base, const Address& address, size_t max_response_bytes,
       ResponseCallback callback, Done done)
      : callback_(std::move(callback)), done_(std::move(done)) {
    timer_ = evtimer_new(base, OnTimer, this);
    connection_ = evhttp_connection_base_new(
        base, nullptr, address.host_.c_str(), address.port_);
    evhttp_connection_set_retries(connection_, 0);
    evhttp_connection_set_max_headers_size(
        connection_, static_cast<ev_ssize_t>(kMaxResponseHeaderBytes));
    evhttp_connection_set_max_body_size(
        connection_, static_cast<ev_ssize_t>(max_response_bytes));
    request_ = evhttp_request_new(OnResponse, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Host", ToString(address).c_str());
    evhttp_add_header(headers, "Connection", "close");
  }

  ~Call() {
    // Cancel first: freeing the connection would run the request's callback.
    if (request_ != nullptr) evhttp_cancel_request(request_);
    evhttp_connection_free(connection_);
    event_free(timer_);
  }

  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Send(evhttp_cmd_type method, const std::string& path,
            const std::string& body, Duration timeout) {
    evbuffer_add(evhttp_request_get_output_buffer(request_), body.data(),
                 body.size());
    StartTimer(timeout);
    evhttp_connection_set_timeout_tv(connection_, &timeout_);
    if (evhttp_make_request(connection_, request_, method, path.c_str()) != 0) {
      request_ = nullptr;
      response_.not_sent_ = true;
      StartTimer(kImmediately);
    }
  }

 private:
  void StartTimer(Duration duration) {
    timeout_ = ToTimeval(duration);
    evtimer_add(timer_, &timeout_);
  }

  /// Stores the response and completes the call from the timer, as a connection
  /// must not be freed inside its own callback.
  static void OnResponse(evhttp_request* request, void* context) {
    auto* call = static_cast<Call*>(context);
    call->request_ = nullptr;
    call->StoreResponse(request);
    call->StartTimer(kImmediately);
  }

  void StoreResponse(evhttp_request* request) {
    // evhttp passes a null request when the exchange broke off, and one with
    // status 0 when it could not connect.
    if (request == nullptr) return;
    response_.status_ = evhttp_request_get_response_code(request);
    if (response_.status_ == 0) {
      response_.not_sent_ = true;
      return;
    }
    const char* index = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Consul-Index");
    if (index != nullptr) response_.index_ = index;
    evbuffer* body = evhttp_request_get_input_buffer(request);
    response_.body_.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, response_.body_.data(), response_.body_.size());
  }

  static void OnTimer(evutil_socket_t /*fd*/, short /*events*/,  // NOLINT
                      void* context) {
    auto* call = static_cast<Call*>(context);
    const ResponseCallback callback = std::move(call->callback_);
    const RawResponse response = std::move(call->response_);
    const Done done = call->done_;
    done(call);  // Destroys the call; the callback may destroy the client, too.
    callback(response);
  }

  ResponseCallback callback_;
  Done done_;
  evhttp_connection* connection_ = nullptr;
  evhttp_request* request_ = nullptr;
  event* timer_ = nullptr;
  timeval timeout_{};
  RawResponse response_;
};

std::string KeyPath(const std::string& key) { return "/v1/kv/" + key; }

}  // namespace

class ConsulPlatform::Impl {
 public:
  Impl(event_base* base, Address address, const ConsulOptions& options)
      : base_(base), address_(std::move(address)), options_(options) {}

  ~Impl() { open_calls_.clear_and_dispose(std::default_delete<Call>()); }

  void Start(evhttp_cmd_type method, const std::string& path,
             const std::string& body, Duration extra_time,
             ResponseCallback callback) {
    auto call = std::make_unique<Call>(
        base_, address_, options_.max_response_bytes_, std::move(callback),
        [this](Call* ended) {
          open_calls_.erase_and_dispose(open_calls_.iterator_to(*ended),
                                        std::default_delete<Call>());
        });
    open_calls_.push_back(*call);
    call.release()->Send(method, path, body,
                         options_.call_timeout_ + extra_time);
  }

  void StartRead(const std::string& path, Duration extra_time, uint64_t index,
                 ValueCallback callback) {
    Start(EVHTTP_REQ_GET, path, {}, extra_time,
          [this, index,
           callback = std::move(callback)](const RawResponse& response) {
            StoreValue value;
            std::error_code error = Errc::kPlatformUnavailable;
            if (response.status_ != 0) {
              error = DecodeConsulValue(response.status_, response.index_,
                                        response.body_, &value);
            }
            // An index below the last one means that Consul reset its indexes:
            // the next watch starts from 0.
            if (value.watch_index_ < index) value.watch_index_ = 0;
            CountFailure(error);
            callback(error, value);
          });
  }

  void CountFailure(const std::error_code& error) {
    if (error) ++calls_.failures_;
  }

  PlatformCalls calls_;

 private:
  event_base* base_;
  Address address_;
  ConsulOptions options_;
  boost::intrusive::list<Call> open_calls_;
};

ConsulPlatform::ConsulPlatform(event_base* base, const Address& address,
                               const ConsulOptions& options)
    : impl_(std::make_unique<Impl>(base, address, options)) {}

ConsulPlatform::~ConsulPlatform() = default;

const PlatformCalls& ConsulPlatform::calls() const { return impl_->calls_; }

void ConsulPlatform::Get(const std::string& key, ValueCallback callback) {
  ++impl_->calls_.gets_;
  impl_->StartRead(KeyPath(key), {}, 0, std::move(callback));
}

void ConsulPlatform::Watch(const std::string& key, uint64_t index,
                           Duration wait, ValueCallback callback) {
  ++impl_->calls_.watches_;
  const std::string path = KeyPath(key) + "?index=" + std::to_string(index) +
                           "&wait=" + std::to_string(wait.ms_) + "ms";
  const Duration extra{wait.ms_ + wait.ms_ / kWatchJitterDivisor};
  impl_->StartRead(path, extra, index, std::move(callback));
}

void ConsulPlatform::CompareAndSwap(const std::string& key,
                                    const std::string& value, uint64_t index,
                                    SwapCallback callback) {
  ++impl_->calls_.swaps_;
  const std::string path = KeyPath(key) + "?cas=" + std::to_string(index);
  Impl* impl = impl_.get();
  impl->Start(
      EVHTTP_REQ_PUT, path, value, {},
      [impl, callback = std::move(callback)](const RawResponse& response) {
        SwapResult result = SwapResult::kIndexMismatch;
        std::error_code error = Errc::kReplyLost;
        if (response.not_sent_) {
          error = Errc::kPlatformUnavailable;
        } else if (response.status_ != 0) {
          error = DecodeConsulSwap(response.status_, response.body_, &result);
        }
        impl->CountFailure(error);
        callback(error, result);
      });
}

void ConsulPlatform::List(const std::string& service, ListCallback callback) {
  ++impl_->calls_.lists_;
  Impl* impl = impl_.get();
  impl->Start(
      EVHTTP_REQ_GET, "/v1/health/service/" + service, {}, {},
      [impl, callback = std::move(callback)](const RawResponse& response) {
        std::vector<ListedService> services;
        std::error_code error = Errc::kPlatformUnavailable;
        if (response.status_ != 0) {
          error = DecodeConsulList(response.status_, response.body_, &services);
        }
        impl->CountFailure(error);
        callback(error, std::move(services));
      });
}

}  // namespace gentiandeal
