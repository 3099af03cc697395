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

/// Formats the address as `host:port`, or as `[host]:port` for IPv6.
std::string ToString(const Address& address);

/// Parses `host:port` or `[host]:port`; the host must be a numeric IP address.
///
/// @param text The address as written in settings or in a platform answer.
/// @param out Filled on success, unchanged on failure.
/// @returns `Errc::kBadAddress` when the host or port does not parse.
std::error_code ParseAddress(std::string_view text, Address* out);

/// How a job ended, with the guarantee that the caller may rely on.
enum class Outcome : uint8_t {
  kComplete,    ///< Every task was answered; the answer has them all.
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
  std::string kind_;  ///< Run times are estimated per kind; may be empty.
  /// Caller's estimate of the run time; 0 if unknown.
  Duration declared_run_time_;
  uint32_t declared_slots_ = 1;  ///< Slots needed, as the caller declares.
};

/// A job: 1 to `Caps::max_tasks_per_job_` tasks that are answered together.
struct JobSpec {
  std::string team_;
  Duration deadline_;  ///< From acceptance; 0 means the team's default.
  bool idempotent_ = false;
  bool passthrough_ = false;  ///< The worker's response is returned as it is.
  std::vector<TaskSpec> tasks_;
};

/// A worker's whole response to one task.
struct TaskAnswer {
  uint16_t status_ = 0;
  std::vector<HttpField> fields_;
  std::string body_;
};

/// Final answer to a submission. `tasks_` is filled when complete, and for a
/// passed-through request that the worker answered with a failure.
struct JobAnswer {
  Outcome outcome_ = Outcome::kNotRun;
  std::error_code error_;  ///< Empty when complete; the message has a remedy.
  Duration retry_after_;   ///< 0 when trying again later does not help.
  std::vector<TaskAnswer> tasks_;  ///< In the order of `JobSpec::tasks_`.
  std::vector<uint16_t> started_;  ///< Task indices, for kMayHaveRun.
  /// False when `started_` may be incomplete, since the instance that runs the
  /// job can't be asked.
  bool started_known_ = true;
};

/// Start parameters of an entry instance. All other settings come from the
/// platform's store.
struct Init {
  std::string data_centre_ = "local";
  std::string region_ = "local";
  std::string service_ = "backend";  ///< Workers' service name on the platform.
  Address callers_{"127.0.0.1", 0};  ///< Listening address for callers (HTTP).
  Address peers_{"127.0.0.1", 0};  ///< Listening address for peers (UDP, TCP).
  Address peers_advertised_;       ///< Where peers connect; port 0: as bound.
  Address platform_;               ///< Port 0: runs without a platform.
  std::vector<Address> seed_workers_;  ///< Used until the first list arrives.
  std::vector<Address> seed_peers_;    ///< Used until the first list arrives.
  std::string settings_file_;  ///< Used until the first revision arrives.
  /// Longest wait at start for the settings of peers.
  Duration settings_wait_{2000};
  Duration drain_linger_{5000};  ///< Accepts jobs after SIGTERM this long.
  Duration drain_limit_{30000};  ///< Longest time from SIGTERM to exit.
  uint64_t seed_ = 0;            ///< Seed for placement; 0 takes a random one.
  uint32_t memory_mb_ = 0;       ///< Of the machine; 0 limits no client.
  uint32_t max_fds_ = 0;         ///< File descriptors; 0 when not limited.
  uint64_t max_head_bytes_ = 16 * 1024;        ///< Of a caller's request.
  uint64_t max_body_bytes_ = 4 * 1024 * 1024;  ///< Of a caller's request.
  Duration head_timeout_{10000};  ///< Within which a request head arrives.
  Duration idle_timeout_{60000};  ///< Closes a connection without a request.
};

/// Fixed limits of this build.
struct Caps {
  uint32_t max_tasks_per_job_ = 0;
  uint32_t max_workers_ = 0;
  uint32_t max_teams_ = 0;
  uint32_t max_jobs_ = 0;
  uint32_t max_body_bytes_ = 0;
};

/// Counters since the start, and gauges (named `*_now_`).
struct Stats {
  uint64_t jobs_accepted_ = 0;
  uint64_t jobs_complete_ = 0;
  uint64_t jobs_not_run_ = 0;
  uint64_t jobs_may_have_run_ = 0;
  uint64_t jobs_cancelled_ = 0;
  uint64_t duplicates_joined_ = 0;   ///< Retries of running or answered jobs.
  uint64_t task_starts_ = 0;         ///< Requests sent to workers.
  uint64_t answers_unused_ = 0;      ///< Started tasks whose job failed.
  uint64_t dispatches_refused_ = 0;  ///< Refusals by workers, marked not run.
  uint64_t connects_failed_ = 0;
  uint64_t task_retries_ = 0;
  uint64_t forwards_to_owner_ = 0;
  uint64_t forwards_to_data_centre_ = 0;
  uint64_t workers_set_aside_ = 0;
  uint64_t answers_expired_ = 0;  ///< Dropped before their acknowledgement.
  uint64_t pauses_ = 0;           ///< Detected pauses of the process.
  uint64_t cut_at_exit_ = 0;      ///< Requests still open at the drain limit.
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

  /// Serves requests until drained. Call on the thread that called `Start`.
  void Run();

  /// Starts a graceful shutdown. May be called from other threads and from
  /// signal handlers.
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
