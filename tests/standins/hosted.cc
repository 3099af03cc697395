#include <csignal>
#include <list>

#include "hosted_worker.h"

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
///   PUT /standin/key?set=KEY, ?remove=KEY  writes `{}` to a key of the store,
///       or removes it
///   PUT /standin/config[?LIMIT=N...][&routes=no]  writes the next version of
///       the configuration, with limits replaced by name, or without routes
///   GET /standin/runs  all runs, and the pairs of runs of one task at once
/// Each answers the counts, the last one also the runs.
namespace gentiandeal::standin {
namespace {

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
  faults.store_answer_ms_ = std::atoll(query["store_answer_ms"].c_str());
  faults.silent_share_ = std::atof(query["silent"].c_str());
  faults.silent_stops_ = std::atof(query["silent_stops"].c_str());
  faults.silent_polls_ = std::atof(query["silent_polls"].c_str());
  faults.late_ms_ = std::atoll(query["late_ms"].c_str());
  if (query.count("worker") > 0) {
    faults.worker_ = std::atoi(query["worker"].c_str());
  }
  return faults;
}

Json Configuration(uint64_t version,
                   const std::map<std::string, std::string>& changes = {}) {
  const Json queue = {
      {"name", "r-1"},        {"host", "desk.example"}, {"prefix", "/case/"},
      {"kind", "mutating"},   {"timeout_ms", 1500},     {"slo_ms", 60},
      {"service", "dossier"}, {"retries", 2},           {"stretch", 1.6}};
  Json limits = {{"max_header_bytes", 16384},
                 {"max_body_bytes", 262144},
                 {"header_timeout_ms", 3000},
                 {"idle_timeout_ms", 15000}};
  Json routes = Json::array({queue});
  for (const auto& [name, value] : changes) {
    if (limits.contains(name)) limits[name] = std::atoll(value.c_str());
    if (name == "routes") routes.clear();
  }
  return {{"version", version},
          {"routes", routes},
          {"services", Json::array()},
          {"limits", limits}};
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  HostedOptions options;
  po::options_description all("Stand-in for the users' platform");
  all.add_options()("help", "show this text")(
      "workers", po::value(&options.workers_), "number of workers")(
      "cpu", po::value(&options.cpu_milli_), "room of each, in 1/1000 cores")(
      "views", po::value(&options.views_), "ports of the store")(
      "slow-clocks", po::bool_switch(&options.slow_clocks_),
      "let the clock of each second worker run 2 % slow")(
      "centres", po::value(&options.centres_),
      "put workers in turn into rennes and, of 2 data centres, brest");
  if (!ParseCommandLine(argc, argv, all)) return 2;
  signal(SIGPIPE, SIG_IGN);
  World world;
  world.base_ = event_base_new();
  Store store(&world);
  const std::vector<std::string> views = store.Start(options.views_);
  uint64_t version = 3;
  store.Put("op/config", Configuration(version).dump());
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
    } else if (path == "/standin/config") {
      store.Put("op/config", Configuration(++version, query).dump());
    } else if (path == "/standin/key") {
      if (query.count("set") > 0) store.Put(query["set"], "{}");
      if (query.count("remove") > 0) store.Remove(query["remove"]);
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
