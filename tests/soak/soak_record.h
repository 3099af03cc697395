#ifndef GENTIANDEAL_TESTS_SOAK_SOAK_RECORD_H_
#define GENTIANDEAL_TESTS_SOAK_SOAK_RECORD_H_

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_client.h"

/// What callers sent and workers ran in a soak, and how it is printed.
namespace gentiandeal::soak {

using Json = nlohmann::json;

/// One sending of a job.
struct Attempt {
  size_t index_ = 0;
  int instance_ = 0;
  Time sent_;
  Time ended_;
  int status_ = -1;  ///< 0: the connection was lost; -1: none yet.
};

inline std::string InstanceName(int index) {
  return {static_cast<char>('a' + index)};
}

/// As long as the key of an instance's record may be.
inline std::string FullInstanceName(int index) {
  constexpr size_t kLongest = 178;
  std::string name = InstanceName(index);
  return name.append(kLongest - name.size(), '-');
}

inline constexpr int64_t kDeadlineMs = 3000;

/// A job of one step.
inline HttpRequest MakeRequest(const std::string& id, int tasks, int64_t ms) {
  constexpr int kTaskCpuMilli = 14000;
  constexpr int kTaskMemoryMb = 64;
  const Json step = {{"count", tasks},
                     {"cpu", kTaskCpuMilli},
                     {"mem_mb", kTaskMemoryMb},
                     {"est_ms", ms}};
  Json body;
  body["spec"] = std::to_string(ms);
  body["best_effort"] = true;
  body["phases"] = Json::array({step});
  return {
      "POST",
      "/case/" + id,
      {{"Host", "desk.example"}, {"Deadline-Ms", std::to_string(kDeadlineMs)}},
      body.dump()};
}

struct Job {
  std::string id_;
  HttpRequest request_;
  std::vector<Attempt> attempts_;
  std::optional<Time> send_again_at_;
};

inline std::string JobOf(const Json& run) {
  const auto task = run["task"].get<std::string>();
  return task.substr(0, task.find('.'));
}

/// A refusal says that nothing of the attempt runs. Runs that a lost attempt
/// before it started aren't held against it.
inline bool RanThoughRefused(const Job& job, const std::vector<Json>& runs) {
  const Attempt& last = job.attempts_.back();
  if (last.status_ != 429 && last.status_ != 503) return false;
  return std::any_of(runs.begin(), runs.end(), [&](const Json& run) {
    return Time{run["began"].get<int64_t>()} >= last.sent_;
  });
}

/// Wall-clock time, as in the instances' logs.
inline std::string Clock(Time time) {
  if (time == Time{}) return "-";
  timespec wall{};
  clock_gettime(CLOCK_REALTIME, &wall);
  const int64_t ms = wall.tv_sec * 1000 + wall.tv_nsec / 1000000 -
                     (MonotonicClock().Now() - time).ms_;
  const time_t seconds = ms / 1000;
  tm parts{};
  localtime_r(&seconds, &parts);
  char text[32];
  const size_t size = strftime(text, sizeof(text), "%H:%M:%S", &parts);
  std::snprintf(text + size, sizeof(text) - size, ".%03d",
                static_cast<int>(ms % 1000));
  return text;
}

inline std::string Text(const Json& run) {
  const auto time = [&](const char* key) {
    return Clock(Time{run[key].get<int64_t>()});
  };
  const std::string how = run["how"].get<std::string>();
  return " run " + run["run"].dump() + " on " +
         run["worker"].get<std::string>() + " from " +
         run["instance"].get<std::string>() + ", start " + time("began") +
         ", stop " + time("stop") + ", end " + time("ended") + " " +
         (how.empty() ? "in progress" : how);
}

}  // namespace gentiandeal::soak

#endif  // GENTIANDEAL_TESTS_SOAK_SOAK_RECORD_H_
