#include <cstdio>
#include <cstdlib>
#include <deque>

#include "run_time_estimator.h"
#include "task_queue.h"
#include "worker_table.h"

/// Runs the decisions of a fixed number of tasks, to be counted by callgrind:
/// `bench_cost WORKERS TEAMS TASKS`. Counting starts in `DecideTasks`.
namespace gentiandeal::bench {
namespace {

constexpr uint32_t kTasksPerJob = 20;
constexpr Duration kDeclared{500};

struct Parts {
  WorkerTable workers_{1};
  TaskQueue queue_;
  RunTimeEstimator times_;
};

struct Running {
  WorkerHandle worker_;
  JobId job_;
};

void ListWorkers(uint32_t count, Parts* parts) {
  std::vector<WorkerInfo> infos(count);
  for (uint32_t i = 0; i < count; ++i) {
    infos[i].address_ = {"10.0.0.1", static_cast<uint16_t>(1 + i)};
  }
  parts->workers_.SetWorkers(infos);
  parts->workers_.SetInstanceRank(0, 2);
}

void EndOldest(std::deque<Running>* running, Time now, Parts* parts) {
  const Running ended = running->front();
  running->pop_front();
  const Duration run{400 + now.ms_ % 200};
  const KindHandle kind = parts->times_.FindOrAdd("booking");
  parts->workers_.OnEnd(ended.worker_, now, {});
  parts->workers_.OnServiceTime(ended.worker_, run, kDeclared);
  parts->times_.Observe(kind, kDeclared, run);
}

/// Keeps three quarters of the slots busy, and one job of each team queued.
void DecideTasks(uint32_t teams, uint32_t tasks, Parts* parts) {
  const uint32_t busy = parts->workers_.usable_slots() * 3 / 4;
  std::deque<Running> running;
  std::vector<Duration> expected(kTasksPerJob);
  std::vector<uint32_t> left;
  uint64_t last_job = 0;
  Time now;
  const auto add = [&](TeamHandle team) {
    const KindHandle kind = parts->times_.FindOrAdd("booking");
    for (Duration& duration : expected) {
      duration = parts->times_.Estimate(kind, kDeclared);
    }
    const Duration work{expected[0].ms_ * kTasksPerJob};
    parts->queue_.BacklogAhead(team, now, work);
    left.push_back(kTasksPerJob);
    parts->queue_.Add({++last_job}, team, now, now + Duration{5000}, expected);
  };
  for (uint32_t t = 0; t < teams; ++t) add({static_cast<uint16_t>(t)});
  for (uint32_t i = 0; i < tasks; ++i) {
    now = now + Duration{1};
    parts->workers_.Tick(now);
    if (running.size() >= busy) EndOldest(&running, now, parts);
    const WorkerHandle worker = parts->workers_.Pick({});
    const auto task = parts->queue_.Pop(now);
    if (!worker.valid() || !task) std::abort();
    parts->workers_.OnStart(worker);
    running.push_back({worker, task->job_});
    if (--left[task->job_.value_ - 1] > 0) continue;
    const auto team = static_cast<uint16_t>((task->job_.value_ - 1) % teams);
    parts->queue_.Remove(task->job_);
    add({team});
  }
}

int Main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: bench_cost WORKERS TEAMS TASKS\n");
    return 2;
  }
  const auto number = [argv](int i) {
    return static_cast<uint32_t>(std::strtoul(argv[i], nullptr, 10));
  };
  Parts parts;
  ListWorkers(number(1), &parts);
  DecideTasks(number(2), number(3), &parts);
  return 0;
}

}  // namespace
}  // namespace gentiandeal::bench

int main(int argc, char** argv) {
  try {
    return gentiandeal::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_cost: %s\n", error.what());
    return 2;
  }
}
