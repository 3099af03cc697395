#ifndef GENTIANDEAL_TESTS_STANDINS_HOSTED_WORKER_H_
#define GENTIANDEAL_TESTS_STANDINS_HOSTED_WORKER_H_

#include "hosted_store.h"

/// Workers of the stand-in of the users' platform.
namespace gentiandeal::standin {

/// Size of the deployment that the stand-in plays.
struct HostedOptions {
  uint32_t workers_ = 4;
  int32_t cpu_milli_ = 32000;
  uint32_t views_ = 1;
  bool slow_clocks_ = false;
  int centres_ = 1;
};

/// One worker. A task's payload is its run time in milliseconds. With
/// `kCrashPayload` before it, the first task of a step ends its worker, which
/// is back under its id after a while.
class HostedWorker {
 public:
  HostedWorker(World* world, Store* store, int index,
               const HostedOptions& options)
      : world_(world),
        store_(store),
        index_(index),
        id_("i-" + std::to_string(index)),
        zone_(index % options.centres_ == 0 ? "rennes" : "brest"),
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
    // The server sends its replies before it ends; a worker that is gone tells
    // nothing.
    waiting_ = RequestId{};
    while (!runs_.empty()) End(runs_.begin()->first, "gone");
    server_.reset();
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
        {"zone", zone_},
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
  std::string zone_;
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

}  // namespace gentiandeal::standin

#endif  // GENTIANDEAL_TESTS_STANDINS_HOSTED_WORKER_H_
