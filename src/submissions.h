#ifndef GENTIANDEAL_SRC_SUBMISSIONS_H_
#define GENTIANDEAL_SRC_SUBMISSIONS_H_

#include <boost/intrusive/list.hpp>
#include <map>

#include "buffer_account.h"
#include "job_digest.h"

namespace gentiandeal {

/// State of a submission when it arrives.
enum class SubmissionState : uint8_t {
  kNew,             ///< Not accepted before; may run.
  kRunning,         ///< Its job has not ended; wait for its answer.
  kFinished,        ///< Its answer is still kept.
  kForgotten,       ///< May have run, but its answer is no longer kept.
  kMismatch,        ///< Its sequence number was used for a different job.
  kWindowFull,      ///< More than `kAnswerWindow` past the acknowledged one.
  kTooManyClients,  ///< The table is full and no client can be evicted.
};

/// Result of `Submissions::Lookup`.
struct SubmissionLookup {
  SubmissionState state_ = SubmissionState::kNew;
  JobId job_;                                ///< Set for kRunning.
  std::shared_ptr<const JobAnswer> answer_;  ///< Set for kFinished.
};

/// Table of the submissions of clients whose ids this incarnation issued, for
/// the detection of duplicates. Holds at most `kAnswerWindow` unacknowledged
/// submissions per client and `kMaxActiveClients` clients. A dropped submission
/// is reported as `kForgotten`, never as `kNew`.
class Submissions {
 public:
  /// @param account Counts the bytes of the kept answers; must outlive this
  /// object.
  explicit Submissions(BufferAccount* account) : account_(account) {}
  ~Submissions();
  Submissions(const Submissions&) = delete;
  Submissions& operator=(const Submissions&) = delete;

  /// Applies the acknowledgement that `id` carries and looks the submission up.
  /// The client id must have been authenticated. Without a digest any job
  /// matches.
  SubmissionLookup Lookup(const SubmissionId& id,
                          const std::optional<JobDigest>& digest, Time now);

  /// Records `job` as the run of a submission for which `Lookup` returned
  /// `kNew`.
  void Begin(const SubmissionId& id, const std::optional<JobDigest>& digest,
             JobId job);

  /// Keeps the final answer of a recorded submission until the client
  /// acknowledges it. Keeps nothing if the client has already acknowledged it.
  void Finish(const SubmissionId& id, TeamHandle team,
              std::shared_ptr<const JobAnswer> answer);

  /// Drops the oldest kept answer of `team`, or of any team if `team` is
  /// invalid. @returns false when there is none.
  bool DropOldestAnswer(TeamHandle team);

  /// Removes clients whose ids have expired, in order of expiry, up to the
  /// first one that still has running submissions.
  void Tick(Time now);

  uint32_t clients() const { return static_cast<uint32_t>(clients_.size()); }
  /// Number of answers dropped before they were acknowledged.
  uint64_t answers_dropped() const { return answers_dropped_; }

 private:
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  struct Record {
    std::optional<JobDigest> digest_;
    JobId job_;                                ///< Invalid once finished.
    std::shared_ptr<const JobAnswer> answer_;  ///< Null if not kept.
    TeamHandle team_;
    uint64_t bytes_ = 0;  ///< Size of `answer_`, as counted in the account.
    Hook age_hook_;
    Hook team_age_hook_;
  };

  struct Client {
    int64_t expires_ms_ = 0;
    uint64_t acknowledged_ = 0;  ///< Highest acknowledged sequence number.
    uint32_t running_ = 0;
    std::map<uint64_t, Record> records_;  ///< By sequence number.
  };

  using AgeList = boost::intrusive::list<
      Record, boost::intrusive::member_hook<Record, Hook, &Record::age_hook_>,
      boost::intrusive::constant_time_size<false>>;
  using TeamAgeList = boost::intrusive::list<
      Record,
      boost::intrusive::member_hook<Record, Hook, &Record::team_age_hook_>,
      boost::intrusive::constant_time_size<false>>;
  /// By serial number. Serial numbers grow with the time of issue, so the first
  /// client is the one whose id expires first.
  using Clients = std::map<uint64_t, Client>;

  /// Marks submissions up to `acknowledged` and removes their records, except
  /// those that are still running.
  static void Acknowledge(uint64_t acknowledged, Client* client,
                          Submissions* self);
  SubmissionLookup ToLookup(const Record& record,
                            const std::optional<JobDigest>& digest) const;
  /// If the table is full, removes the oldest client that has no running
  /// submissions, among the first `kMaxEvictionScan`. @returns false if the
  /// table is still full.
  bool EvictIfFull();
  void DropAnswer(Record* record);
  void DropClient(Clients::iterator client);

  BufferAccount* account_;
  Clients clients_;
  /// Highest serial number of a removed client. A client that is not in
  /// `clients_` is treated as forgotten up to this serial number.
  uint64_t forgotten_serial_ = 0;
  AgeList kept_answers_;  ///< Records with a kept answer, oldest first.
  std::array<TeamAgeList, config::kMaxTeams> kept_answers_by_team_;
  uint64_t answers_dropped_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SUBMISSIONS_H_
