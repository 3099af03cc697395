#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <unordered_map>

#include "gentiandeal_p.h"
#include "membership.h"
#include "peer_socket.h"
#include "peer_wire.h"
#include "team_limiter.h"
#include "wire_frame.h"

/// Cost of the control traffic between entry instances, on a virtual clock:
/// bytes and datagrams repeat exactly; processor time is that of the calls and
/// of the socket.
namespace gentiandeal {
namespace {

constexpr Duration kWarmUp{4000};
constexpr Duration kMeasured{20000};
constexpr uint32_t kSlots = 8;
/// 28,000 starts a second over 610 workers.
constexpr double kStartsPerWorker = 28000.0 / 610;
constexpr double kMeanRunMs = 150;
constexpr uint64_t kSeed = 20261203;
constexpr int kSocketDatagrams = 20000;
constexpr int kFrames = 500;
constexpr size_t kBodyBytes = 300;

/// The target for one node.
constexpr double kMaxBytesPerSecond = 9000;
constexpr double kMaxCoreShare = 0.021;
constexpr double kMaxMemoryBytes = 32.0 * 1024 * 1024;

/// One fleet that is measured.
struct Shape {
  int instances_ = 2;  ///< Of each data centre.
  int workers_ = 12;   ///< Of each data centre.
  int data_centres_ = 1;
  int teams_ = 0;  ///< With a quota and a rate limit each.
  double starts_per_worker_ = kStartsPerWorker;
};

/// Figures of one node, each second.
struct Figures {
  double datagrams_sent_ = 0;
  double bytes_sent_ = 0;
  double bytes_received_ = 0;
  double report_rounds_ = 0;
  double core_share_ = 0;
  double memory_bytes_ = 0;
};

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

/// One entry instance with tasks that start and end.
struct Node {
  Node(const InstanceId& id, const Settings& settings, uint32_t fleet)
      : id_(id), membership_(id) {
    membership_.SetSettings(settings);
    guards_.SetSettings(settings);
    guards_.SetInstances(fleet);
  }

  InstanceId id_;
  Membership membership_;
  TeamLimiter guards_;
  OwnLoad load_;
  std::map<Address, uint16_t> in_use_;
  double cpu_seconds_ = 0;
};

struct Running {
  Time end_;
  size_t node_;
  size_t worker_;
  TeamHandle team_;
  bool operator>(const Running& other) const { return end_ > other.end_; }
};

class Fleet {
 public:
  explicit Fleet(const Shape& shape)
      : shape_(shape), random_(kSeed), memory_before_(mallinfo2().uordblks) {
    settings_.teams_.resize(static_cast<size_t>(shape.teams_) + 1);
    for (int i = 1; i <= shape.teams_; ++i) {
      TeamSettings& team = settings_.teams_[static_cast<size_t>(i)];
      team.name_ = "team" + std::to_string(i);
      team.task_quota_ = 400;
      team.starts_per_second_ = 2000;
    }
    const int count = shape.instances_ * shape.data_centres_;
    for (int i = 0; i < count; ++i) AddNode(i, static_cast<uint32_t>(count));
    for (int dc = 0; dc < shape.data_centres_; ++dc) AddWorkers(dc);
    ListNodes();
  }

  Figures Run() {
    RunFor(kWarmUp);
    const MembershipStats before = Sum();
    for (auto& node : nodes_) node->cpu_seconds_ = 0;
    RunFor(kMeasured);
    const MembershipStats after = Sum();
    const auto count = static_cast<double>(nodes_.size());
    const double seconds = static_cast<double>(kMeasured.ms_) / 1000;
    const auto rate = [&](uint64_t a, uint64_t b) {
      return static_cast<double>(b - a) / seconds / count;
    };
    Figures figures;
    figures.datagrams_sent_ =
        rate(before.datagrams_sent_, after.datagrams_sent_);
    figures.bytes_sent_ = rate(before.bytes_sent_, after.bytes_sent_);
    figures.bytes_received_ =
        rate(before.bytes_received_, after.bytes_received_);
    figures.report_rounds_ =
        rate(before.load_reports_sent_, after.load_reports_sent_) /
        std::max(1, shape_.instances_ - 1);
    double cpu = 0;
    for (const auto& node : nodes_) cpu += node->cpu_seconds_;
    figures.core_share_ = cpu / seconds / count;
    const size_t bytes = mallinfo2().uordblks - memory_before_;
    figures.memory_bytes_ = static_cast<double>(bytes) / count;
    return figures;
  }

