#include <fcntl.h>

#include <csignal>
#include <cstring>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "answer_bytes.h"
#include "gentiandeal_p.h"
#include "standin.h"

/// Stand-in for backend workers: runs tasks for the time asked by their query
/// (`ms`, `bytes`), at most `slots` at once, and misbehaves when told to by
/// `PUT /standin/faults` on the control port. One process hosts several
/// workers.
namespace gentiandeal::standin {
namespace {

struct Options {
  uint16_t port_ = 0;
  uint32_t count_ = 1;
  uint32_t slots_ = 8;
  uint32_t max_connections_ = 60;
  std::string log_;
  bool exit_on_eof_ = false;
};

/// Faults in force at one worker. Each request to set them replaces them all.
struct Faults {
  int64_t fail_ms_ = -1;  ///< Answers 500 this long after the start.
  bool refuse_ = false;
  bool refuse_unmarked_ = false;
  bool leaving_ = false;
  double slow_factor_ = 1;
  bool reset_before_ = false;
  bool reset_after_start_ = false;
  bool cut_answer_ = false;
  int64_t late_ms_ = 0;  ///< Holds answers back after the run.
  bool wrong_echo_ = false;
  bool closed_ = false;  ///< Refuses connects and resets open connections.
  int64_t times_ = 0;    ///< Tasks hit before the faults end; 0 never ends.
};

Faults ParseFaults(const Query& query) {
  Faults faults;
  faults.fail_ms_ = query.Int("fail_ms", -1);
  faults.refuse_ = query.Has("refuse");
  faults.refuse_unmarked_ = query.Has("refuse_unmarked");
  faults.leaving_ = query.Has("leaving");
  faults.slow_factor_ = query.Real("slow_factor", 1);
  faults.reset_before_ = query.Has("reset_before");
  faults.reset_after_start_ = query.Has("reset_after_start");
  faults.cut_answer_ = query.Has("cut_answer");
  faults.late_ms_ = query.Int("late", 0);
  faults.wrong_echo_ = query.Has("wrong_echo");
  faults.closed_ = query.Has("closed");
  faults.times_ = query.Int("times", 0);
  return faults;
}

std::string WholePath(const evhtp_request_t* request) {
  std::string path = request->uri->path->full;
  if (request->uri->query_raw == nullptr) return path;
  return path + "?" + reinterpret_cast<const char*>(request->uri->query_raw);
}

class Worker;

/// One request to a worker, from its arrival to its answer.
struct Task {
  Worker* worker_ = nullptr;
  evhtp_request_t* request_ = nullptr;  ///< Null once the connection is gone.
  event* timer_ = nullptr;
  std::string id_;
  std::string method_;
  std::string path_;
  std::string body_;
  int64_t run_ms_ = 0;
  size_t bytes_ = 0;
  Faults faults_;
  bool started_ = false;
};

/// One worker: a listening port, its slots and the tasks that wait for one.
class Worker {
 public:
  Worker(event_base* base, const Options& options, int log)
      : base_(base), options_(options), log_(log) {}

  /// @returns the port, or 0 when it can't be bound.
  uint16_t Start(uint16_t port) {
    server_ = evhtp_new(base_, nullptr);
    evhtp_set_post_accept_cb(server_, &Worker::OnAccept, this);
    evhtp_set_gencb(server_, &Worker::OnRequest, this);
    port_ = BindLoopback(server_, port);
    return port_;
  }

  void SetFaults(const Faults& faults);
  nlohmann::json Stats() const;

 private:
  static evhtp_res OnAccept(evhtp_connection_t* connection, void* arg) {
    auto* self = static_cast<Worker*>(arg);
    const bool reset = self->faults_.reset_before_;
    if (reset) self->CountFault();
    if (reset || self->IsFull()) {
      ResetOnClose(connection->sock);
      return EVHTP_RES_ERROR;
    }
    self->connections_.insert(connection);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              ToHook(&Worker::OnClose), self);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnClose(evhtp_connection_t* connection, void* arg) {
    static_cast<Worker*>(arg)->connections_.erase(connection);
    return EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request_t* request, void* arg);
  static evhtp_res OnRequestGone(evhtp_request_t* request, void* arg);
  static void OnTimer(evutil_socket_t fd, int16_t what, void* arg);

  bool IsFull() const {
    return connections_.size() >= options_.max_connections_;
  }

  void CountFault() {
    if (faults_.times_ == 0 || --faults_.times_ > 0) return;
    faults_ = {};
  }

  void Arrive(evhtp_request_t* request);
  bool Refuse(evhtp_request_t* request);
  void Run(Task* task);
  void StartWaiting();
  void End(Task* task);
  void Answer(Task* task);
  void CutAnswer(Task* task, const std::string& body);
  void Reset(Task* task);
  void LogStart(const Task& task);
  void ResetAll();

