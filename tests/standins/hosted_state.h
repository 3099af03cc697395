#ifndef GENTIANDEAL_TESTS_STANDINS_HOSTED_STATE_H_
#define GENTIANDEAL_TESTS_STANDINS_HOSTED_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "http_server.h"
#include "standin.h"

/// What the parts of the stand-in of the users' platform share: faults in force
/// and what was seen.
namespace gentiandeal::standin {

using Json = nlohmann::json;

/// Faults in force; each request to set them replaces them all.
struct Faults {
  bool store_down_ = false;      ///< The store answers 503.
  bool store_silent_ = false;    ///< The store answers nothing.
  int64_t store_answer_ms_ = 0;  ///< From a call of the store to its answer.
  double silent_share_ = 0;      ///< Starts that get no answer,
  double silent_stops_ = 0;      ///< and stops,
  double silent_polls_ = 0;      ///< and polls;
  int64_t late_ms_ = 0;          ///< they are carried out so much later.
  int worker_ = -1;              ///< The silent one; -1: all.
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

inline Json ToJson(const RunRecord& run) {
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

inline HttpReply ReplyWith(int status, const Json& body) {
  return JsonReply(status, body.dump());
}

/// Calls back once after a while.
inline void After(event_base* base, int64_t ms, std::function<void()> call) {
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

inline std::map<std::string, std::string> ParseQuery(const std::string& path) {
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

}  // namespace gentiandeal::standin

#endif  // GENTIANDEAL_TESTS_STANDINS_HOSTED_STATE_H_
