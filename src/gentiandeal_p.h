#ifndef GENTIANDEAL_SRC_GENTIANDEAL_P_H_
#define GENTIANDEAL_SRC_GENTIANDEAL_P_H_

#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "config.h"
#include "gentiandeal/gentiandeal.h"

/// Types shared by the source files: clocks, ids, error codes, and the messages
/// and commands exchanged with the dispatcher.
namespace gentiandeal {

/// A source of the current time. Decision logic gets a `Time` with each message
/// and never reads a clock itself.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Time>;
};

/// The kernel's clock since boot (`CLOCK_BOOTTIME`). It never jumps, and it
/// includes the time during which the machine was suspended.
struct MonotonicClock {
  Time Now() const;
};

/// Strongly typed integer id; ids with different `Tag`s are different types.
template <typename Tag, typename Rep, Rep kInvalidValue>
struct Id {
  Rep value_ = kInvalidValue;
  constexpr bool valid() const { return value_ != kInvalidValue; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`.
  friend constexpr auto operator<=>(Id, Id) = default;
};

/// Index of a worker in `WorkerTable`; reused after the worker is removed.
using WorkerHandle = Id<struct WorkerTag, uint16_t, 0xffff>;
/// Index of a team in the settings in force.
using TeamHandle = Id<struct TeamTag, uint16_t, 0xffff>;
/// Index of a task kind in `RunTimeEstimator`.
using KindHandle = Id<struct KindTag, uint16_t, 0xffff>;
/// One request that waits for an answer; chosen by the sender of the message.
using RequestId = Id<struct RequestTag, uint64_t, 0>;
/// One attempt to run one task on one worker.
using AttemptId = Id<struct AttemptTag, uint64_t, 0>;
/// One job accepted by this instance.
using JobId = Id<struct JobTag, uint64_t, 0>;
/// One submission or cancellation forwarded to a peer.
using ForwardId = Id<struct ForwardTag, uint64_t, 0>;
/// Random number that identifies one run of one entry instance.
using Incarnation = Id<struct IncarnationTag, uint64_t, 0>;
Incarnation NewIncarnation();
uint64_t RandomUint64();
/// Revision of the settings document. It only increases.
using Revision = Id<struct RevisionTag, uint64_t, 0>;

/// Identifies one run of one entry instance among all instances.
struct InstanceId {
  std::string data_centre_;
  Address peer_address_;
  Incarnation incarnation_;
  friend auto operator<=>(const InstanceId&, const InstanceId&) = default;
};

/// Unguessable id of a client. Its owner is the incarnation that issued it.
struct ClientId {
  Incarnation owner_;
  uint64_t serial_ = 0;
  int64_t expires_ms_ = 0;         ///< On the owner's monotonic clock.
  std::array<uint8_t, 16> mac_{};  ///< Keyed hash with the owner's secret.
  friend auto operator<=>(const ClientId&, const ClientId&) = default;
};

/// Formats the id as a header value of hexadecimal digits.
std::string ToString(const ClientId& id);

/// Parses the text form of a client id. @returns `Errc::kBadClientId` when it
/// is malformed. A well-formed id may still be forged; only its owner can
/// verify it.
std::error_code ParseClientId(std::string_view text, ClientId* out);

/// Identifies a submission; a retry carries the same id.
struct SubmissionId {
  ClientId client_;
  uint64_t sequence_ = 0;      ///< From 1, chosen by the client.
  uint64_t acknowledged_ = 0;  ///< Answers up to this number may be dropped.
};

/// Error codes. Each error's message says what the reader can do about it.
enum class Errc {
  kBadAddress = 1,
  kBadClientId,
  kBadRequest,
  kBodyTooLarge,
  kUnknownTeam,
  kNeverRunnable,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlinePassed,
  kRateLimited,
  kQuotaExceeded,
  kNoWorkers,
  kWorkersRefused,
  kRetryBudgetSpent,
  kDraining,
  kResumedAfterPause,
  kCancelled,
  kSubmissionForgotten,
  kSubmissionMismatch,
  kWindowFull,
  kOwnerUnreachable,
  kPeerLinkLost,
  kWorkerLinkLost,
  kWorkerTimeout,
  kWorkerFailed,
  kAnswerTooLarge,
  kBadSettings,
  kSettingsConflict,
  kSettingsUnchanged,
  kPlatformUnavailable,
  kPlatformBadAnswer,
  kReplyLost,
  kUsage,
};

const std::error_category& GentiandealCategory();
std::error_code make_error_code(Errc code);

/// Stable name of an error in answers, logs and metrics, such as `queue-full`.
std::string_view Name(Errc code);

/// A worker as listed by the platform.
struct WorkerInfo {
  Address address_;
  std::string data_centre_;
  std::string rack_;
  uint16_t slots_ = 8;
  uint16_t max_connections_ = 60;
  bool leaving_ = false;
};

/// How an attempt ended, as observed by this instance.
enum class AttemptResult : uint8_t {
  kAnswered,   ///< A whole response with status below 500.
  kFailed,     ///< A whole response with status 500 or above, not marked
               ///< as a refusal.
  kRefused,    ///< Refused by the worker, which marked it as not run.
  kNotSent,    ///< Connect refused or timed out; no byte was written.
  kUncertain,  ///< Reset, closed, malformed or timed out after at least
               ///< one byte was sent.
};

// Messages to the dispatcher.

/// A submission, from a caller or from a peer.
struct Submit {
  RequestId request_;
  std::optional<SubmissionId> submission_;
  bool from_peer_ = false;  ///< Sent by a peer; never forwarded again.
  /// True when a peer in another data centre asks this instance to run the job.
  bool remote_execution_ = false;
  JobSpec job_;
};

/// The caller that waited for the answer has disconnected.
struct CallerDisconnected {
  RequestId request_;
};

/// A client cancels its submission. Answered through `request_`, as a
/// submission is.
struct CancelSubmission {
  RequestId request_;
  SubmissionId submission_;
  bool from_peer_ = false;
};

/// End of one attempt.
struct AttemptEnded {
  AttemptId attempt_;
  AttemptResult result_ = AttemptResult::kUncertain;
  std::error_code error_;
  /// The response had `Connection: close` or the mark of a leaving worker.
  bool worker_leaving_ = false;
  TaskAnswer answer_;
};

/// A peer's answer to a forward, or the loss of the link to the peer.
struct ForwardEnded {
  ForwardId forward_;
  bool request_sent_ = true;  ///< False when no byte of the forward was sent.
  JobAnswer answer_;
};

/// Full list of the workers of this data centre.
struct WorkersListed {
  std::vector<WorkerInfo> workers_;
};

/// Slots that one peer uses at each worker, and the length of its queue.
struct PeerLoad {
  Incarnation peer_;
  struct Entry {
    Address worker_;
    uint16_t in_use_ = 0;
  };
  std::vector<Entry> entries_;  ///< Those changed since the last message.
  uint32_t queued_tasks_ = 0;
};

/// A live peer, as needed to route submissions.
struct PeerView {
  InstanceId id_;
  bool draining_ = false;
  uint32_t free_slots_ = 0;  ///< In its data centre, as it last reported.
};

/// Full list of the peers that are believed alive.
struct PeersChanged {
  std::vector<PeerView> peers_;
  /// Live or listed instances in all data centres, this one included. A network
  /// partition does not change it.
  uint32_t known_instances_ = 1;
};

struct Settings;

/// A newer revision of the settings took effect.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings_;
};

/// The instance received SIGTERM and shuts down gracefully.
struct DrainRequested {};

// Messages from the dispatcher.

/// Final answer to one request.
struct SendAnswer {
  RequestId request_;
  std::shared_ptr<const JobAnswer> answer_;
};

/// Sends one task to a worker.
struct StartTask {
  AttemptId attempt_;
  WorkerHandle worker_;
  Address address_;
  std::shared_ptr<const JobSpec> job_;
  uint16_t task_index_ = 0;
  std::string task_id_;  ///< Unique among all instances; echoed by the worker.
  Duration timeout_;
};

/// Cancels an attempt: closes its connection, as its answer is not needed.
struct CancelAttempt {
  AttemptId attempt_;
};

/// Sends a submission or cancellation to a peer: to the owner of its client id,
/// or to an instance in another data centre.
struct ForwardSubmission {
  ForwardId forward_;
  InstanceId peer_;
  std::optional<SubmissionId> submission_;
  bool cancel_ = false;            ///< Is a cancellation; `job_` is null.
  bool remote_execution_ = false;  ///< Runs there; the answer is kept here.
  std::shared_ptr<const JobSpec> job_;
  Duration timeout_;
};

/// Cancels a forward whose answer is no longer needed.
struct CancelForward {
  ForwardId forward_;
};

using Command = std::variant<SendAnswer, StartTask, CancelAttempt,
                             ForwardSubmission, CancelForward>;
/// Commands, to be executed in order.
using Outbox = std::vector<Command>;

}  // namespace gentiandeal

template <>
struct std::is_error_code_enum<gentiandeal::Errc> : std::true_type {};

#endif  // GENTIANDEAL_SRC_GENTIANDEAL_P_H_
