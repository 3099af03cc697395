#ifndef GENTIANDEAL_GENTIANDEAL_H_
#define GENTIANDEAL_GENTIANDEAL_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

/// Public interface of the gentiandeal dispatcher.
namespace gentiandeal {

/// Length of time in whole milliseconds.
struct Duration {
  int64_t ms_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return {a.ms_ + b.ms_};
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return {a.ms_ - b.ms_};
  }
};

/// Point on a monotonic clock in whole milliseconds. The origin is arbitrary;
/// values of two processes can't be compared.
struct Time {
  int64_t ms_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time t, Duration d) {
    return {t.ms_ + d.ms_};
  }
  friend constexpr Time operator-(Time t, Duration d) {
    return {t.ms_ - d.ms_};
  }
  friend constexpr Duration operator-(Time a, Time b) {
    return {a.ms_ - b.ms_};
  }
};

/// IPv4 or IPv6 address in text form and a port. Port 0 asks the kernel for a
/// free port when listening.
struct Address {
  std::string host_;
  uint16_t port_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend auto operator<=>(const Address&, const Address&) = default;
};

/// Writes `host:port`, or `[host]:port` for IPv6.
std::string ToString(const Address& address);

/// Reads `host:port` or `[host]:port`; the host must be a numeric IP.
///
/// @param text The address as written in settings or in a platform answer.
/// @param out Filled on success, unchanged on failure.
/// @returns `Errc::kBadAddress` when the host or port does not parse.
std::error_code ParseAddress(std::string_view text, Address* out);

/// How a job ended, as far as the caller may rely on it.
enum class Outcome : uint8_t {
  kComplete,    ///< Every task was answered; the answer is whole.
  kNotRun,      ///< No task of the submission started, and none will.
  kMayHaveRun,  ///< Failed; `JobAnswer::started_` says which tasks started.
};

/// HTTP header field, name and value as received.
using HttpField = std::pair<std::string, std::string>;

/// One request to a backend worker.
struct TaskSpec {
  std::string method_ = "GET";
  std::string path_;
  std::vector<HttpField> fields_;
  std::string body_;
  std::string kind_;       ///< Run times are learned by kind; may be empty.
  Duration declared_run_;  ///< Caller's estimate; 0 when not given.
  uint32_t declared_size_ = 1;  ///< Slots the caller says the task needs.
};

/// A job: 1 to `kMaxTasksPerJob` tasks answered together.
struct JobSpec {
  std::string team_;
  Duration deadline_;  ///< From acceptance; 0 takes the team's default.
  bool idempotent_ = false;
  bool passthrough_ = false;  ///< Answered with the worker's own response.
  std::vector<TaskSpec> tasks_;
};

/// A worker's whole response to one task.
struct TaskAnswer {
  uint16_t status_ = 0;
  std::vector<HttpField> fields_;
  std::string body_;
};

/// Final answer to a submission. `tasks_` is filled only when complete.
struct JobAnswer {
  Outcome outcome_ = Outcome::kNotRun;
  std::error_code error_;  ///< Empty when complete; the message has a remedy.
  Duration retry_after_;   ///< 0 when trying again later is no use.
  std::vector<TaskAnswer> tasks_;  ///< In the order of `JobSpec::tasks_`.
  std::vector<uint16_t> started_;  ///< Indices; meaningful for kMayHaveRun.
  bool started_known_ = true;      ///< False when the owner can't be asked.
};

/// What an entry instance is told at start. Everything else comes from the
/// platform's store.
struct Init {
  std::string data_centre_ = "local";
  std::string region_ = "local";
  std::string service_ = "backend";  ///< Service name of workers in the list.
  Address callers_{"127.0.0.1", 0};  ///< Where callers' HTTP arrives.
  Address peers_{"127.0.0.1", 0};    ///< UDP and TCP for other instances.
  Address peers_advertised_;  ///< Where peers reach it; port 0: as bound.
  Address platform_;          ///< Port 0 runs without a platform.
  std::vector<Address> seed_workers_;  ///< Used until the first list arrives.
  std::vector<Address> seed_peers_;    ///< Used until the first list arrives.
  std::string settings_file_;     ///< Used until the first revision arrives.
  Duration settings_wait_{2000};  ///< Asks peers at start at most this long.
  Duration drain_linger_{5000};   ///< Still accepts after SIGTERM this long.
  Duration drain_limit_{30000};   ///< Exits after SIGTERM by this time.
  uint64_t seed_ = 0;  ///< Random seed for placement; 0 takes a random one.
};

/// Fixed limits of this build.
struct Caps {
  uint32_t max_tasks_per_job_ = 0;
  uint32_t max_workers_ = 0;
  uint32_t max_teams_ = 0;
  uint32_t max_jobs_ = 0;
  uint32_t max_body_bytes_ = 0;
};

/// Counters since start, and gauges (named `*_now_`).
struct Stats {
  uint64_t jobs_accepted_ = 0;
  uint64_t jobs_complete_ = 0;
  uint64_t jobs_not_run_ = 0;
  uint64_t jobs_may_have_run_ = 0;
  uint64_t jobs_cancelled_ = 0;
  uint64_t duplicates_joined_ = 0;   ///< Retries answered from the window.
  uint64_t task_starts_ = 0;         ///< Requests sent to workers.
  uint64_t answers_unused_ = 0;      ///< Starts whose answer was dropped.
  uint64_t dispatches_refused_ = 0;  ///< Marked refusals by workers.
  uint64_t connects_failed_ = 0;
  uint64_t task_retries_ = 0;
  uint64_t forwards_to_owner_ = 0;
  uint64_t forwards_to_data_centre_ = 0;
  uint64_t workers_set_aside_ = 0;
  uint64_t answers_expired_ = 0;  ///< Dropped before they were acknowledged.
  uint64_t pauses_ = 0;           ///< Gaps after which held work was reviewed.
  uint64_t cut_at_exit_ = 0;      ///< Requests cut by the drain limit.
  uint64_t queued_tasks_now_ = 0;
  uint64_t running_tasks_now_ = 0;
  uint64_t buffered_bytes_now_ = 0;
};

/// Returns the limits compiled into this build.
Caps GetCaps();

/// One entry instance on its own event loop.
class EntryInstance {
 public:
  /// @param init Copied; see `Init` for units and defaults.
  explicit EntryInstance(const Init& init);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  /// Binds the sockets. @returns the error of the first bind that failed.
  std::error_code Start();

  /// Serves until drained. Call on the thread that called `Start`.
  void Run();

  /// Starts a graceful shutdown. Safe from another thread or signal handler.
  void Drain();

  /// Address callers connect to, with the port the kernel chose.
  Address callers() const;

  /// Address peers connect to, with the port the kernel chose.
  Address peers() const;

  /// Snapshot of counters. Call on the thread that runs the loop.
  Stats GetStats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_GENTIANDEAL_H_