 private:
  struct Packet {
    Address from_;
    size_t to_;
    std::string bytes_;
  };
  struct Worker {
    Address address_;
    uint32_t in_use_ = 0;
  };

  static Address MakeAddress(int net, int index, uint16_t port) {
    const std::string host = "10." + std::to_string(net) + "." +
                             std::to_string(index / 250) + "." +
                             std::to_string(index % 250 + 1);
    return {host, port};
  }

  void AddNode(int index, uint32_t fleet) {
    const int dc = index / shape_.instances_;
    const Address address = MakeAddress(0, index, 7000);
    const InstanceId id{"dc" + std::to_string(dc), address, {random_() | 1}};
    index_[address] = nodes_.size();
    nodes_.push_back(std::make_unique<Node>(id, settings_, fleet));
  }

  void AddWorkers(int dc) {
    std::vector<WorkerInfo> listed;
    auto& workers = workers_.emplace_back();
    for (int i = 0; i < shape_.workers_; ++i) {
      WorkerInfo info;
      info.address_ = MakeAddress(dc + 1, i, 8000);
      workers.push_back({info.address_});
      listed.push_back(info);
    }
    for (int i = 0; i < shape_.instances_; ++i) {
      const int node = dc * shape_.instances_ + i;
      nodes_[static_cast<size_t>(node)]->membership_.SetWorkers(listed);
    }
  }

  void ListNodes() {
    std::vector<PeerInfo> list;
    for (const auto& node : nodes_) {
      list.push_back({node->id_.peer_address_, node->id_.data_centre_, false});
    }
    for (auto& node : nodes_) node->membership_.SetListedPeers(list, now_);
  }

  MembershipStats Sum() const {
    MembershipStats sum;
    for (const auto& node : nodes_) {
      const MembershipStats& one = node->membership_.stats();
      sum.datagrams_sent_ += one.datagrams_sent_;
      sum.bytes_sent_ += one.bytes_sent_;
      sum.bytes_received_ += one.bytes_received_;
      sum.load_reports_sent_ += one.load_reports_sent_;
    }
    return sum;
  }

  void RunFor(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ = now_ + config::kTickInterval;
      EndTasks();
      StartTasks();
      Deliver();
      for (auto& node : nodes_) TickNode(node.get());
    }
  }

  std::vector<Worker>& WorkersOf(size_t node) {
    return workers_[node / static_cast<size_t>(shape_.instances_)];
  }

  void EndTasks() {
    while (!running_.empty() && running_.top().end_ <= now_) {
      const Running task = running_.top();
      running_.pop();
      Node& node = *nodes_[task.node_];
      Worker& worker = WorkersOf(task.node_)[task.worker_];
      --worker.in_use_;
      --node.in_use_[worker.address_];
      --node.load_.running_tasks_;
      node.guards_.OnEnd(task.team_);
    }
  }

  void StartTasks() {
    const double per_node =
        shape_.starts_per_worker_ * shape_.workers_ / shape_.instances_;
    if (per_node <= 0) return;
    std::poisson_distribution<int> starts(
        per_node * static_cast<double>(config::kTickInterval.ms_) / 1000);
    for (size_t node = 0; node < nodes_.size(); ++node) {
      for (int i = starts(random_); i > 0; --i) StartTask(node);
    }
  }

  void StartTask(size_t index) {
    Node& node = *nodes_[index];
    auto& workers = WorkersOf(index);
    const size_t chosen = random_() % workers.size();
    Worker& worker = workers[chosen];
    if (worker.in_use_ >= kSlots) return;
    const TeamHandle team{
        static_cast<uint16_t>(random_() % settings_.teams_.size())};
    const double begin = CpuSeconds();
    Duration retry;
    const bool may = node.guards_.MayRun(team, now_) &&
                     node.guards_.TryTakeStarts(team, 1, now_, &retry);
    if (may) node.guards_.OnStart(team);
    node.cpu_seconds_ += CpuSeconds() - begin;
    if (!may) return;
    ++worker.in_use_;
    ++node.in_use_[worker.address_];
    ++node.load_.running_tasks_;
    ++node.load_.task_starts_;
    std::exponential_distribution<> run(1 / kMeanRunMs);
    const Duration length{static_cast<int64_t>(run(random_)) + 1};
    running_.push({now_ + length, index, chosen, team});
  }

