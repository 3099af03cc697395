#ifndef GENTIANDEAL_SRC_PLATFORM_H_
#define GENTIANDEAL_SRC_PLATFORM_H_

#include "gentiandeal_p.h"

/// Interface to the platform: a key-value store and a service catalogue. To
/// support another platform, implement a type that models `Platform`.
namespace gentiandeal {

/// A value read from the store.
struct StoreValue {
  bool found_ = false;
  std::string value_;
  uint64_t swap_index_ = 0;   ///< Pass to `CompareAndSwap`; 0: not found.
  uint64_t watch_index_ = 0;  ///< Pass to the next `Watch`; 0: start anew.
};

/// Result of a compare-and-swap whose response arrived.
enum class SwapResult : uint8_t {
  kSwapped,
  kIndexMismatch,  ///< The index had changed; nothing was written.
};

/// One instance of a service in the platform's list. Fields that the list does
/// not give keep their defaults; in particular, a missing state never counts as
/// leaving.
struct ListedService {
  Address address_;
  std::string data_centre_;
  std::string region_;
  std::string rack_;
  uint16_t slots_ = 0;            ///< 0 when not given.
  uint16_t max_connections_ = 0;  ///< 0 when not given.
  /// Peer address of an entry instance; port 0: not given.
  Address peer_address_;
  bool leaving_ = false;
};

/// Calls sent to the platform since start. A pending watch counts once.
struct PlatformCalls {
  uint64_t gets_ = 0;
  uint64_t swaps_ = 0;
  uint64_t watches_ = 0;
  uint64_t lists_ = 0;
  uint64_t failures_ = 0;  ///< Calls that ended without a usable response.
};

using ValueCallback = std::function<void(std::error_code, const StoreValue&)>;
using SwapCallback = std::function<void(std::error_code, SwapResult)>;
using ListCallback =
    std::function<void(std::error_code, std::vector<ListedService>)>;

/// An asynchronous client of the platform. Each callback runs once, on the
/// event loop thread, and never before the call that takes it returns. None
/// runs after the client is destroyed.
///
/// Errors: `kPlatformUnavailable` when a call had no effect, or is a read;
/// `kReplyLost` when a swap may have taken effect; `kPlatformBadAnswer` when
/// any other response can't be used.
///
/// - `Get(key, callback)` reads a value.
/// - `CompareAndSwap(key, value, index, callback)` writes if the key's
///   `swap_index_` is still `index`; index 0 writes only if the key is absent.
/// - `Watch(key, index, wait, callback)` completes when the key has changed
///   since `index`, or after `wait` with the current value.
/// - `List(service, callback)` lists the instances of a service.
template <typename T>
concept Platform = requires(T& platform, const T& constant,
                            const std::string& text, uint64_t index,
                            Duration wait, ValueCallback on_value,
                            SwapCallback on_swap, ListCallback on_list) {
  {platform.Get(text, on_value)};
  {platform.CompareAndSwap(text, text, index, on_swap)};
  {platform.Watch(text, index, wait, on_value)};
  {platform.List(text, on_list)};
  { constant.calls() } -> std::convertible_to<PlatformCalls>;
};

/// Converts the listed services of `data_centre` to workers and drops those of
/// other data centres. The defaults replace slots and connection limits that
/// the list does not give.
std::vector<WorkerInfo> ToWorkers(const std::vector<ListedService>& services,
                                  std::string_view data_centre,
                                  uint16_t default_slots,
                                  uint16_t default_connections);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PLATFORM_H_
