#ifndef GENTIANDEAL_SRC_SETTINGS_KEYS_H_
#define GENTIANDEAL_SRC_SETTINGS_KEYS_H_

#include <array>
#include <variant>

#include "settings.h"

/// Tables of the keys that a branch may set.
namespace gentiandeal {

template <typename T>
using MemberPointer = std::variant<double T::*, Duration T::*, uint16_t T::*,
                                   uint32_t T::*, uint64_t T::*, bool T::*>;

/// How the value of the parent branch limits that of a branch.
enum class ParentLimit : uint8_t {
  kNone,
  kAtMostParent,  ///< At most the parent's value; 0 is unlimited.
  kSharedQuota,   ///< As kAtMostParent, and so is the sum over the branches
                  ///< under one parent that set a value themselves.
};

/// One key of the INI text and the member that it sets.
template <typename T>
struct SettingsKey {
  std::string_view name_;
  ValueType unit_ = ValueType::kCount;
  Range range_;
  MemberPointer<T> member_;
  ParentLimit parent_limit_ = ParentLimit::kNone;
};

inline constexpr double kMaxDurationMs = 600 * 1000;
inline constexpr double kMaxBufferBytes = 1024.0 * 1024 * 1024;

inline constexpr std::array<SettingsKey<TeamSettings>, 8> kTeamKeys{{
    {"weight",
     ValueType::kNumber,
     {0.01, 1000},
     &TeamSettings::weight_,
     ParentLimit::kNone},
    {"default_deadline",
     ValueType::kDuration,
     {1, kMaxDurationMs},
     &TeamSettings::default_deadline_,
     ParentLimit::kNone},
    {"max_deadline",
     ValueType::kDuration,
     {1, kMaxDurationMs},
     &TeamSettings::max_deadline_,
     ParentLimit::kAtMostParent},
    {"max_queued_tasks",
     ValueType::kCount,
     {1, 1e6},
     &TeamSettings::max_queued_tasks_,
     ParentLimit::kAtMostParent},
    {"task_quota",
     ValueType::kCount,
     {0, 1e6},
     &TeamSettings::task_quota_,
     ParentLimit::kSharedQuota},
    {"starts_per_second",
     ValueType::kRate,
     {0, 1e6},
     &TeamSettings::starts_per_second_,
     ParentLimit::kSharedQuota},
    {"max_buffered_bytes",
     ValueType::kBytes,
     {1024, kMaxBufferBytes},
     &TeamSettings::max_buffered_bytes_,
     ParentLimit::kAtMostParent},
    {"retry_percent",
     ValueType::kPercent,
     {0, 100},
     &TeamSettings::retry_percent_,
     ParentLimit::kNone},
}};

inline constexpr std::array<SettingsKey<ServiceSettings>, 13> kServiceKeys{{
    {"worker_slots",
     ValueType::kCount,
     {1, config::kMaxSlotsPerWorker},
     &ServiceSettings::worker_slots_,
     ParentLimit::kNone},
    {"worker_connections",
     ValueType::kCount,
     {1, 1024},
     &ServiceSettings::worker_connections_,
     ParentLimit::kNone},
    {"connect_timeout",
     ValueType::kDuration,
     {1, 10000},
     &ServiceSettings::connect_timeout_,
     ParentLimit::kNone},
    {"timeout_factor",
     ValueType::kNumber,
     {1, 1000},
     &ServiceSettings::timeout_factor_,
     ParentLimit::kNone},
    {"min_task_timeout",
     ValueType::kDuration,
     {1, kMaxDurationMs},
     &ServiceSettings::min_task_timeout_,
     ParentLimit::kNone},
    {"max_queued_tasks",
     ValueType::kCount,
     {1, 1e6},
     &ServiceSettings::max_queued_tasks_,
     ParentLimit::kNone},
    {"max_buffered_bytes",
     ValueType::kBytes,
     {1024 * 1024, kMaxBufferBytes},
     &ServiceSettings::max_buffered_bytes_,
     ParentLimit::kNone},
    {"retry_percent",
     ValueType::kPercent,
     {0, 100},
     &ServiceSettings::retry_percent_,
     ParentLimit::kNone},
    {"ejection",
     ValueType::kSwitch,
     {0, 1},
     &ServiceSettings::ejection_,
     ParentLimit::kNone},
    {"max_set_aside_percent",
     ValueType::kPercent,
     {0, 100},
     &ServiceSettings::max_ejected_percent_,
     ParentLimit::kNone},
    {"set_aside",
     ValueType::kDuration,
     {1, 60000},
     &ServiceSettings::ejection_time_,
     ParentLimit::kNone},
    {"forward_to_data_centres",
     ValueType::kSwitch,
     {0, 1},
     &ServiceSettings::forward_to_data_centres_,
     ParentLimit::kNone},
    {"max_forward_percent",
     ValueType::kPercent,
     {0, 100},
     &ServiceSettings::max_forward_percent_,
     ParentLimit::kNone},
}};

/// Reads a member as the number that `ParseValue` returns for its text.
template <typename T>
double GetMember(const T& object, const MemberPointer<T>& member) {
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

/// Sets a member from a number that `ParseValue` returned.
template <typename T>
void SetMember(double value, const MemberPointer<T>& member, T* object) {
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