  void Deliver() {
    std::vector<Packet> due;
    due.swap(packets_);
    for (const Packet& packet : due) {
      Node& node = *nodes_[packet.to_];
      PeerEvents events;
      const double begin = CpuSeconds();
      node.membership_.OnDatagram(packet.from_, packet.bytes_, now_, &events);
      Take(&node, &events);
      node.cpu_seconds_ += CpuSeconds() - begin;
    }
  }

  void TickNode(Node* node) {
    PeerEvents events;
    const double begin = CpuSeconds();
    node->load_.team_usages_ = node->guards_.TakeChangedUsages(now_);
    node->membership_.Tick(
        now_, node->load_,
        [node](const Address& worker) {
          const auto found = node->in_use_.find(worker);
          return found == node->in_use_.end() ? uint16_t{0} : found->second;
        },
        &events);
    Take(node, &events);
    node->cpu_seconds_ += CpuSeconds() - begin;
  }

  void Take(Node* node, PeerEvents* events) {
    for (PeerEvent& event : *events) {
      if (auto* send = std::get_if<SendDatagram>(&event)) {
        packets_.push_back({node->id_.peer_address_, index_.at(send->to_),
                            std::move(send->bytes_)});
      } else if (auto* use = std::get_if<PeerTeamUsage>(&event)) {
        node->guards_.SetPeerUsage(use->peer_, use->usage_, now_);
      }
    }
  }

