#ifndef GENTIANDEAL_SRC_PLATFORM_H_
#define GENTIANDEAL_SRC_PLATFORM_H_

#include "gentiandeal_p.h"

/// What the dispatcher asks of the platform. Another platform is another type
/// that models `Platform`.
namespace gentiandeal {

/// A value of the store as read.
struct StoreValue {
  bool found_ = false;
  std::string value_;
  uint64_t swap_index_ = 0;   ///< For `CompareAndSwap`; 0 when not found.
  uint64_t watch_index_ = 0;  ///< For the next `Watch`; 0 starts afresh.
};

/// How a compare-and-swap ended, when its answer arrived.
enum class SwapResult : uint8_t {
  kSwapped,
  kMissed,  ///< The index did not match; nothing was written.
};

/// One instance of a service in the platform's list. Absent facts are left at
/// their defaults: no information never means leaving.
struct ListedService {
  Address address_;
  std::string data_centre_;
  std::string region_;
  std::string rack_;
  uint16_t slots_ = 0;            ///< 0 when the list does not say.
  uint16_t max_connections_ = 0;  ///< 0 when the list does not say.
  Address peers_;                 ///< Of entry instances; port 0 when absent.
  bool leaving_ = false;
};

/// Calls sent to the platform. A waiting watch is one call.
struct PlatformCalls {
  uint64_t gets_ = 0;
  uint64_t swaps_ = 0;
  uint64_t watches_ = 0;
  uint64_t lists_ = 0;
  uint64_t failures_ = 0;  ///< Calls that ended without a usable answer.
};

using ValueCallback = std::function<void(std::error_code, const StoreValue&)>;
using SwapCallback = std::function<void(std::error_code, SwapResult)>;
using ListCallback =
    std::function<void(std::error_code, std::vector<ListedService>)>;

/// An asynchronous client of the platform. Each callback is called once, on
/// the thread of the event loop, and never from inside the call itself.
///
/// Errors: `kPlatformUnavailable` when a call had no effect, or is a read;
/// `kReplyLost` when a swap may have taken effect; `kPlatformBadAnswer` when
/// a read's answer can't be used.
///
/// - `Get(key, callback)` reads a value.
/// - `CompareAndSwap(key, value, index, callback)` writes when the value's
///   `swap_index_` is still `index`; 0 creates only.
/// - `Watch(key, index, wait, callback)` answers when the key moved past
///   `index`, or after `wait` with the value as it stands.
/// - `List(service, callback)` reads the instances of a service.
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

/// Workers of one data centre; others are dropped. Slots and connections the
/// list does not say take the given defaults.
std::vector<WorkerInfo> ToWorkers(const std::vector<ListedService>& services,
                                  std::string_view data_centre,
                                  uint16_t default_slots,
                                  uint16_t default_connections);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PLATFORM_H_
