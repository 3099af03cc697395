#ifndef GENTIANDEAL_SRC_SUBMISSIONS_H_
#define GENTIANDEAL_SRC_SUBMISSIONS_H_

#include <boost/intrusive/list.hpp>
#include <map>

#include "buffer_account.h"
#include "job_digest.h"

namespace gentiandeal {

/// What is known of a submission when it arrives.
enum class SubmissionState : uint8_t {
  kNew,             ///< Never accepted; may run.
  kRunning,         ///< Its job is held here; join it.
  kFinished,        ///< Its answer is kept.
  kForgotten,       ///< May have run; its answer is gone.
  kMismatch,        ///< The number was used for another job.
  kWindowFull,      ///< Too far beyond what the client acknowledged.
  kTooManyClients,  ///< No room for another client now.
};

/// Result of `Submissions::Open`.
struct SubmissionLookup {
  SubmissionState state_ = SubmissionState::kNew;
  JobId job_;                                ///< Set for kRunning.
  std::shared_ptr<const JobAnswer> answer_;  ///< Set for kFinished.
};

/// Submissions of the clients of this incarnation: at most `kResultWindow`
/// unacknowledged ones a client, and a bounded number of clients. What is
/// dropped is remembered as forgotten, never as new.
class Submissions {
 public:
  /// @param account Charged with the answers kept.
  explicit Submissions(BufferAccount* account) : account_(account) {}
  ~Submissions();
  Submissions(const Submissions&) = delete;
  Submissions& operator=(const Submissions&) = delete;

  /// Takes a client's acknowledgement and looks its submission up. The id
  /// must be authentic. Without a digest any job matches.
  SubmissionLookup Open(const SubmissionId& id,
                        const std::optional<JobDigest>& digest, Time now);

  /// Records a submission that `Open` found new, as run by `job`.
  void Begin(const SubmissionId& id, const std::optional<JobDigest>& digest,
             JobId job);

  /// Keeps the final answer of a recorded submission until the client
  /// acknowledges it. No effect when it was acknowledged already.
  void Finish(const SubmissionId& id, TeamHandle team,
              std::shared_ptr<const JobAnswer> answer);

  /// Drops the oldest kept answer, of one team or (invalid) of any.
  /// @returns false when none is kept.
  bool DropOldestAnswer(TeamHandle team);

  /// Drops clients whose ids have expired.
  void Tick(Time now);

  uint32_t clients() const { return static_cast<uint32_t>(clients_.size()); }
  /// Answers dropped before they were acknowledged.
  uint64_t answers_dropped() const { return answers_dropped_; }

 private:
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  struct Record {
    std::optional<JobDigest> digest_;
    JobId job_;                                ///< Valid while it runs.
    std::shared_ptr<const JobAnswer> answer_;  ///< Null once dropped.
    TeamHandle team_;
    uint64_t bytes_ = 0;
    Hook by_age_;
    Hook by_team_age_;
  };

  struct Client {
    int64_t expires_ms_ = 0;
    uint64_t acknowledged_ = 0;
    uint32_t running_ = 0;
    std::map<uint64_t, Record> records_;
  };

  using AgeList = boost::intrusive::list<
      Record, boost::intrusive::member_hook<Record, Hook, &Record::by_age_>,
      boost::intrusive::constant_time_size<false>>;
  using TeamAgeList = boost::intrusive::list<
      Record,
      boost::intrusive::member_hook<Record, Hook, &Record::by_team_age_>,
      boost::intrusive::constant_time_size<false>>;
  /// Serial numbers grow with the time of issue, so the first client is the
  /// one whose id expires first.
  using Clients = std::map<uint64_t, Client>;

  static void Acknowledge(uint64_t acknowledged, Client* client,
                          Submissions* self);
  SubmissionLookup Describe(const Record& record,
                            const std::optional<JobDigest>& digest) const;
  bool MakeRoom();
  void DropAnswer(Record* record);
  void DropClient(Clients::iterator client);

  BufferAccount* account_;
  Clients clients_;
  /// Ids up to this serial number without a record count as forgotten.
  uint64_t forgotten_serial_ = 0;
  AgeList kept_;
  std::array<TeamAgeList, config::kMaxTeams> kept_by_team_;
  uint64_t answers_dropped_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SUBMISSIONS_H_