  event_base* base_;
  const Options& options_;
  int log_;
  evhtp_t* server_ = nullptr;
  uint16_t port_ = 0;
  Faults faults_;
  std::set<evhtp_connection_t*> connections_;
  std::deque<Task*> waiting_;
  uint32_t running_ = 0;
  uint64_t started_ = 0;
  uint32_t most_running_ = 0;
};

void Worker::OnRequest(evhtp_request_t* request, void* arg) {
  static_cast<Worker*>(arg)->Arrive(request);
}

void Worker::SetFaults(const Faults& faults) {
  const bool was_closed = faults_.closed_;
  faults_ = faults;
  if (faults.closed_ == was_closed) return;
  if (!faults.closed_) {
    if (BindLoopback(server_, port_) == 0) std::abort();
    return;
  }
  evhtp_unbind_socket(server_);
  ResetAll();
}

void Worker::ResetAll() {
  const std::set<evhtp_connection_t*> open = connections_;
  for (evhtp_connection_t* connection : open) {
    ResetOnClose(connection->sock);
    evhtp_connection_free(connection);
  }
}

nlohmann::json Worker::Stats() const {
  return {{"started", started_},
          {"running", running_},
          {"waiting", waiting_.size()},
          {"most_running", most_running_},
          {"connections", connections_.size()}};
}

void Worker::Arrive(evhtp_request_t* request) {
  if (Refuse(request)) return;
  auto task = std::make_unique<Task>();
  task->worker_ = this;
  task->request_ = request;
  const char* id = evhtp_header_find(request->headers_in, "Gentiandeal-Task");
  task->id_ = id == nullptr ? "-" : id;
  task->method_ = htparser_get_methodstr(request->conn->parser);
  task->path_ = WholePath(request);
  task->body_.resize(evbuffer_get_length(request->buffer_in));
  evbuffer_copyout(request->buffer_in, task->body_.data(), task->body_.size());
  const Query query(request);
  task->run_ms_ = query.Int("ms", 0);
  task->bytes_ = static_cast<size_t>(query.Int("bytes", 0));
  Task* raw = task.release();
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         ToHook(&Worker::OnRequestGone), raw);
  waiting_.push_back(raw);
  StartWaiting();
}

/// Answers a request that is not to run. @returns false when it may run.
bool Worker::Refuse(evhtp_request_t* request) {
  if (!faults_.refuse_ && !faults_.refuse_unmarked_) return false;
  if (faults_.refuse_) AddHeader(request, "Gentiandeal-Not-Run", "1");
  if (faults_.leaving_) AddHeader(request, "Gentiandeal-Leaving", "1");
  CountFault();
  Reply(request, EVHTP_RES_SERVUNAVAIL, "refused\n");
  return true;
}

void Worker::StartWaiting() {
  while (running_ < options_.slots_ && !waiting_.empty()) {
    Task* task = waiting_.front();
    waiting_.pop_front();
    Run(task);
  }
}

void Worker::LogStart(const Task& task) {
  ++started_;
  if (log_ < 0) return;
  const std::string line = std::to_string(MonotonicClock().Now().ms_) + " " +
                           task.id_ + " " + task.method_ + " " + task.path_ +
                           " " + std::to_string(port_) + "\n";
  if (write(log_, line.data(), line.size()) < 0) std::abort();
}

void Worker::Run(Task* task) {
  task->faults_ = faults_;
  CountFault();
  const Faults& faults = task->faults_;
  task->started_ = true;
  if (!faults.reset_before_) LogStart(*task);
  ++running_;
  most_running_ = std::max(most_running_, running_);
  int64_t run_ms = task->run_ms_;
  if (faults.fail_ms_ >= 0) run_ms = faults.fail_ms_;
  if (faults.reset_before_ || faults.reset_after_start_) run_ms = 0;
  run_ms = static_cast<int64_t>(static_cast<double>(run_ms) *
                                std::max(faults.slow_factor_, 0.0)) +
           faults.late_ms_;
  task->timer_ = evtimer_new(base_, &Worker::OnTimer, task);
  const timeval delay = ToTimeval(run_ms);
  evtimer_add(task->timer_, &delay);
}

void Worker::OnTimer(evutil_socket_t /*fd*/, int16_t /*what*/, void* arg) {
  auto* task = static_cast<Task*>(arg);
  Worker* self = task->worker_;
  self->End(task);
  self->StartWaiting();
}

void Worker::End(Task* task) {
  --running_;
  if (task->request_ != nullptr) {
    evhtp_request_unset_hook(task->request_, evhtp_hook_on_request_fini);
    if (task->faults_.reset_before_ || task->faults_.reset_after_start_) {
      Reset(task);
    } else {
      Answer(task);
    }
  }
  event_free(task->timer_);
  delete task;
}

void Worker::Reset(Task* task) {
  evhtp_connection_t* connection = task->request_->conn;
  ResetOnClose(connection->sock);
  evhtp_connection_free(connection);
}

void Worker::Answer(Task* task) {
  evhtp_request_t* request = task->request_;
  const Faults& faults = task->faults_;
  const std::string body =
      AnswerBytes(task->method_, task->path_, task->body_, task->bytes_);
  if (faults.cut_answer_) {
    CutAnswer(task, body);
    return;
  }
  if (task->id_ != "-") {
    AddHeader(request, "Gentiandeal-Task",
              faults.wrong_echo_ ? task->id_ + "0" : task->id_);
  }
  if (faults.leaving_) AddHeader(request, "Gentiandeal-Leaving", "1");
  const bool failed = faults.fail_ms_ >= 0;
  Reply(request, failed ? EVHTP_RES_SERVERR : EVHTP_RES_OK, body);
}

/// Announces the whole body, sends half of it and closes the connection.
void Worker::CutAnswer(Task* task, const std::string& body) {
  evhtp_connection_t* connection = task->request_->conn;
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 1) +
      "\r\n\r\n";
  const std::string bytes = head + body.substr(0, body.size() / 2);
  if (send(connection->sock, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
    std::cerr << "cut answer: " << std::strerror(errno) << "\n";
  }
  evhtp_connection_free(connection);
}

/// The connection closed first. A task that waits never starts; one that runs
/// keeps its slot to its end.
evhtp_res Worker::OnRequestGone(evhtp_request_t* /*request*/, void* arg) {
  auto* task = static_cast<Task*>(arg);
  task->request_ = nullptr;
  if (task->started_) return EVHTP_RES_OK;
  std::erase(task->worker_->waiting_, task);
  delete task;
  return EVHTP_RES_OK;
}

/// Control port: `PUT /standin/faults` for one worker (`worker=INDEX`) or for
/// all, `GET /standin/stats`.
class Control {
 public:
  explicit Control(event_base* base) : server_(evhtp_new(base, nullptr)) {
    evhtp_set_cb(server_, "/standin/faults", &Control::OnFaults, this);
    evhtp_set_cb(server_, "/standin/stats", &Control::OnStats, this);
  }