  Shape shape_;
  std::mt19937_64 random_;
  size_t memory_before_;
  Settings settings_;
  Time now_{1000000};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::vector<Worker>> workers_;
  std::map<Address, size_t> index_;
  std::vector<Packet> packets_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
};

/// Processor time of sending one datagram and receiving one.
double SocketSecondsPerDatagram() {
  event_base* base = event_base_new();
  int received = 0;
  double seconds = 0;
  {
    PeerSocket socket(base,
                      [&](const Address&, std::string_view) { ++received; });
    if (socket.Open({"127.0.0.1", 0})) return 0;
    const std::string bytes(100, 'x');
    const double begin = CpuSeconds();
    for (int i = 0; i < kSocketDatagrams; ++i) {
      socket.Send(socket.local(), bytes);
      event_base_loop(base, EVLOOP_NONBLOCK);
    }
    seconds = CpuSeconds() - begin;
  }
  event_base_free(base);
  return received == 0 ? 0 : seconds / received;
}

/// Processor time to write and read a submission of `tasks` tasks with bodies
/// of `kBodyBytes`, and its size.
struct FrameCost {
  double seconds_ = 0;
  size_t bytes_ = 0;
};

FrameCost SubmitFrameCost(size_t tasks) {
  auto job = std::make_shared<JobSpec>();
  job->tasks_.resize(tasks);
  for (TaskSpec& task : job->tasks_) {
    task.path_ = "/convocations";
    task.fields_ = {{"Content-Type", "application/json"}};
    task.body_ = std::string(kBodyBytes, 'x');
  }
  ForwardSubmission forward;
  forward.forward_ = {1};
  forward.submission_.emplace();
  forward.job_ = std::move(job);
  FrameCost cost;
  const double begin = CpuSeconds();
  for (int i = 0; i < kFrames; ++i) {
    const std::string bytes = EncodeSubmit(forward);
    std::string_view body = bytes;
    body.remove_prefix(kFrameLengthBytes);
    Frame frame;
    if (!DecodeFrame(body, &frame)) return {};
    cost.bytes_ = bytes.size();
  }
  cost.seconds_ = (CpuSeconds() - begin) / kFrames;
  return cost;
}

/// A line through points, by least squares.
struct Line {
  double constant_ = 0;
  double slope_ = 0;
};

Line Fit(const std::vector<std::pair<double, double>>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const auto count = static_cast<double>(points.size());
  const double slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  return {(sum_y - slope * sum_x) / count, slope};
}

nlohmann::json ToJson(const Line& line) {
  return {{"constant", line.constant_}, {"slope", line.slope_}};
}

nlohmann::json ToJson(const FrameCost& cost) {
  return {{"seconds", cost.seconds_}, {"bytes", cost.bytes_}};
}

nlohmann::json ToJson(const Shape& shape, const Figures& figures) {
  return {{"instances_per_data_centre", shape.instances_},
          {"data_centres", shape.data_centres_},
          {"workers_per_data_centre", shape.workers_},
          {"teams_with_guards", shape.teams_},
          {"starts_per_second_per_worker", shape.starts_per_worker_},
          {"datagrams_sent_per_second", figures.datagrams_sent_},
          {"bytes_sent_per_second", figures.bytes_sent_},
          {"bytes_received_per_second", figures.bytes_received_},
          {"report_rounds_per_second", figures.report_rounds_},
          {"core_share", figures.core_share_},
          {"memory_bytes", figures.memory_bytes_}};
}

void Print(const Shape& shape, const Figures& figures) {
  std::printf(
      "%2d x %d instances %3d workers %3d teams %4.0f starts/s a worker: "
      "%5.1f datagrams/s %4.0f B/s out %4.0f B/s in %5.1f rounds/s "
      "%.3f %% core %4.0f KB\n",
      shape.instances_, shape.data_centres_, shape.workers_, shape.teams_,
      shape.starts_per_worker_, figures.datagrams_sent_, figures.bytes_sent_,
      figures.bytes_received_, figures.report_rounds_,
      figures.core_share_ * 100, figures.memory_bytes_ / 1024);
}

/// Compares one figure with the target. @returns whether it holds.
bool Check(const char* what, double value, double bound) {
  if (value <= bound) return true;
  std::fprintf(stderr, "MISS: %s is %.4g, target %.4g\n", what, value, bound);
  return false;
}

bool CheckAll(const Figures& figures) {
  const double both = figures.bytes_sent_ + figures.bytes_received_;
  const bool bytes =
      Check("bytes a second, sent and received", both, kMaxBytesPerSecond);
  const bool core =
      Check("share of a core", figures.core_share_, kMaxCoreShare);
  const bool memory =
      Check("memory in bytes", figures.memory_bytes_, kMaxMemoryBytes);
  return bytes && core && memory;
}

std::vector<Shape> Shapes() {
  std::vector<Shape> shapes;
  for (const int instances : {2, 4, 8, 16}) {
    for (const int workers : {12, 50, 200}) {
      shapes.push_back({instances, workers});
    }
  }
  for (const int instances : {2, 4, 8, 16}) {
    shapes.push_back({instances, 50, 1, 0, 0});
  }
  // The target's size: idle, at its peak, and with every team guarded.
  shapes.push_back({8, 122, 5, 0, 0});
  shapes.push_back({8, 122, 5, 0});
  shapes.push_back({8, 122, 5, 160});
  return shapes;
}

int Main(bool json, bool check) {
  using Points = std::vector<std::pair<double, double>>;
  const double per_datagram = SocketSecondsPerDatagram();
  bool good = true;
  Points heartbeat;
  Points memory;
  Points core;
  nlohmann::json cells = nlohmann::json::array();
  for (const Shape& shape : Shapes()) {
    Figures figures = Fleet(shape).Run();
    figures.core_share_ += figures.datagrams_sent_ * per_datagram;
    cells.push_back(ToJson(shape, figures));
    if (!json) Print(shape, figures);
    good &= CheckAll(figures);
    if (shape.data_centres_ > 1) continue;
    if (shape.starts_per_worker_ <= 0) {
      heartbeat.emplace_back(shape.instances_ - 1, figures.bytes_sent_);
      continue;
    }
    memory.emplace_back(shape.instances_ * shape.workers_,
                        figures.memory_bytes_);
    core.emplace_back(figures.report_rounds_ * shape.workers_,
                      figures.core_share_);
  }
  const nlohmann::json slopes = {
      {"heartbeat_bytes_per_second_per_peer", ToJson(Fit(heartbeat))},
      {"memory_bytes_per_instance_times_worker", ToJson(Fit(memory))},
      {"core_share_per_worker_counted_a_second", ToJson(Fit(core))},
      {"socket_seconds_per_datagram", per_datagram},
      {"submit_frame_of_1_task", ToJson(SubmitFrameCost(1))},
      {"submit_frame_of_260_tasks",
       ToJson(SubmitFrameCost(config::kMaxTasksPerJob))}};
  const nlohmann::json all = {{"cells", cells}, {"slopes", slopes}};
  std::cout << (json ? all : slopes).dump(2) << '\n';
  return check && !good ? 1 : 0;
}

}  // namespace
}  // namespace gentiandeal

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  try {
    po::options_description options("Measures control traffic");
    options.add_options()("json", "write figures and slopes as JSON")(
        "check", "fail when a figure misses the target")("help", "this text");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    return gentiandeal::Main(values.count("json") != 0,
                             values.count("check") != 0);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
