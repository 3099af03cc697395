#ifndef GENTIANDEAL_SRC_SETTINGS_KEYS_H_
#define GENTIANDEAL_SRC_SETTINGS_KEYS_H_

#include <array>
#include <variant>

#include "settings.h"

/// Tables of the keys that a branch may hold.
namespace gentiandeal {

template <typename T>
using Member = std::variant<double T::*, Duration T::*, uint16_t T::*,
                            uint32_t T::*, uint64_t T::*, bool T::*>;

/// How a branch's value is bound by its parent's.
enum class Bound : uint8_t {
  kFree,
  kWithinParent,  ///< At most the parent's; 0 is unlimited.
  kQuota,         ///< So, and the children's own values together, too.
};

template <typename T>
struct SettingsKey {
  std::string_view name_;
  Unit unit_ = Unit::kCount;
  Range range_;
  Member<T> member_;
  Bound bound_ = Bound::kFree;
};

inline constexpr double kMaxMs = 600 * 1000;
inline constexpr double kMaxBufferBytes = 1024.0 * 1024 * 1024;

inline constexpr std::array<SettingsKey<TeamSettings>, 8> kTeamKeys{{
    {"weight",
     Unit::kNumber,
     {0.01, 1000},
     &TeamSettings::weight_,
     Bound::kFree},
    {"default_deadline",
     Unit::kDuration,
     {1, kMaxMs},
     &TeamSettings::default_deadline_,
     Bound::kFree},
    {"max_deadline",
     Unit::kDuration,
     {1, kMaxMs},
     &TeamSettings::max_deadline_,
     Bound::kWithinParent},
    {"max_queued_tasks",
     Unit::kCount,
     {1, 1e6},
     &TeamSettings::max_queued_tasks_,
     Bound::kWithinParent},
    {"task_quota",
     Unit::kCount,
     {0, 1e6},
     &TeamSettings::task_quota_,
     Bound::kQuota},
    {"starts_per_second",
     Unit::kRate,
     {0, 1e6},
     &TeamSettings::starts_per_second_,
     Bound::kQuota},
    {"max_buffered_bytes",
     Unit::kBytes,
     {1024, kMaxBufferBytes},
     &TeamSettings::max_buffered_bytes_,
     Bound::kWithinParent},
    {"retry_percent",
     Unit::kPercent,
     {0, 100},
     &TeamSettings::retry_percent_,
     Bound::kFree},
}};

inline constexpr std::array<SettingsKey<ServiceSettings>, 13> kServiceKeys{{
    {"worker_slots",
     Unit::kCount,
     {1, config::kMaxSlotsPerWorker},
     &ServiceSettings::worker_slots_,
     Bound::kFree},
    {"worker_connections",
     Unit::kCount,
     {1, 1024},
     &ServiceSettings::worker_connections_,
     Bound::kFree},
    {"connect_timeout",
     Unit::kDuration,
     {1, 10000},
     &ServiceSettings::connect_timeout_,
     Bound::kFree},
    {"timeout_factor",
     Unit::kNumber,
     {1, 1000},
     &ServiceSettings::timeout_factor_,
     Bound::kFree},
    {"min_task_timeout",
     Unit::kDuration,
     {1, kMaxMs},
     &ServiceSettings::min_task_timeout_,
     Bound::kFree},
    {"max_queued_tasks",
     Unit::kCount,
     {1, 1e6},
     &ServiceSettings::max_queued_tasks_,
     Bound::kFree},
    {"max_buffered_bytes",
     Unit::kBytes,
     {1024 * 1024, kMaxBufferBytes},
     &ServiceSettings::max_buffered_bytes_,
     Bound::kFree},
    {"retry_percent",
     Unit::kPercent,
     {0, 100},
     &ServiceSettings::retry_percent_,
     Bound::kFree},
    {"ejection",
     Unit::kSwitch,
     {0, 1},
     &ServiceSettings::ejection_,
     Bound::kFree},
    {"max_set_aside_percent",
     Unit::kPercent,
     {0, 100},
     &ServiceSettings::max_set_aside_percent_,
     Bound::kFree},
    {"set_aside",
     Unit::kDuration,
     {1, 60000},
     &ServiceSettings::set_aside_,
     Bound::kFree},
    {"forward_to_data_centres",
     Unit::kSwitch,
     {0, 1},
     &ServiceSettings::forward_to_data_centres_,
     Bound::kFree},
    {"max_forward_percent",
     Unit::kPercent,
     {0, 100},
     &ServiceSettings::max_forward_percent_,
     Bound::kFree},
}};

/// Reads a member as the number that `ParseValue` gives for it.
template <typename T>
double GetMember(const T& object, const Member<T>& member) {
  return std::visit(
      [&](auto pointer) {
        const auto& value = object.*pointer;
        if constexpr (requires { value.ms_; }) {
          return static_cast<double>(value.ms_);
        } else {
          return static_cast<double>(value);
        }
      },
      member);
}

/// Sets a member from the number that `ParseValue` gave for it.
template <typename T>
void SetMember(double value, const Member<T>& member, T* object) {
  std::visit(
      [&](auto pointer) {
        auto& target = object->*pointer;
        if constexpr (requires { target.ms_; }) {
          target.ms_ = static_cast<int64_t>(value);
        } else {
          target =
              static_cast<std::remove_reference_t<decltype(target)>>(value);
        }
      },
      member);
}

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SETTINGS_KEYS_H_