  uint16_t Start() { return BindLoopback(server_, 0); }
  Worker* Add(event_base* base, const Options& options, int log) {
    workers_.push_back(std::make_unique<Worker>(base, options, log));
    return workers_.back().get();
  }

 private:
  static void OnFaults(evhtp_request_t* request, void* arg) {
    const auto* self = static_cast<Control*>(arg);
    const Query query(request);
    const int64_t wanted = query.Int("worker", -1);
    for (size_t i = 0; i < self->workers_.size(); ++i) {
      if (wanted >= 0 && wanted != static_cast<int64_t>(i)) continue;
      self->workers_[i]->SetFaults(ParseFaults(query));
    }
    Reply(request, EVHTP_RES_OK, "{}\n");
  }

  static void OnStats(evhtp_request_t* request, void* arg) {
    nlohmann::json stats = nlohmann::json::array();
    for (const auto& worker : static_cast<Control*>(arg)->workers_) {
      stats.push_back(worker->Stats());
    }
    Reply(request, EVHTP_RES_OK, stats.dump() + "\n");
  }

  evhtp_t* server_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

bool Parse(int argc, char** argv, Options* options) {
  namespace po = boost::program_options;
  po::options_description all("Stand-in for backend workers");
  auto add = all.add_options();
  add("help", "show this text");
  add("port", po::value(&options->port_), "first port; 0 takes free ports");
  add("count", po::value(&options->count_), "workers in this process");
  add("slots", po::value(&options->slots_), "tasks run at once by one worker");
  add("max-connections", po::value(&options->max_connections_),
      "connections held by one worker");
  add("log", po::value(&options->log_), "file to which starts are appended");
  add("exit-on-eof", po::bool_switch(&options->exit_on_eof_),
      "end when standard input is closed");
  return ParseCommandLine(argc, argv, all);
}

void PrintStartUpLine(const std::vector<std::string>& addresses,
                      uint16_t control) {
  const nlohmann::json line = {
      {"event", "listening"},
      {"control", ToString(Address{"127.0.0.1", control})},
      {"address", addresses.front()},
      {"addresses", addresses}};
  std::cout << line.dump() << std::endl;
}

int Main(int argc, char** argv) {
  Options options;
  if (!Parse(argc, argv, &options)) return 2;
  signal(SIGPIPE, SIG_IGN);
  int log = -1;
  if (!options.log_.empty()) {
    constexpr int kMode = 0644;
    log = open(options.log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
               kMode);
    if (log < 0) return 1;
  }
  event_base* base = event_base_new();
  Control control(base);
  std::vector<std::string> addresses;
  for (uint32_t i = 0; i < options.count_; ++i) {
    const auto wanted =
        static_cast<uint16_t>(options.port_ == 0 ? 0 : options.port_ + i);
    const uint16_t port = control.Add(base, options, log)->Start(wanted);
    if (port == 0) return 1;
    addresses.push_back(ToString(Address{"127.0.0.1", port}));
  }
  if (options.exit_on_eof_) ExitOnEof(base);
  PrintStartUpLine(addresses, control.Start());
  event_base_dispatch(base);
  return 0;
}

}  // namespace
}  // namespace gentiandeal::standin

int main(int argc, char** argv) {
  return gentiandeal::standin::RunMain(gentiandeal::standin::Main, argc, argv);
}
