#include <csignal>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "base64.h"
#include "http_server.h"
#include "standin.h"

/// Stand-in for the users' platform: its store and a number of workers, as
/// its published protocol tells. Counts what an instance must never cause.
/// Control port:
///   PUT /standin/faults?...  replaces the faults: `store_down`,
///       `store_silent`, `silent` (share of the starts without an answer),
///       `silent_stops`, `silent_polls`, `late_ms` (when they are carried out)
///       and `worker` (index of the only one that is silent)
///   PUT /standin/restart?worker=I[&entry_ms=N]  ends a worker with all it
///       runs and starts it under its id; its entry in the store follows later
///   PUT /standin/address?view=I&from=A&to=B  shows address A as B to those who
///       read the store through port I of `--views`
///   GET /standin/runs  all runs, and the pairs of runs of one task at once
/// Each answers the counts, the last one also the runs.
namespace gentiandeal::standin {
namespace {

using Json = nlohmann::json;

struct Options {
  uint32_t workers_ = 4;
  int32_t cpu_milli_ = 32000;
  uint32_t views_ = 1;
  bool slow_clocks_ = false;
};

/// Faults in force; each request to set them replaces them all.
struct Faults {
  bool store_down_ = false;    ///< The store answers 503.
  bool store_silent_ = false;  ///< The store answers nothing.
  double silent_share_ = 0;    ///< Starts that get no answer,
  double silent_stops_ = 0;    ///< and stops,
  double silent_polls_ = 0;    ///< and polls;
  int64_t late_ms_ = 0;        ///< they are carried out so much later.
  int worker_ = -1;            ///< The silent one; -1: all.
};

/// One run, as its worker saw it.
struct RunRecord {
  std::string task_;
  int number_ = 0;
  std::string worker_;
  std::string instance_;  ///< Whose fence the start carried.
  Time began_;
  Time stop_received_;
  Time ended_;
  std::string how_;  ///< Empty while in progress.
};

Json ToJson(const RunRecord& run) {
  return {{"task", run.task_},       {"run", run.number_},
          {"worker", run.worker_},   {"instance", run.instance_},
          {"began", run.began_.ms_}, {"stop", run.stop_received_.ms_},
          {"ended", run.ended_.ms_}, {"how", run.how_}};
}

using RunPointer = std::shared_ptr<RunRecord>;

/// What was seen; the last four must stay 0.
struct Counts {
  int starts_ = 0;
  int running_ = 0;  ///< Runs in progress, on all workers.
  int done_ = 0;
  int lapsed_ = 0;
  int crashes_ = 0;     ///< Of workers, by their tasks.
  int overbooked_ = 0;  ///< Starts beyond a worker's resources.
  int twice_ = 0;       ///< Starts of a task that runs elsewhere.
  int stale_ = 0;       ///< Orders with a fence below the highest one seen.
  int after_done_ = 0;  ///< Starts of a task that had ended well.
};

struct World {
  event_base* base_ = nullptr;
  Faults faults_;
  Counts counts_;
  std::vector<RunPointer> runs_;
  std::vector<std::pair<RunPointer, RunPointer>> overlaps_;
  /// In progress, by task, over all workers.
  std::map<std::string, std::vector<RunPointer>> running_;
  std::map<std::string, int> done_;
  std::mt19937_64 random_{1};
  MonotonicClock clock_;
};

HttpReply ReplyWith(int status, const Json& body) {
  return JsonReply(status, body.dump());
}

/// Calls back once after a while.
void After(event_base* base, int64_t ms, std::function<void()> call) {
  auto* held = new std::function<void()>(std::move(call));
  const timeval wait = ToTimeval(ms);
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, int16_t, void* arg) {
        const std::unique_ptr<std::function<void()>> once(
            static_cast<std::function<void()>*>(arg));
        (*once)();
      },
      held, &wait);
}

