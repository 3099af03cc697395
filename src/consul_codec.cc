
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "base64.h"
#include "consul_platform.h"
#include "http_status.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

Json Parse(std::string_view body) {
  return Json::parse(body, nullptr, /*allow_exceptions=*/false);
}

/// True if the status says that the store can't serve requests at present.
bool IsUnavailable(int status) {
  return status >= http_status::kServerError ||
         status == http_status::kTooManyRequests;
}

/// @returns null when `object` is not an object or has no such member.
const Json* FindMember(const Json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(key);
  return it == object.end() ? nullptr : &*it;
}

/// @returns an empty string when the member is missing or not a string.
std::string GetString(const Json& object, const char* key) {
  const Json* value = FindMember(object, key);
  if (value == nullptr || !value->is_string()) return {};
  return value->get<std::string>();
}

/// @returns 0 when the text is not a decimal number.
uint64_t ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end ? value : 0;
}

/// @returns 0 when the text is not a number or exceeds `max`.
uint16_t ParseLimitOrZero(const std::string& text, uint16_t max) {
  const uint64_t value = ParseNumber(text);
  return value <= max ? static_cast<uint16_t>(value) : 0;
}

/// True if a check is critical or the service or node is in maintenance.
bool IsLeaving(const Json& entry) {
  const Json* checks = FindMember(entry, "Checks");
  if (checks == nullptr || !checks->is_array()) return false;
  for (const Json& check : *checks) {
    const std::string id = GetString(check, "CheckID");
    if (GetString(check, "Status") == "critical") return true;
    if (id == "_node_maintenance") return true;
    if (id.starts_with("_service_maintenance")) return true;
  }
  return false;
}

constexpr uint16_t kMaxConnectionsPerWorker = 1024;

/// @returns nothing when the entry has no usable address.
std::optional<ListedService> DecodeEntry(const Json& entry) {
  const Json* service = FindMember(entry, "Service");
  if (service == nullptr || !service->is_object()) return std::nullopt;
  const Json none = Json::object();
  const Json* node = FindMember(entry, "Node");
  if (node == nullptr) node = &none;
  const Json* meta = FindMember(*service, "Meta");
  if (meta == nullptr) meta = &none;

  ListedService listed;
  const Json* port = FindMember(*service, "Port");
  std::string host = GetString(*service, "Address");
  if (host.empty()) host = GetString(*node, "Address");
  if (port == nullptr || !port->is_number_unsigned()) return std::nullopt;
  const auto number = port->get<uint64_t>();
  const std::string text = ToString(Address{host, 0});
  if (number == 0 || number > UINT16_MAX) return std::nullopt;
  if (ParseAddress(text, &listed.address_)) return std::nullopt;
  listed.address_.port_ = static_cast<uint16_t>(number);

  listed.data_centre_ = GetString(*meta, "data_centre");
  if (listed.data_centre_.empty()) {
    listed.data_centre_ = GetString(*node, "Datacenter");
  }
  listed.region_ = GetString(*meta, "region");
  listed.rack_ = GetString(*meta, "rack");
  listed.slots_ =
      ParseLimitOrZero(GetString(*meta, "slots"), config::kMaxSlotsPerWorker);
  listed.max_connections_ = ParseLimitOrZero(
      GetString(*meta, "max_connections"), kMaxConnectionsPerWorker);
  ParseAddress(GetString(*meta, "peers"), &listed.peer_address_);
  listed.leaving_ = IsLeaving(entry);
  return listed;
}

}  // namespace

std::error_code DecodeConsulValue(int status, std::string_view index_header,
                                  std::string_view body, StoreValue* out) {
  StoreValue value;
  value.watch_index_ = ParseNumber(index_header);
  if (IsUnavailable(status)) return Errc::kPlatformUnavailable;
  if (status == http_status::kNotFound) {
    *out = std::move(value);
    return {};
  }
  const Json answer = Parse(body);
  if (status != http_status::kOk || !answer.is_array() || answer.size() != 1) {
    return Errc::kPlatformBadAnswer;
  }
  const Json* index = FindMember(answer[0], "ModifyIndex");
  const Json* text = FindMember(answer[0], "Value");
  if (index == nullptr || !index->is_number_unsigned() || text == nullptr) {
    return Errc::kPlatformBadAnswer;
  }
  if (text->is_string()) {
    if (!DecodeBase64(text->get<std::string>(), &value.value_)) {
      return Errc::kPlatformBadAnswer;
    }
  } else if (!text->is_null()) {
    return Errc::kPlatformBadAnswer;
  }
  value.found_ = true;
  value.swap_index_ = index->get<uint64_t>();
  *out = std::move(value);
  return {};
}

std::error_code DecodeConsulSwap(int status, std::string_view body,
                                 SwapResult* out) {
  // The store may have replicated the write before it reported the failure.
  if (IsUnavailable(status)) return Errc::kReplyLost;
  const Json answer = Parse(body);
  if (status != http_status::kOk) return Errc::kPlatformBadAnswer;
  if (!answer.is_boolean()) return Errc::kReplyLost;
  *out = answer.get<bool>() ? SwapResult::kSwapped : SwapResult::kIndexMismatch;
  return {};
}

std::error_code DecodeConsulList(int status, std::string_view body,
                                 std::vector<ListedService>* out) {
  if (IsUnavailable(status)) return Errc::kPlatformUnavailable;
  const Json answer = Parse(body);
  if (status != http_status::kOk || !answer.is_array()) {
    return Errc::kPlatformBadAnswer;
  }
  std::vector<ListedService> services;
  std::set<Address> seen;
  for (const Json& entry : answer) {
    std::optional<ListedService> service = DecodeEntry(entry);
    if (!service || !seen.insert(service->address_).second) continue;
    services.push_back(*std::move(service));
  }
  *out = std::move(services);
  return {};
}

}  // namespace gentiandeal
