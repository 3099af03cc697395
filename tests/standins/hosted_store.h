#ifndef GENTIANDEAL_TESTS_STANDINS_HOSTED_STORE_H_
#define GENTIANDEAL_TESTS_STANDINS_HOSTED_STORE_H_

#include <list>

#include "base64.h"
#include "hosted_state.h"

/// Store of the stand-in of the users' platform.
namespace gentiandeal::standin {

/// Keys with leases and watches; each port has its own view of them.
class Store {
 public:
  explicit Store(World* world) : world_(world) {}

  /// @returns the addresses of as many ports, each with its own view.
  std::vector<std::string> Start(uint32_t views) {
    std::vector<std::string> addresses;
    for (uint32_t i = 0; i < views; ++i) {
      View* view = &views_.emplace_back();
      view->server_ =
          std::make_unique<HttpServer>(world_->base_, MakeEvents(view));
      view->server_->Listen({"127.0.0.1", 0});
      addresses.push_back(ToString(view->server_->address()));
    }
    return addresses;
  }

  void Put(const std::string& key, const std::string& value,
           uint64_t lease = 0) {
    Item& item = items_[key];
    item = {value, ++revision_, lease};
    history_[revision_] = key;
    Notify();
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    history_[++revision_] = key;
    Notify();
  }

  void ShowAddress(size_t view, const std::string& from,
                   const std::string& to) {
    std::next(views_.begin(), static_cast<int64_t>(view))->shown_[from] = to;
  }

  /// Instance whose record was written at a revision.
  std::string WriterOf(uint64_t revision) const {
    const auto found = history_.find(revision);
    if (found == history_.end()) return "-";
    return found->second.substr(found->second.rfind('/') + 1);
  }

 private:
  struct Item {
    std::string value_;
    uint64_t revision_ = 0;
    uint64_t lease_ = 0;
  };
  /// What one instance reads.
  struct View {
    std::unique_ptr<HttpServer> server_;
    std::map<std::string, std::string> shown_;  ///< Instead of an address.
  };
  struct Sender {
    View* view_ = nullptr;
    RequestId request_;
    bool operator==(const Sender& other) const {
      return view_ == other.view_ && request_ == other.request_;
    }
  };
  struct Watch {
    Sender sender_;
    std::string prefix_;
    uint64_t after_ = 0;
  };

  HttpServerEvents MakeEvents(View* view) {
    HttpServerEvents events;
    events.request_ = [this, view](RequestId id, const CallerRequest& read) {
      Handle({view, id}, read);
    };
    events.disconnected_ = [this, view](RequestId id) {
      const Sender gone{view, id};
      watches_.remove_if([&](const Watch& one) { return one.sender_ == gone; });
    };
    return events;
  }

  static std::string Shown(const View& view, std::string value) {
    for (const auto& [from, to] : view.shown_) {
      const std::string quoted = '"' + from + '"';
      const size_t at = value.find(quoted);
      if (at != std::string::npos) {
        value.replace(at, quoted.size(), '"' + to + '"');
      }
    }
    return value;
  }

  /// Items that one answer holds at most.
  static constexpr size_t kMaxItems = 500;

  static Json ToJson(const View& view, const std::string& key,
                     const Item& item) {
    return {{"key", key},
            {"value", EncodeBase64(Shown(view, item.value_))},
            {"rev", item.revision_},
            {"created", item.revision_},
            {"lease", item.lease_}};
  }

  static bool Under(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  }

  void Handle(const Sender& id, const CallerRequest& read) {
    if (world_->faults_.store_silent_) return;
    if (world_->faults_.store_down_) return Reply(id, 503, Json::object());
    auto query = ParseQuery(read.path_);
    const std::string path = read.path_.substr(0, read.path_.find('?'));
    const Json body = Json::parse(read.body_, nullptr, false);
    if (path == "/-/kv-range") {
      return Range(id, query["prefix"], query["after"]);
    }
    if (path == "/-/kv-key") return Key(id, query["key"]);
    if (path == "/-/kv-watch") {
      watches_.push_back({id, query["prefix"], std::stoull(query["after"])});
      Notify();
      return After(world_->base_, std::stoll(query["wait_ms"]),
                   [this, id] { EndWatch(id); });
    }
    if (path == "/-/kv-txn") return Transaction(id, body);
    if (path == "/-/kv-lease") {
      leases_[++last_lease_] = {world_->clock_.Now(),
                                {body.at("ttl_ms").get<int64_t>()}};
      Expire(last_lease_);
      return Reply(id, 200,
                   {{"lease", last_lease_}, {"ttl_ms", body["ttl_ms"]}});
    }
    const uint64_t lease =
        std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (leases_.count(lease) == 0) return Reply(id, 404, Json::object());
    if (read.method_ == "DELETE") {
      leases_.erase(lease);
      DropLeased(lease);
    } else {
      leases_[lease].first = world_->clock_.Now();
    }
    Reply(id, 200, Json::object());
  }

