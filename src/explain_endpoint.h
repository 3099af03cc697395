#ifndef GENTIANDEAL_SRC_EXPLAIN_ENDPOINT_H_
#define GENTIANDEAL_SRC_EXPLAIN_ENDPOINT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http_server.h"
#include "job_coordinator.h"

/// The endpoint `/explain` of a hosted instance. Independent of sockets.
namespace gentiandeal {

/// A parameter of `/explain` that is a number.
struct ExplainNumber {
  std::string_view name_;
  std::string_view meaning_;  ///< For the help of the command.
  int64_t least_ = 0;
  int64_t most_ = 0;
  int64_t default_ = 0;
};

/// Number parameters, in the order of `ExplainQuery::numbers_`. Ranges are
/// those of jobs.
inline constexpr std::array<ExplainNumber, 6> kExplainNumbers = {{
    {"tasks", "tasks of the job", 1, config::kMaxTasksPerJob, 1},
    {"cpu_milli", "thousandths of a core for each task", 0, INT32_MAX, 1000},
    {"memory_mb", "memory for each task, in MB", 0, INT32_MAX, 0},
    {"gpu", "GPUs for each task", 0, INT32_MAX, 0},
    {"expected_ms", "declared run time", 1, 24LL * 3600 * 1000, 100},
    {"deadline_ms", "how long the caller waits", 1, 24LL * 3600 * 1000, 1500},
}};

/// A job to be explained.
struct ExplainQuery {
  std::string queue_;
  std::array<int64_t, kExplainNumbers.size()> numbers_{};
};

/// Parses the query of a URL, without the question mark. Absent numbers get
/// their default. @returns what is wrong, or an empty text.
std::string ParseExplainQuery(std::string_view query, ExplainQuery* out);

/// Builds the query of a URL that names all parameters.
std::string ToQuery(const ExplainQuery& query);

/// Returns the job without what its queue prescribes.
HostedJob ToJob(const ExplainQuery& query);

/// Answers requests for explanations.
class ExplainEndpoint {
 public:
  /// Fills in what the queue of a job prescribes, given its steps and
  /// `HostedJob::queue_`. @returns false if there is no such queue.
  using ApplyQueue = std::function<bool(HostedJob*)>;
  using Explain = std::function<std::string(const HostedJob&)>;

  /// Returns whether a request is for this endpoint.
  static bool Serves(const CallerRequest& request);

  /// @param apply_queue Empty before the first configuration.
  HttpReply Reply(const CallerRequest& request, Time now,
                  const ApplyQueue& apply_queue, const Explain& explain);

 private:
  /// Explaining copies the state of an owner: 15 ms of a core with 4,000
  /// waiting tasks, and instances have as little as 0.09 of one.
  static constexpr Duration kMinInterval{1000};

  std::optional<Time> explained_at_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_EXPLAIN_ENDPOINT_H_
