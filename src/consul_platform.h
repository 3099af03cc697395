#ifndef GENTIANDEAL_SRC_CONSUL_PLATFORM_H_
#define GENTIANDEAL_SRC_CONSUL_PLATFORM_H_

#include "platform.h"

struct event_base;

namespace gentiandeal {

/// Limits of a `ConsulPlatform`.
struct ConsulOptions {
  Duration call_timeout_{2000};  ///< Per call; a watch adds its wait.
  size_t max_response_bytes_ = 4 * 1024 * 1024;
};

/// Client of the Consul HTTP API. Each call uses its own connection and is sent
/// at most once.
class ConsulPlatform {
 public:
  /// @param base Event loop that runs the calls; must outlive this object.
  ConsulPlatform(event_base* base, const Address& address,
                 const ConsulOptions& options);
  /// Cancels open calls; their callbacks do not run.
  ~ConsulPlatform();
  ConsulPlatform(const ConsulPlatform&) = delete;
  ConsulPlatform& operator=(const ConsulPlatform&) = delete;

  void Get(const std::string& key, ValueCallback callback);
  void CompareAndSwap(const std::string& key, const std::string& value,
                      uint64_t index, SwapCallback callback);
  void Watch(const std::string& key, uint64_t index, Duration wait,
             ValueCallback callback);
  void List(const std::string& service, ListCallback callback);

  const PlatformCalls& calls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

static_assert(Platform<ConsulPlatform>);

// Decoders of HTTP responses; no I/O.

/// Decodes the response to `GET /v1/kv/<key>`.
/// @param index_header Value of the `X-Consul-Index` header; may be empty.
std::error_code DecodeConsulValue(int status, std::string_view index_header,
                                  std::string_view body, StoreValue* out);

/// Decodes the response to `PUT /v1/kv/<key>?cas=`.
std::error_code DecodeConsulSwap(int status, std::string_view body,
                                 SwapResult* out);

/// Decodes the response to `GET /v1/health/service/<name>`. Drops entries
/// without a usable address and repeated addresses.
std::error_code DecodeConsulList(int status, std::string_view body,
                                 std::vector<ListedService>* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CONSUL_PLATFORM_H_
