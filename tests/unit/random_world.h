#ifndef GENTIANDEAL_TESTS_UNIT_RANDOM_WORLD_H_
#define GENTIANDEAL_TESTS_UNIT_RANDOM_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher.h"
#include "invariants.h"
#include "unit/event_queue.h"

namespace gentiandeal {

/// A fault put between a dispatcher and the world, to show that the checker
/// catches it.
enum class Breakage : uint8_t {
  kNone,
  kRepeatStart,       ///< A task is sent to its worker twice.
  kLostLooksRefused,  ///< A lost connection is reported as a refusal.
  kMaybeLooksNotRun,  ///< "May have run" is told as "not run".
  kDropTaskAnswer,    ///< An answer lacks its last task.
  kSwapAnswers,       ///< Two callers get each other's answer.
  kHideStarted,       ///< The list of started tasks lacks one.
  kDropAnswer,        ///< An answer is not sent.
  kRepeatAnswer,      ///< An answer is sent twice.
};

/// Several dispatchers, their workers, links and callers, driven by a seeded
/// random schedule on one simulated clock.
class RandomWorld {
 public:
  RandomWorld(uint64_t seed, Breakage breakage);

  /// Runs `steps` random actions, then lets everything end without faults.
  void Run(int steps);

  const InvariantChecker& checker() const { return checker_; }
  /// Answers that callers got, by outcome.
  uint64_t answers(Outcome outcome) const {
    return outcomes_[static_cast<size_t>(outcome)];
  }
  /// Sum over all instances, dead ones included.
  uint64_t pauses() const { return pauses_; }
  uint64_t joined() const { return joined_; }
  uint64_t moved() const { return moved_; }
  uint64_t sent_to_owner() const { return sent_to_owner_; }
  uint64_t sent_abroad() const { return sent_abroad_; }
  bool all_idle() const;

 private:
  static constexpr size_t kInstances = 4;
  static constexpr uint16_t kWorkersPerCentre = 4;

  /// Who waits for the answer to a request: a caller or another instance.
  struct Waiter {
    std::string request_;  ///< Of a caller; empty for a peer.
    std::string submission_;
    size_t origin_ = 0;
    uint64_t origin_life_ = 0;
    ForwardId forward_;
    bool done_ = false;
  };
  struct Instance {
    InstanceId id_;
    std::unique_ptr<Dispatcher> dispatcher_;
    uint64_t life_ = 0;  ///< Counts restarts; events of older lives are void.
    Time paused_until_;
    std::map<RequestId, Waiter> waiters_;
  };
  struct Submission {
    SubmissionId id_;
    std::string key_;
    JobSpec job_;
    /// A cancellation names a number, not a job; so a number is cancelled, or
    /// used for a second job, but not both.
    bool cancelled_ = false;
    bool reused_ = false;
  };
  struct Client {
    ClientId id_;
    size_t owner_ = 0;
    uint64_t last_ = 0;
    uint64_t acknowledged_ = 0;
    std::vector<Submission> recent_;
  };
  uint64_t Roll(uint64_t bound) { return random_() % bound; }
  bool Chance(uint64_t percent) { return faults_ && Roll(100) < percent; }

  void Later(int64_t ms, std::function<void()> run);
  void AdvanceTo(Time end);

  void Start(size_t index);
  void Kill(size_t index);
  void ListWorkers(size_t index);
  void SetGuards(size_t index);
  void ListPeers(size_t index);
  bool Connected(size_t a, size_t b) const { return a == b || !cut_[a][b]; }

  /// Hands a message to an instance unless it was replaced; a paused one
  /// reads it once it goes on.
  template <typename Message>
  void Deliver(size_t index, uint64_t life, Message message);
  void Carry(size_t index, Outbox* out);
  void Carry(size_t index, const SendAnswer& command);
  void Carry(size_t index, const StartTask& command);
  void Carry(size_t, const CancelAttempt&) {}
  void Carry(size_t index, const ForwardSubmission& command);
  void Carry(size_t index, const CancelForward& command);

  void BeginTask(const StartTask& command);
  void RunTask(size_t index, const StartTask& command);
  void End(size_t index, const StartTask& command, int64_t after_ms,
           AttemptResult verdict, Errc error = Errc::kWorkerLinkLost);
  void LoseLink(size_t origin, uint64_t life, ForwardId forward);
  void DropPeerWaiters(size_t index, size_t origin, ForwardId forward);
  void TellCaller(const Waiter& waiter, const JobAnswer& answer);

  void Act();
  JobSpec MakeJob(const std::string& key);
  RequestId Ask(size_t index, const std::string& key, size_t tasks);
  void Submit(size_t index, const std::string& key, const JobSpec& job,
              const std::optional<SubmissionId>& id);
  void SubmitNew(Client* client);
  void Repeat(Client* client);
  void Reuse(Client* client);
  void Forge(Client* client);
  void Cancel(Submission* submission);
  void CancelWave();
  void LoseCaller(size_t index);

  std::mt19937_64 random_;
  Breakage breakage_;
  bool faults_ = true;
  Time now_{1000};
  uint64_t last_request_ = 0;
  uint64_t last_key_ = 0;
  uint64_t last_incarnation_ = 0;
  EventQueue events_;
  std::array<Instance, kInstances> instances_;
  bool cut_[kInstances][kInstances] = {};
  std::vector<Client> clients_;
  std::optional<std::pair<Waiter, JobAnswer>> held_;  ///< For kSwapAnswers.
  InvariantChecker checker_;
  std::array<uint64_t, 3> outcomes_{};
  uint64_t pauses_ = 0;
  uint64_t joined_ = 0;
  uint64_t moved_ = 0;
  uint64_t sent_to_owner_ = 0;
  uint64_t sent_abroad_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_RANDOM_WORLD_H_
