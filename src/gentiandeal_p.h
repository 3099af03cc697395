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

/// Private vocabulary shared by the source files: clocks, ids, error kinds and
/// the messages between tasks.
namespace gentiandeal {

/// Anything that tells the current time. Decision logic is handed a `Time`
/// with each message and never reads a clock itself.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Time>;
};

/// Reads the kernel's clock since boot. It never jumps, and counts the time in
/// which the machine was suspended.
struct MonotonicClock {
  Time Now() const;
};

/// Strong integer id. `Tag` keeps ids of different things apart.
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
/// Index of a kind of task in `RunTimes`.
using KindHandle = Id<struct KindTag, uint16_t, 0xffff>;
/// One caller waiting for an answer, named by whoever submitted.
using RequestId = Id<struct RequestTag, uint64_t, 0>;
/// One attempt to run one task on one worker.
using AttemptId = Id<struct AttemptTag, uint64_t, 0>;
/// One job held by this instance.
using JobId = Id<struct JobTag, uint64_t, 0>;
/// One submission handed to a peer.
using ForwardId = Id<struct ForwardTag, uint64_t, 0>;
/// Random number of one run of one entry instance.
using Incarnation = Id<struct IncarnationTag, uint64_t, 0>;
/// Revision of the settings document. Only ever grows.
using Revision = Id<struct RevisionTag, uint64_t, 0>;

/// Names one run of one entry instance, across the fleet.
struct InstanceId {
  std::string data_centre_;
  Address peer_address_;
  Incarnation incarnation_;
  friend auto operator<=>(const InstanceId&, const InstanceId&) = default;
};

/// Key of a client at its owner, unguessable. The owner is the incarnation
/// that issued it.
struct ClientId {
  Incarnation owner_;
  uint64_t serial_ = 0;
  int64_t expires_ms_ = 0;         ///< On the owner's monotonic clock.
  std::array<uint8_t, 16> mac_{};  ///< Keyed hash by the owner's secret.
  friend auto operator<=>(const ClientId&, const ClientId&) = default;
};

/// Writes the id as a header value of letters, digits and '-'.
std::string ToString(const ClientId& id);

/// Reads what `ToString` wrote. @returns `Errc::kBadClientId` otherwise. A
/// well-formed id may still be forged; only its owner can tell.
std::error_code ParseClientId(std::string_view text, ClientId* out);

/// Identity of a submission: retries carry the same one.
struct SubmissionId {
  ClientId client_;
  uint64_t sequence_ = 0;      ///< From 1, chosen by the client.
  uint64_t acknowledged_ = 0;  ///< Answers up to this one may be forgotten.
};

/// Error kinds. Each message states what to do.
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

/// Stable name for use in answers, logs and metrics, such as `queue-full`.
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

/// How an attempt ended, seen from this side.
enum class Verdict : uint8_t {
  kAnswered,   ///< A whole response with status below 500.
  kFailed,     ///< A whole response with status 500 or above, no mark.
  kRefused,    ///< The worker's own refusal, marked as not run.
  kNotSent,    ///< Connect refused or timed out; no byte was written.
  kUncertain,  ///< Reset, cut, mis-framed or timed out after a byte left.
};

// Messages to the dispatcher.

/// A submission, from a caller or from a peer.
struct Submit {
  RequestId request_;
  std::optional<SubmissionId> submission_;
  bool from_peer_ = false;  ///< A peer's hand-over is never passed on again.
  /// True when a peer of another data centre asks for execution here.
  bool foreign_execution_ = false;
  JobSpec job_;
};

/// Whoever waited for the answer is gone.
struct CallerGone {
  RequestId request_;
};

/// Explicit cancellation of a submission by its client. Answered through
/// `request_` like the submission itself.
struct CancelSubmission {
  RequestId request_;
  SubmissionId submission_;
  bool from_peer_ = false;
};

/// End of one attempt.
struct AttemptEnded {
  AttemptId attempt_;
  Verdict verdict_ = Verdict::kUncertain;
  std::error_code error_;
  bool worker_leaving_ = false;  ///< `Connection: close` or a leaving mark.
  TaskAnswer answer_;
};

/// A peer's answer to a forwarded submission, or the loss of its link.
struct ForwardEnded {
  ForwardId forward_;
  bool handed_over_ = true;  ///< False when no byte of it left this instance.
  JobAnswer answer_;
};

/// The workers of this data centre, complete.
struct WorkersListed {
  std::vector<WorkerInfo> workers_;
};

/// Slots in use at workers as counted by one peer, and its queue.
struct PeerLoad {
  Incarnation peer_;
  struct Entry {
    Address worker_;
    uint16_t in_use_ = 0;
  };
  std::vector<Entry> entries_;  ///< Only what changed since the last one.
  uint32_t queued_tasks_ = 0;
};

/// A live peer, for routing of submissions.
struct PeerView {
  InstanceId id_;
  bool draining_ = false;
  uint32_t free_slots_ = 0;  ///< Of its data centre, as it last said.
};

/// Peers currently believed alive, complete.
struct PeersChanged {
  std::vector<PeerView> peers_;
  /// Live or listed instances everywhere, this one included. A partition
  /// does not change it.
  uint32_t known_instances_ = 1;
};

struct Settings;

/// A newer revision is in force.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings_;
};

/// SIGTERM arrived.
struct DrainRequested {};

// Messages from the dispatcher.

/// Final answer to one request.
struct SendAnswer {
  RequestId request_;
  std::shared_ptr<const JobAnswer> answer_;
};

/// Send one task to a worker.
struct StartTask {
  AttemptId attempt_;
  WorkerHandle worker_;
  Address address_;
  std::shared_ptr<const JobSpec> job_;
  uint16_t task_index_ = 0;
  std::string task_id_;  ///< Unique over the fleet; echoed by the worker.
  Duration timeout_;
};

/// Close the connection of an attempt whose answer is no longer wanted.
struct AbandonAttempt {
  AttemptId attempt_;
};

/// Hand a submission to a peer: its owner, or another data centre.
struct ForwardSubmission {
  ForwardId forward_;
  InstanceId peer_;
  std::optional<SubmissionId> submission_;
  bool cancel_ = false;             ///< A cancellation; `job_` is null.
  bool foreign_execution_ = false;  ///< Run it there; the result stays here.
  std::shared_ptr<const JobSpec> job_;
  Duration timeout_;
};

/// Withdraw a forward whose caller is gone.
struct AbandonForward {
  ForwardId forward_;
};

using Command = std::variant<SendAnswer, StartTask, AbandonAttempt,
                             ForwardSubmission, AbandonForward>;
/// Commands in the order in which they are to be carried out.
using Outbox = std::vector<Command>;

}  // namespace gentiandeal

template <>
struct std::is_error_code_enum<gentiandeal::Errc> : std::true_type {};

#endif  // GENTIANDEAL_SRC_GENTIANDEAL_P_H_
