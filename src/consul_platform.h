#ifndef GENTIANDEAL_SRC_CONSUL_PLATFORM_H_
#define GENTIANDEAL_SRC_CONSUL_PLATFORM_H_

#include "platform.h"

struct event_base;

namespace gentiandeal {

/// Limits of one client of the platform.
struct ConsulOptions {
  Duration call_timeout_{2000};  ///< Whole call; a watch's wait comes on top.
  size_t max_answer_bytes_ = 4 * 1024 * 1024;
};

/// Client of the Consul HTTP API. Each call has a connection of its own and
/// is sent at most once.
class ConsulPlatform {
 public:
  /// @param base Event loop that runs the calls; outlives this object.
  ConsulPlatform(event_base* base, const Address& address,
                 const ConsulOptions& options);
  /// Ends open calls without calling back.
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

// Decoding of answers, apart from the sockets.

/// Reads the answer of `GET /v1/kv/<key>`.
/// @param index_header Text of `X-Consul-Index`; may be empty.
std::error_code DecodeConsulValue(int status, std::string_view index_header,
                                  std::string_view body, StoreValue* out);

/// Reads the answer of `PUT /v1/kv/<key>?cas=`.
std::error_code DecodeConsulSwap(int status, std::string_view body,
                                 SwapResult* out);

/// Reads the answer of `GET /v1/health/service/<name>`. Entries without a
/// usable address are dropped.
std::error_code DecodeConsulList(int status, std::string_view body,
                                 std::vector<ListedService>* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CONSUL_PLATFORM_H_
