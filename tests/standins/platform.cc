// Stand-in for the platform: the part of the Consul HTTP API that the
// dispatcher uses, with faults on demand.
//
//   PUT /standin/faults    {"outage":true,"status":503,"delay_ms":50,
//                           "lose_reply":1,"drop_swaps":1,"list_lag_ms":500,
//                           "serve_snapshot":true}; absent members are reset
//   PUT /standin/snapshot  keeps a copy of the store
//   PUT /standin/restore   goes back to the copy
//   GET /standin/calls     calls received, by kind, and watches that wait
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <unistd.h>

#include <charconv>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "base64.h"
#include "gentiandeal_p.h"

namespace gentiandeal {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr int64_t kDefaultWaitMs = 5 * 60 * 1000;

struct KeyEntry {
  std::string value_;
  uint64_t create_index_ = 0;
  uint64_t modify_index_ = 0;
};

struct Store {
  std::map<std::string, KeyEntry> entries_;
  uint64_t index_ = 1;
};

/// Registrations by service name, then node and service id.
using Catalog =
    std::map<std::string, std::map<std::pair<std::string, std::string>, Json>>;

struct Faults {
  bool outage_ = false;          ///< Connections are closed unanswered.
  int status_ = 0;               ///< Every call gets this status.
  int64_t delay_ms_ = 0;         ///< Before a call is looked at.
  int lose_reply_ = 0;           ///< Swaps that are carried out unanswered.
  int drop_swaps_ = 0;           ///< Swaps that are lost on the way in.
  int64_t list_lag_ms_ = 0;      ///< Lists show the catalog this long ago.
  bool serve_snapshot_ = false;  ///< Reads come from the copy.
};

struct Calls {
  uint64_t gets_ = 0;
  uint64_t swaps_ = 0;
  uint64_t watches_ = 0;
  uint64_t lists_ = 0;
};

timeval ToTimeval(int64_t ms) { return {ms / 1000, ms % 1000 * 1000}; }

uint64_t ParseNumber(const std::string& text) {
  uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// Reads `10s` or `500ms`.
int64_t ParseWait(const std::string& text) {
  const auto value = static_cast<int64_t>(ParseNumber(text));
  return text.ends_with("ms") ? value : value * 1000;
}

/// A received request with its parts decoded.
struct Request {
  evhttp_request* raw_ = nullptr;
  std::string path_;
  std::map<std::string, std::string> query_;
  std::string body_;
  bool put_ = false;
  bool has(const char* name) const { return query_.contains(name); }
  std::string get(const char* name) const {
    const auto it = query_.find(name);
    return it == query_.end() ? std::string() : it->second;
  }
};

Request Decode(evhttp_request* raw) {
  Request request;
  request.raw_ = raw;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  request.path_ = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  evkeyvalq fields{};
  if (query != nullptr && evhttp_parse_query_str(query, &fields) == 0) {
    for (evkeyval* field = fields.tqh_first; field != nullptr;
         field = field->next.tqe_next) {
      request.query_[field->key] = field->value;
    }
    evhttp_clear_headers(&fields);
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  request.body_.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, request.body_.data(), request.body_.size());
  request.put_ = evhttp_request_get_command(raw) == EVHTTP_REQ_PUT;
  return request;
}

void Reply(evhttp_request* raw, int status, const std::string& body,
           uint64_t index) {
  evkeyvalq* fields = evhttp_request_get_output_headers(raw);
  evhttp_add_header(fields, "Content-Type", "application/json");
  if (index != 0) {
    evhttp_add_header(fields, "X-Consul-Index", std::to_string(index).c_str());
  }
  evbuffer* buffer = evhttp_request_get_output_buffer(raw);
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(raw, status, nullptr, nullptr);
}

/// Closes the connection without an answer.
void Drop(evhttp_request* raw) {
  evhttp_connection* connection = evhttp_request_get_connection(raw);
  if (connection == nullptr) {
    evhttp_send_reply(raw, 500, nullptr, nullptr);  // Only frees it.
    return;
  }
  evhttp_connection_free(connection);
}

class PlatformStandin {
 public:
  explicit PlatformStandin(event_base* base) : base_(base) {}

  void On(Request request) {
    if (request.path_.starts_with("/standin/")) {
      OnControl(request);
      return;
    }
    After(faults_.delay_ms_,
          [this, request = std::move(request)] { OnCall(request); });
  }

 private:
  struct Later {
    std::function<void()> run_;
    event* timer_ = nullptr;
  };

  struct Waiter {
    uint64_t id_ = 0;
    uint64_t index_ = 0;
    std::string key_;
    evhttp_request* raw_ = nullptr;
  };

  /// Runs a step from the loop, outside evhttp's callback.
  void After(int64_t ms, std::function<void()> run) {
    auto later = std::make_unique<Later>();
    later->run_ = std::move(run);
    later->timer_ = evtimer_new(
        base_,
        [](evutil_socket_t, short, void* context) {  // NOLINT
          const std::unique_ptr<Later> ended(static_cast<Later*>(context));
          event_free(ended->timer_);
          ended->run_();
        },
        later.get());
    const timeval time = ToTimeval(ms);
    evtimer_add(later.release()->timer_, &time);
  }

  int64_t NowMs() const { return MonotonicClock().Now().ms_; }

  void OnCall(const Request& request) {
    Count(request);
    if (faults_.outage_) {
      Drop(request.raw_);
    } else if (faults_.status_ != 0) {
      Reply(request.raw_, faults_.status_, "fault", 0);
    } else if (request.path_.starts_with(kKvPrefix)) {
      OnKey(request, request.path_.substr(kKvPrefix.size()));
    } else if (request.path_.starts_with(kHealthPrefix)) {
      OnList(request, request.path_.substr(kHealthPrefix.size()));
    } else if (request.path_ == "/v1/catalog/register") {
      OnRegister(request);
    } else if (request.path_ == "/v1/catalog/deregister") {
      OnDeregister(request);
    } else {
      Reply(request.raw_, 404, "no such path", 0);
    }
  }

  void Count(const Request& request) {
    if (request.path_.starts_with(kHealthPrefix)) {
      ++calls_.lists_;
    } else if (!request.path_.starts_with(kKvPrefix)) {
      return;
    } else if (request.put_) {
      ++calls_.swaps_;
    } else if (request.has("index")) {
      ++calls_.watches_;
    } else {
      ++calls_.gets_;
    }
  }

  void OnKey(const Request& request, const std::string& key) {
    if (request.put_) {
      OnSwap(request, key);
      return;
    }
    const uint64_t index = ParseNumber(request.get("index"));
    if (index == 0 || IndexOf(key) > index) {
      ReplyValue(request.raw_, key);
      return;
    }
    const int64_t wait =
        request.has("wait") ? ParseWait(request.get("wait")) : kDefaultWaitMs;
    const uint64_t id = ++last_waiter_;
    waiters_.push_back({id, index, key, request.raw_});
    After(wait, [this, id] {
      EndWaiters([id](const Waiter& waiter) { return waiter.id_ == id; });
    });
  }

  void OnSwap(const Request& request, const std::string& key) {
    if (faults_.drop_swaps_ > 0) {
      --faults_.drop_swaps_;
      Drop(request.raw_);
      return;
    }
    if (request.body_.size() > kMaxValueBytes) {
      Reply(request.raw_, 413, "value is too large", 0);
      return;
    }
    const bool swapped = Swap(request, key);
    if (faults_.lose_reply_ > 0) {
      --faults_.lose_reply_;
      Drop(request.raw_);
    } else {
      Reply(request.raw_, 200, swapped ? "true" : "false", 0);
    }
    EndWaiters([this](const Waiter& waiter) {
      return IndexOf(waiter.key_) > waiter.index_;
    });
  }

  bool Swap(const Request& request, const std::string& key) {
    KeyEntry* entry = nullptr;
    const auto it = store_.entries_.find(key);
    if (it != store_.entries_.end()) entry = &it->second;
    if (request.has("cas")) {
      const uint64_t held = entry == nullptr ? 0 : entry->modify_index_;
      if (ParseNumber(request.get("cas")) != held) return false;
    }
    ++store_.index_;
    if (entry == nullptr) {
      entry = &store_.entries_[key];
      entry->create_index_ = store_.index_;
    }
    entry->value_ = request.body_;
    entry->modify_index_ = store_.index_;
    return true;
  }

  const Store& ReadStore() const {
    return faults_.serve_snapshot_ ? snapshot_ : store_;
  }

  uint64_t IndexOf(const std::string& key) const {
    const auto it = ReadStore().entries_.find(key);
    return it == ReadStore().entries_.end() ? 1 : it->second.modify_index_;
  }

  void ReplyValue(evhttp_request* raw, const std::string& key) {
    const auto it = ReadStore().entries_.find(key);
    if (it == ReadStore().entries_.end()) {
      Reply(raw, 404, "", IndexOf(key));
      return;
    }
    const KeyEntry& entry = it->second;
    const Json answer = Json::array({{{"LockIndex", 0},
                                      {"Key", key},
                                      {"Flags", 0},
                                      {"Value", EncodeBase64(entry.value_)},
                                      {"CreateIndex", entry.create_index_},
                                      {"ModifyIndex", entry.modify_index_}}});
    Reply(raw, 200, answer.dump(), entry.modify_index_);
  }

  void EndWaiters(const std::function<bool(const Waiter&)>& ended) {
    std::vector<Waiter> done;
    std::erase_if(waiters_, [&](const Waiter& waiter) {
      if (!ended(waiter)) return false;
      done.push_back(waiter);
      return true;
    });
    for (const Waiter& waiter : done) {
      if (faults_.outage_) {
        Drop(waiter.raw_);
      } else {
        ReplyValue(waiter.raw_, waiter.key_);
      }
    }
  }

  void OnRegister(const Request& request) {
    const Json entry = Json::parse(request.body_, nullptr, false);
    if (!entry.is_object() || !entry.contains("Service")) {
      Reply(request.raw_, 400, "Service is missing", 0);
      return;
    }
    const Json& service = entry["Service"];
    const auto name = service.value("Service", std::string());
    const auto id = service.value("ID", name);
    Json listed = {{"Node",
                    {{"Node", entry.value("Node", std::string())},
                     {"Address", entry.value("Address", std::string())},
                     {"Datacenter", entry.value("Datacenter", "dc1")}}},
                   {"Service", service},
                   {"Checks", entry.value("Checks", Json::array())}};
    if (entry.contains("Check")) listed["Checks"].push_back(entry["Check"]);
    catalog_[name][{entry.value("Node", std::string()), id}] =
        std::move(listed);
    KeepCatalog();
    Reply(request.raw_, 200, "true", 0);
  }

  void OnDeregister(const Request& request) {
    const Json entry = Json::parse(request.body_, nullptr, false);
    if (!entry.is_object()) {
      Reply(request.raw_, 400, "not an object", 0);
      return;
    }
    const auto node = entry.value("Node", std::string());
    const auto id = entry.value("ServiceID", std::string());
    for (auto& [name, services] : catalog_) {
      std::erase_if(services, [&](const auto& item) {
        return item.first.first == node &&
               (id.empty() || item.first.second == id);
      });
    }
    KeepCatalog();
    Reply(request.raw_, 200, "true", 0);
  }

  void KeepCatalog() {
    past_catalogs_.emplace_back(NowMs(), catalog_);
    if (past_catalogs_.size() > kPastCatalogs) past_catalogs_.pop_front();
  }

  const Catalog* ShownCatalog() const {
    if (faults_.list_lag_ms_ == 0) return &catalog_;
    const int64_t shown = NowMs() - faults_.list_lag_ms_;
    const Catalog* found = nullptr;
    for (const auto& [time, catalog] : past_catalogs_) {
      if (time <= shown) found = &catalog;
    }
    return found;
  }

  void OnList(const Request& request, const std::string& name) {
    Json answer = Json::array();
    const Catalog* catalog = ShownCatalog();
    if (catalog != nullptr && catalog->contains(name)) {
      for (const auto& [key, entry] : catalog->at(name)) {
        answer.push_back(entry);
      }
    }
    Reply(request.raw_, 200, answer.dump(), store_.index_);
  }

  void OnControl(const Request& request) {
    if (request.path_ == "/standin/faults") {
      SetFaults(Json::parse(request.body_, nullptr, false));
    } else if (request.path_ == "/standin/snapshot") {
      snapshot_ = store_;
    } else if (request.path_ == "/standin/restore") {
      store_ = snapshot_;
      EndWaiters([](const Waiter&) { return true; });
    } else if (request.path_ != "/standin/calls") {
      Reply(request.raw_, 404, "no such path", 0);
      return;
    }
    const Json answer = {{"gets", calls_.gets_},
                         {"swaps", calls_.swaps_},
                         {"watches", calls_.watches_},
                         {"lists", calls_.lists_},
                         {"waiting", waiters_.size()}};
    Reply(request.raw_, 200, answer.dump(), 0);
  }

  void SetFaults(const Json& json) {
    faults_ = {};
    if (!json.is_object()) return;
    faults_.outage_ = json.value("outage", false);
    faults_.status_ = json.value("status", 0);
    faults_.delay_ms_ = json.value("delay_ms", 0);
    faults_.lose_reply_ = json.value("lose_reply", 0);
    faults_.drop_swaps_ = json.value("drop_swaps", 0);
    faults_.list_lag_ms_ = json.value("list_lag_ms", 0);
    faults_.serve_snapshot_ = json.value("serve_snapshot", false);
    if (faults_.outage_) EndWaiters([](const Waiter&) { return true; });
  }

  static constexpr std::string_view kKvPrefix = "/v1/kv/";
  static constexpr std::string_view kHealthPrefix = "/v1/health/service/";
  static constexpr size_t kPastCatalogs = 512;

  event_base* base_;
  Store store_;
  Store snapshot_;
  Catalog catalog_;
  std::deque<std::pair<int64_t, Catalog>> past_catalogs_;
  Faults faults_;
  Calls calls_;
  std::vector<Waiter> waiters_;
  uint64_t last_waiter_ = 0;
};

void OnRequest(evhttp_request* raw, void* context) {
  static_cast<PlatformStandin*>(context)->On(Decode(raw));
}

void StopLoop(evutil_socket_t /*fd*/, short /*events*/,  // NOLINT
              void* context) {
  event_base_loopbreak(static_cast<event_base*>(context));
}

void StopAtEof(evutil_socket_t fd, short /*events*/,  // NOLINT
               void* context) {
  char buffer[64];
  if (read(fd, buffer, sizeof(buffer)) > 0) return;
  event_base_loopbreak(static_cast<event_base*>(context));
}

int Run(const Address& listen, bool exit_on_eof) {
  event_base* base = event_base_new();
  evhttp* http = evhttp_new(base);
  evhttp_set_max_body_size(http, 2 * kMaxValueBytes);
  PlatformStandin standin(base);
  evhttp_set_gencb(http, OnRequest, &standin);
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(http, listen.host_.c_str(), listen.port_);
  if (bound == nullptr) {
    std::cerr << "can't listen on " << ToString(listen) << "\n";
    return 1;
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&address), &size);
  const Address own{listen.host_, ntohs(address.sin_port)};
  std::cout << Json{{"event", "listening"}, {"address", ToString(own)}}.dump()
            << std::endl;
  event* term = evsignal_new(base, SIGTERM, StopLoop, base);
  event_add(term, nullptr);
  event* eof =
      event_new(base, STDIN_FILENO, EV_READ | EV_PERSIST, StopAtEof, base);
  if (exit_on_eof) event_add(eof, nullptr);
  event_base_dispatch(base);
  return 0;
}

}  // namespace
}  // namespace gentiandeal

int main(int argc, char** argv) {
  gentiandeal::Address listen{"127.0.0.1", 0};
  bool exit_on_eof = false;
  for (int i = 1; i < argc; ++i) {
    const std::string_view word = argv[i];
    if (word == "--exit-on-eof") {
      exit_on_eof = true;
    } else if (word == "--listen" && i + 1 < argc &&
               !gentiandeal::ParseAddress(argv[i + 1], &listen)) {
      ++i;
    } else {
      std::cerr << "usage: standin_platform [--listen ADDRESS] "
                   "[--exit-on-eof]\n";
      return 2;
    }
  }
  signal(SIGPIPE, SIG_IGN);
  return gentiandeal::Run(listen, exit_on_eof);
}