  void Reply(const Sender& id, int status, const Json& body) {
    const auto reply = [id, reply = ReplyWith(status, body)] {
      id.view_->server_->Reply(id.request_, reply);
    };
    if (world_->faults_.store_answer_ms_ == 0) return reply();
    After(world_->base_, world_->faults_.store_answer_ms_, reply);
  }

  void Range(const Sender& id, const std::string& prefix,
             const std::string& after) {
    Json items = Json::array();
    bool more_pages = false;
    for (auto one = items_.upper_bound(after); one != items_.end(); ++one) {
      if (!Under(one->first, prefix)) continue;
      more_pages = items.size() == kMaxItems;
      if (more_pages) break;
      items.push_back(ToJson(*id.view_, one->first, one->second));
    }
    Reply(id, 200,
          {{"items", items},
           {"more_pages", more_pages},
           {"current_rev", revision_}});
  }

  void Key(const Sender& id, const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return Reply(id, 404, Json::object());
    Json json = ToJson(*id.view_, key, found->second);
    json["current_rev"] = revision_;
    Reply(id, 200, json);
  }

  void Transaction(const Sender& id, const Json& body) {
    for (const Json& row : body.at("expect")) {
      const auto found = items_.find(row.at("key").get<std::string>());
      const uint64_t revision =
          found == items_.end() ? 0 : found->second.revision_;
      if (revision != row.at("rev").get<uint64_t>()) {
        return Reply(id, 412, {{"items", Json::array()}});
      }
    }
    for (const Json& row : body.at("set_keys")) {
      const auto lease = row.value("lease", uint64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) {
        return Reply(id, 404, Json::object());
      }
      std::string value;
      DecodeBase64(row.at("value").get<std::string>(), &value);
      Put(row.at("key").get<std::string>(), value, lease);
    }
    Reply(id, 200, {{"rev", revision_}});
  }

  void Expire(uint64_t lease) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) return;
    const auto& [since, length] = found->second;
    const Duration left = since + length - world_->clock_.Now();
    if (left.ms_ > 0 || world_->faults_.store_down_) {
      return After(world_->base_, std::max<int64_t>(left.ms_, 50),
                   [this, lease] { Expire(lease); });
    }
    leases_.erase(found);
    DropLeased(lease);
  }

  void DropLeased(uint64_t lease) {
    for (auto item = items_.begin(); item != items_.end();) {
      if (item->second.lease_ != lease) {
        ++item;
        continue;
      }
      history_[++revision_] = item->first;
      item = items_.erase(item);
    }
    Notify();
  }

  /// Changes that one answer holds, and the revision to continue from.
  struct Changes {
    Json events_ = Json::array();
    uint64_t revision_ = 0;
  };

  Changes ChangesSince(const Watch& watch) const {
    Changes changes{Json::array(), revision_};
    Json& events = changes.events_;
    for (auto one = history_.upper_bound(watch.after_); one != history_.end();
         ++one) {
      if (!Under(one->second, watch.prefix_)) continue;
      if (events.size() == kMaxItems) break;
      if (events.size() + 1 == kMaxItems) changes.revision_ = one->first;
      const auto found = items_.find(one->second);
      if (found == items_.end()) {
        events.push_back(
            {{"key", one->second}, {"rev", one->first}, {"tombstone", true}});
      } else {
        events.push_back(
            ToJson(*watch.sender_.view_, one->second, found->second));
      }
    }
    return changes;
  }

  void Notify() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const Changes changes = ChangesSince(*watch);
      if (changes.events_.empty()) {
        ++watch;
        continue;
      }
      Reply(watch->sender_, 200,
            {{"events", changes.events_}, {"current_rev", changes.revision_}});
      watch = watches_.erase(watch);
    }
  }

  void EndWatch(const Sender& id) {
    for (auto watch = watches_.begin(); watch != watches_.end(); ++watch) {
      if (!(watch->sender_ == id)) continue;
      watches_.erase(watch);
      return Reply(id, 200,
                   {{"events", Json::array()}, {"current_rev", revision_}});
    }
  }

  World* world_;
  uint64_t revision_ = 10;
  uint64_t last_lease_ = 70;
  std::map<std::string, Item> items_;
  std::map<uint64_t, std::string> history_;
  std::map<uint64_t, std::pair<Time, Duration>> leases_;
  std::list<Watch> watches_;
  std::list<View> views_;
};

}  // namespace gentiandeal::standin

#endif  // GENTIANDEAL_TESTS_STANDINS_HOSTED_STORE_H_
