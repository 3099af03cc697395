#include <arpa/inet.h>

#include <charconv>
#include <ctime>
#include <random>

#include "gentiandeal_p.h"

namespace gentiandeal {
namespace {

struct ErrorEntry {
  std::string_view name_;
  std::string_view message_;
};

constexpr ErrorEntry kErrors[] = {
    {"ok", "no error"},
    {"bad-address", "address does not parse: write a numeric IP and a port"},
    {"bad-client-id",
     "client id is not valid: fetch one with POST /v1/clients"},
    {"bad-request", "request does not parse: see docs/API.md"},
    {"body-too-large", "body is too large: send fewer or smaller tasks"},
    {"unknown-team", "team is not in the settings: apply a branch for it"},
    {"never-runnable",
     "a task needs more slots than any worker has: declare a smaller size"},
    {"queue-full",
     "queue is full: submit under a new number after Retry-After"},
    {"deadline-too-short",
     "job can't finish by its deadline: submit later or allow more time"},
    {"deadline-passed", "deadline passed: allow more time"},
    {"rate-limited",
     "team is over its rate limit: submit under a new number after "
     "Retry-After"},
    {"quota-exceeded",
     "team is over its quota: submit under a new number after Retry-After"},
    {"no-workers", "no worker is listed here: submit to another data centre"},
    {"workers-refused",
     "workers refuse tasks: submit under a new number after Retry-After"},
    {"retry-budget-spent",
     "retry budget is spent: submit under a new number after Retry-After"},
    {"draining", "instance is shutting down: submit to another instance"},
    {"resumed-after-pause",
     "instance was paused while the job waited: submit under a new number"},
    {"cancelled",
     "cancelled by the caller: submit under a new sequence number"},
    {"submission-forgotten",
     "answer is no longer kept: look up the effect before a new submission"},
    {"submission-mismatch",
     "sequence number was used for another job: use the next number"},
    {"window-full",
     "too many unacknowledged answers: send Gentiandeal-Acknowledged"},
    {"owner-unreachable",
     "owner of the client id can't be reached: retry the same submission, or "
     "look up the effect and fetch a new client id"},
    {"peer-link-lost",
     "link to another instance was lost: look up the effect before a new "
     "submission"},
    {"worker-link-lost",
     "link to a worker was lost: look up the effect before a new submission"},
    {"worker-timeout",
     "a worker did not answer in time: look up the effect before a new "
     "submission"},
    {"worker-failed",
     "a worker answered with a failure: see the worker's log for the task"},
    {"answer-too-large", "a worker's answer is too large: split the task"},
    {"bad-settings", "settings are not valid: mend the lines listed"},
    {"settings-conflict",
     "branch was changed by another operator: show it and apply again"},
    {"settings-unchanged", "branch already has this content: nothing to do"},
    {"platform-unavailable",
     "platform's store can't be reached: check its address and try again"},
    {"platform-bad-answer",
     "platform's store gave an unexpected answer: check its version"},
    {"reply-lost",
     "reply of the store was lost: look for the change id in the history"},
    {"usage", "command line is not valid: see --help"},
};
constexpr size_t kErrorCount = sizeof(kErrors) / sizeof(kErrors[0]);
static_assert(kErrorCount == static_cast<size_t>(Errc::kUsage) + 1);

const ErrorEntry& FindError(int code) {
  const auto index = static_cast<size_t>(code);
  return kErrors[index < kErrorCount ? index : 0];
}

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "gentiandeal"; }
  std::string message(int code) const override {
    return std::string(FindError(code).message_);
  }
};

constexpr char kHexDigits[] = "0123456789abcdef";

void AppendHex(uint64_t value, std::string* out) {
  for (int shift = 60; shift >= 0; shift -= 4) {
    out->push_back(kHexDigits[(value >> shift) & 0xf]);
  }
}

bool ConsumeHex(std::string_view* text, uint64_t* out) {
  constexpr size_t kDigits = 16;
  if (text->size() < kDigits) return false;
  const char* end = text->data() + kDigits;
  const auto [stop, error] = std::from_chars(text->data(), end, *out, 16);
  if (error != std::errc() || stop != end) return false;
  text->remove_prefix(kDigits);
  return true;
}

}  // namespace

Time MonotonicClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {static_cast<int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000};
}

const std::error_category& GentiandealCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), GentiandealCategory()};
}

std::string_view Name(Errc code) {
  return FindError(static_cast<int>(code)).name_;
}

std::string ToString(const Address& address) {
  const bool v6 = address.host_.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + address.host_ + "]" : address.host_;
  return host + ":" + std::to_string(address.port_);
}

std::error_code ParseAddress(std::string_view text, Address* out) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Errc::kBadAddress;
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  Address parsed{std::string(host), 0};
  unsigned char binary[sizeof(in6_addr)];
  if (inet_pton(family, parsed.host_.c_str(), binary) != 1) {
    return Errc::kBadAddress;
  }
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, parsed.port_);
  if (error != std::errc() || stop != end) return Errc::kBadAddress;
  *out = std::move(parsed);
  return {};
}

std::string ToString(const ClientId& id) {
  std::string text;
  AppendHex(id.owner_.value_, &text);
  AppendHex(id.serial_, &text);
  AppendHex(static_cast<uint64_t>(id.expires_ms_), &text);
  for (const uint8_t byte : id.mac_) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 0xf]);
  }
  return text;
}

std::error_code ParseClientId(std::string_view text, ClientId* out) {
  uint64_t words[5];
  if (text.size() != 16 * std::size(words)) return Errc::kBadClientId;
  for (uint64_t& word : words) {
    if (!ConsumeHex(&text, &word)) return Errc::kBadClientId;
  }
  if (words[0] == 0) return Errc::kBadClientId;
  out->owner_.value_ = words[0];
  out->serial_ = words[1];
  out->expires_ms_ = static_cast<int64_t>(words[2]);
  for (size_t i = 0; i < out->mac_.size(); ++i) {
    const uint64_t word = words[3 + i / 8];
    out->mac_[i] = static_cast<uint8_t>(word >> (56 - 8 * (i % 8)));
  }
  return {};
}

uint64_t RandomUint64() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

Incarnation NewIncarnation() {
  Incarnation incarnation;
  while (!incarnation.valid()) incarnation.value_ = RandomUint64();
  return incarnation;
}

Caps GetCaps() {
  return {config::kMaxTasksPerJob, config::kMaxWorkers, config::kMaxTeams,
          config::kMaxJobs, static_cast<uint32_t>(config::kMaxBodyBytes)};
}

}  // namespace gentiandeal