std::map<std::string, std::string> ParseQuery(const std::string& path) {
  std::map<std::string, std::string> query;
  const size_t mark = path.find('?');
  if (mark == std::string::npos) return query;
  std::istringstream text(path.substr(mark + 1));
  for (std::string pair; std::getline(text, pair, '&');) {
    const size_t equals = pair.find('=');
    if (equals == std::string::npos) continue;
    query[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return query;
}

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
    if (path == "/-/kv-range") return Range(id, query["prefix"]);
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
    id.view_->server_->Reply(id.request_, ReplyWith(status, body));
  }

  void Range(const Sender& id, const std::string& prefix) {
    Json items = Json::array();
    for (const auto& [key, item] : items_) {
      if (Under(key, prefix)) items.push_back(ToJson(*id.view_, key, item));
    }
    Reply(
        id, 200,
        {{"items", items}, {"more_pages", false}, {"current_rev", revision_}});
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

  Json EventsSince(const Watch& watch) const {
    Json events = Json::array();
    for (auto one = history_.upper_bound(watch.after_); one != history_.end();
         ++one) {
      if (!Under(one->second, watch.prefix_)) continue;
      const auto found = items_.find(one->second);
      if (found == items_.end()) {
        events.push_back(
            {{"key", one->second}, {"rev", one->first}, {"tombstone", true}});
      } else {
        events.push_back(
            ToJson(*watch.sender_.view_, one->second, found->second));
      }
    }
    return events;
  }

  void Notify() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const Json events = EventsSince(*watch);
      if (events.empty()) {
        ++watch;
        continue;
      }
      Reply(watch->sender_, 200,
            {{"events", events}, {"current_rev", revision_}});
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

/// One worker. A task's payload is its run time in milliseconds. With
/// `kCrashPayload` before it, the first task of a step ends its worker, which
/// is back under its id after a while.
class HostedWorker {
 public:
  HostedWorker(World* world, Store* store, int index, const Options& options)
      : world_(world),
        store_(store),
        index_(index),
        id_("i-" + std::to_string(index)),
        cpu_milli_(options.cpu_milli_),
        clock_rate_(options.slow_clocks_ && index % 2 == 1 ? kSlowClock : 1) {}

  void Start() {
    Listen({"127.0.0.1", 0});
    Register();
    Check();
  }

  /// Ends this life of the worker and begins the next one at once.
  /// @param entry_ms Until the store lists the new life.
  void Restart(int64_t entry_ms) {
    const Address address = server_->address();
    EndLife();
    BeginLife(address, entry_ms);
  }

  std::string address() const { return ToString(server_->address()); }

 private:
  static constexpr double kSlowClock = 0.98;
  /// Of a task: every one asks for the same.
  static constexpr int32_t kTaskCpu = 14000;
  static constexpr int64_t kLeaseCheckMs = 10;
  static constexpr int64_t kStopMs = 50;
  static constexpr int64_t kClockStartMs = 1000;
  static constexpr std::string_view kCrashPayload = "crash ";
  static constexpr int64_t kCrashAfterMs = 5;
  static constexpr int64_t kAwayMs = 3000;

  struct Run {
    RunPointer record_;
    int number_ = 0;
    Time until_;
    Time since_;
    bool stopping_ = false;  ///< Takes resources, and is listed nowhere.
  };

  void EndLife() {
    while (!runs_.empty()) End(runs_.begin()->first, "gone");
    server_.reset();
    waiting_ = RequestId{};
    fence_ = 0;
    lease_ = 0;
    last_end_ = 0;
    ended_.clear();
    finished_.clear();
    born_ += std::max<int64_t>(1, (world_->clock_.Now() - life_began_).ms_);
  }

  void BeginLife(const Address& address, int64_t entry_ms) {
    Listen(address);
    if (entry_ms == 0) return Register();
    After(world_->base_, entry_ms, [this, born = born_] {
      if (born_ == born) Register();
    });
  }

  /// Its connections end, and later ones are refused until it is back.
  void Crash() {
    if (server_ == nullptr) return;
    ++world_->counts_.crashes_;
    const Address address = server_->address();
    EndLife();
    After(world_->base_, kAwayMs, [this, address] { BeginLife(address, 0); });
  }

  void Listen(const Address& address) {
    life_began_ = world_->clock_.Now();
    server_ = std::make_unique<HttpServer>(world_->base_, MakeEvents());
    if (const auto error = server_->Listen(address)) {
      throw std::runtime_error("worker can't listen: " + error.message());
    }
  }

  void Register() {
    const Json entry = {
        {"service", "dossier"},
        {"addr", address()},
        {"zone", "rennes"},
        {"state", "ready"},
        {"capacity", {{"cpu", cpu_milli_}, {"mem_mb", 131072}, {"gpu", 0}}},
        {"labels", {"a", "r1"}},
        {"born", born_},
        {"seq", 1}};
    store_->Put("servers/" + id_, entry.dump());
  }

  void Handle(const std::string& path, RequestId id, const Json& body) {
    if (path == "/-/hold") return Hold(id, body);
    if (path == "/-/run-stop") return Stop(id, body);
    Start(id, body);
  }

  double SilentShare(const std::string& path) const {
    const Faults& faults = world_->faults_;
    if (faults.worker_ >= 0 && faults.worker_ != index_) return 0;
    if (path == "/-/hold") return faults.silent_polls_;
    if (path == "/-/run-stop") return faults.silent_stops_;
    return faults.silent_share_;
  }

  HttpServerEvents MakeEvents() {
    HttpServerEvents events;
    events.request_ = [this](RequestId id, const CallerRequest& read) {
      const Json body = Json::parse(read.body_, nullptr, false);
      std::uniform_real_distribution<double> share(0, 1);
      if (share(world_->random_) >= SilentShare(read.path_)) {
        return Handle(read.path_, id, body);
      }
      After(world_->base_, world_->faults_.late_ms_,
            [this, path = read.path_, body, born = born_] {
              if (born_ == born) Handle(path, RequestId{}, body);
            });
    };
    events.disconnected_ = [this](RequestId id) {
      if (waiting_ == id) waiting_ = RequestId{};
    };
    return events;
  }

  int64_t Clock() const {
    const auto ms =
        static_cast<double>((world_->clock_.Now() - life_began_).ms_);
    return kClockStartMs + static_cast<int64_t>(ms * clock_rate_);
  }

  bool TakeFence(RequestId id, const Json& body) {
    const auto fence = body.value("fence", uint64_t{0});
    if (fence >= fence_) {
      fence_ = fence;
      return true;
    }
    ++world_->counts_.stale_;
    Reply(id, 409, {{"reason", "fence"}});
    return false;
  }

  void Renew(const Json& body) {
    if (!body.contains("deadline_ms")) return;
    lease_ = std::max(
        lease_, std::min(body["deadline_ms"].get<int64_t>(), Clock() + 1000));
  }

  void Reply(RequestId id, int status, Json body) {
    body["clock_ms"] = Clock();
    body["born"] = born_;
    if (id.valid()) server_->Reply(id, ReplyWith(status, body));
  }

  void Start(RequestId id, const Json& body) {
    if (!TakeFence(id, body)) return;
    if (body.at("deadline_ms").get<int64_t>() < Clock()) {
      return Reply(id, 409, {{"reason", "late"}});
    }
    const std::string task = body.at("task").get<std::string>();
    const int number = body.at("run").get<int>();
    if (runs_.count(task) > 0 && runs_[task].number_ == number) {
      return Reply(id, 200, Json::object());
    }
    const auto ended = ended_.find(task);
    if (ended != ended_.end() && number <= ended->second) {
      return Reply(id, 409, {{"reason", "old"}});
    }
    Counts& counts = world_->counts_;
    ++counts.starts_;
    auto record = std::make_shared<RunRecord>();
    record->task_ = task;
    record->number_ = number;
    record->worker_ = id_;
    record->instance_ = store_->WriterOf(fence_);
    record->began_ = world_->clock_.Now();
    std::vector<RunPointer>& others = world_->running_[task];
    if (!others.empty()) ++counts.twice_;
    for (const RunPointer& other : others) {
      world_->overlaps_.emplace_back(other, record);
    }
    // Two runs of a task at one worker: the count tells; one is kept.
    if (runs_.count(task) > 0) End(task, "replaced");
    if (world_->done_[task] > 0) ++counts.after_done_;
    const auto used = static_cast<int32_t>(runs_.size()) * kTaskCpu;
    if (used + kTaskCpu > cpu_milli_) ++counts.overbooked_;
    Renew(body);
    std::string payload = body.at("spec").get<std::string>();
    if (payload.starts_with(kCrashPayload)) {
      payload.erase(0, kCrashPayload.size());
      if (task.ends_with(".0")) {
        After(world_->base_, kCrashAfterMs, [this, born = born_] {
          if (born_ == born) Crash();
        });
      }
    }
    const int64_t ms = std::stoll(payload);
    const Time now = world_->clock_.Now();
    ++counts.running_;
    runs_[task] = {record, number, now + Duration{ms}, now};
    world_->running_[task].push_back(record);
    world_->runs_.push_back(record);
    After(world_->base_, ms, [this, task, record] {
      const auto run = runs_.find(task);
      if (run != runs_.end() && run->second.record_ == record &&
          !run->second.stopping_) {
        End(task, "done");
      }
    });
    Reply(id, 200, Json::object());
  }

  void Stop(RequestId id, const Json& body) {
    if (!TakeFence(id, body)) return;
    const std::string task = body.at("task").get<std::string>();
    const int number = body.at("run").get<int>();
    ended_[task] = std::max(ended_[task], number);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number_ == number) {
      run->second.stopping_ = true;
      const RunPointer record = run->second.record_;
      if (record->stop_received_ == Time{}) {
        record->stop_received_ = world_->clock_.Now();
      }
      After(world_->base_, kStopMs, [this, task, record] {
        const auto stopped = runs_.find(task);
        if (stopped != runs_.end() && stopped->second.record_ == record) {
          End(task, "stopped");
        }
      });
    }
    Reply(id, 200, Json::object());
  }

  void End(const std::string& task, const std::string& how) {
    const auto run = runs_.find(task);
    ended_[task] = std::max(ended_[task], run->second.number_);
    ++last_end_;
    finished_[last_end_] = {last_end_, task, run->second.number_, how, ""};
    --world_->counts_.running_;
    const RunPointer record = run->second.record_;
    record->ended_ = world_->clock_.Now();
    record->how_ = how;
    std::erase(world_->running_[task], record);
    if (how == "done") {
      ++world_->done_[task];
      ++world_->counts_.done_;
    }
    if (how == "lapsed") ++world_->counts_.lapsed_;
    runs_.erase(run);
    if (waiting_.valid()) Answer(waiting_);
  }

  void Hold(RequestId id, const Json& body) {
    if (!TakeFence(id, body)) return;
    Renew(body);
    const auto seen = body.value("last_seen", uint64_t{0});
    finished_.erase(finished_.begin(), finished_.upper_bound(seen));
    const auto wait = body.value("wait_ms", int64_t{0});
    if (wait == 0 || !finished_.empty()) return Answer(id);
    if (waiting_.valid()) Answer(waiting_);
    waiting_ = id;
    After(world_->base_, wait, [this, id] {
      if (waiting_ == id) Answer(id);
    });
  }

  void Answer(RequestId id) {
    if (waiting_ == id) waiting_ = RequestId{};
    Json running = Json::array();
    const Time now = world_->clock_.Now();
    for (const auto& [task, run] : runs_) {
      if (run.stopping_) continue;
      const double part = 100.0 * static_cast<double>((now - run.since_).ms_) /
                          static_cast<double>(std::max<int64_t>(
                              1, (run.until_ - run.since_).ms_));
      running.push_back({task, run.number_, "", static_cast<int>(part)});
    }
    Json finished = Json::array();
    for (const auto& [number, row] : finished_) finished.push_back(row);
    Reply(id, 200, {{"running", running}, {"finished", finished}});
  }

  // Ends all runs once the lease has passed.
  void Check() {
    while (!runs_.empty() && Clock() > lease_) {
      End(runs_.begin()->first, "lapsed");
    }
    After(world_->base_, kLeaseCheckMs, [this] { Check(); });
  }

  World* world_;
  Store* store_;
  int index_;
  std::string id_;
  int32_t cpu_milli_;
  double clock_rate_;
  int64_t born_ = 1790000000000;
  Time life_began_;
  uint64_t fence_ = 0;
  int64_t lease_ = 0;
  uint64_t last_end_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> ended_;  ///< Highest run that is over, by task.
  std::map<uint64_t, Json> finished_;
  RequestId waiting_;
  std::unique_ptr<HttpServer> server_;
};

Json Report(const Counts& counts) {
  return {{"starts", counts.starts_},        {"done", counts.done_},
          {"running", counts.running_},      {"lapsed", counts.lapsed_},
          {"crashes", counts.crashes_},      {"overbooked", counts.overbooked_},
          {"twice", counts.twice_},          {"stale", counts.stale_},
          {"after_done", counts.after_done_}};
}

Json ReportRuns(const World& world) {
  Json report = Report(world.counts_);
  report["runs"] = Json::array();
  report["overlaps"] = Json::array();
  for (const RunPointer& run : world.runs_) {
    report["runs"].push_back(ToJson(*run));
  }
  for (const auto& [first, second] : world.overlaps_) {
    report["overlaps"].push_back({ToJson(*first), ToJson(*second)});
  }
  return report;
}

Faults ParseFaults(std::map<std::string, std::string> query) {
  Faults faults;
  faults.store_down_ = query.count("store_down") > 0;
  faults.store_silent_ = query.count("store_silent") > 0;
  faults.silent_share_ = std::atof(query["silent"].c_str());
  faults.silent_stops_ = std::atof(query["silent_stops"].c_str());
  faults.silent_polls_ = std::atof(query["silent_polls"].c_str());
  faults.late_ms_ = std::atoll(query["late_ms"].c_str());
  if (query.count("worker") > 0) {
    faults.worker_ = std::atoi(query["worker"].c_str());
  }
  return faults;
}

Json Configuration() {
  const Json queue = {
      {"name", "r-1"},        {"host", "desk.example"}, {"prefix", "/case/"},
      {"kind", "mutating"},   {"timeout_ms", 1500},     {"slo_ms", 60},
      {"service", "dossier"}, {"retries", 2},           {"stretch", 1.6}};
  return {{"version", 3},
          {"routes", Json::array({queue})},
          {"services", Json::array()},
          {"limits", Json::object()}};
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description all("Stand-in for the users' platform");
  all.add_options()("help", "show this text")(
      "workers", po::value(&options.workers_), "number of workers")(
      "cpu", po::value(&options.cpu_milli_), "room of each, in 1/1000 cores")(
      "views", po::value(&options.views_), "ports of the store")(
      "slow-clocks", po::bool_switch(&options.slow_clocks_),
      "let the clock of each second worker run 2 % slow");
  if (!ParseCommandLine(argc, argv, all)) return 2;
  signal(SIGPIPE, SIG_IGN);
  World world;
  world.base_ = event_base_new();
  Store store(&world);
  const std::vector<std::string> views = store.Start(options.views_);
  store.Put("op/config", Configuration().dump());
  std::list<HostedWorker> workers;
  Json addresses = Json::array();
  for (uint32_t i = 0; i < options.workers_; ++i) {
    workers.emplace_back(&world, &store, static_cast<int>(i), options).Start();
    addresses.push_back(workers.back().address());
  }
  HttpServer* control = nullptr;
  HttpServerEvents events;
  events.request_ = [&](RequestId id, const CallerRequest& read) {
    auto query = ParseQuery(read.path_);
    const std::string path = read.path_.substr(0, read.path_.find('?'));
    if (path == "/standin/runs") {
      return control->Reply(id, ReplyWith(200, ReportRuns(world)));
    }
    if (path == "/standin/restart") {
      std::next(workers.begin(), std::stoi(query.at("worker")))
          ->Restart(std::atoll(query["entry_ms"].c_str()));
    } else if (path == "/standin/address") {
      store.ShowAddress(std::stoul(query.at("view")), query.at("from"),
                        query.at("to"));
    } else if (read.method_ == "PUT") {
      world.faults_ = ParseFaults(std::move(query));
    }
    control->Reply(id, ReplyWith(200, Report(world.counts_)));
  };
  events.disconnected_ = [](RequestId) {};
  HttpServer server(world.base_, events);
  control = &server;
  server.Listen({"127.0.0.1", 0});
  ExitOnEof(world.base_);
  std::cout << Json{{"event", "listening"},
                    {"store", views.front()},
                    {"stores", views},
                    {"workers", addresses},
                    {"control", ToString(server.address())}}
                   .dump()
            << std::endl;
  event_base_dispatch(world.base_);
  return 0;
}

}  // namespace
}  // namespace gentiandeal::standin

int main(int argc, char** argv) {
  return gentiandeal::standin::RunMain(gentiandeal::standin::Main, argc, argv);
}
