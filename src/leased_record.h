#ifndef GENTIANDEAL_SRC_LEASED_RECORD_H_
#define GENTIANDEAL_SRC_LEASED_RECORD_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "leased_worker.h"

/// Keeps one key of a store under a lease, until it is withdrawn. Performs no
/// I/O and reads no clock: it takes the answers of the store and the current
/// time, and appends commands to an outbox.
namespace gentiandeal {

/// A lease that the store has granted; 0: none.
using LeaseId = Id<struct LeaseTag, uint64_t, 0>;
/// Revision of a key in the store; 0: the key is absent. Serves as a fence.
using KeyRevision = Fence;

struct RequestLease {
  Duration time_;
};
struct RenewLease {
  LeaseId lease_;
  Duration time_;
};
/// Ends a lease, which removes its key.
struct ReleaseLease {
  LeaseId lease_;
};
/// Writes the key if its revision is the expected one.
struct WriteRecord {
  std::string value_;
  KeyRevision expected_;
  LeaseId lease_;
};
/// Reads the key, to find out whether a write that failed was carried out.
struct ReadRecord {};
/// The published value is stored, by a write with this revision.
struct RecordStored {
  KeyRevision revision_;
};
/// The withdrawal is over: the key is gone, or goes when its lease lapses.
struct RecordWithdrawn {};

using LeasedRecordCommand =
    std::variant<RequestLease, RenewLease, ReleaseLease, WriteRecord,
                 ReadRecord, RecordStored, RecordWithdrawn>;
using LeasedRecordOutbox = std::vector<LeasedRecordCommand>;

/// How a call to the store ended.
enum class StoreResult : uint8_t {
  kDone,
  kNotFound,  ///< No such lease or key.
  kFailed,    ///< Otherwise; it may have been carried out.
};

struct LeaseRequestEnded {
  LeaseId lease_;  ///< 0: the call failed.
};
struct RenewalEnded {
  StoreResult result_ = StoreResult::kFailed;
};
struct WriteEnded {
  StoreResult result_ = StoreResult::kFailed;
  KeyRevision revision_;  ///< If done.
};
struct ReadEnded {
  StoreResult result_ = StoreResult::kFailed;
  std::string value_;
  KeyRevision revision_;
  LeaseId lease_;
};
struct ReleaseEnded {};

class LeasedRecord {
 public:
  /// @param lease Time that a lease lasts unless it is renewed.
  explicit LeasedRecord(Duration lease) : lease_time_(lease) {}

  /// Stores a value, replacing the previous one. Failed calls are repeated.
  /// Ignored after `Withdraw`.
  void Publish(std::string value, Time now, LeasedRecordOutbox* out);

  /// Removes the key for good, by ending its lease. Answers to earlier calls
  /// change nothing from then on: the store accepts no write under an ended
  /// lease, and one that is granted late lapses without a key.
  void Withdraw(LeasedRecordOutbox* out);

  /// Renews the lease when due, and repeats failed calls.
  void Tick(Time now, LeasedRecordOutbox* out);

  void On(const LeaseRequestEnded& ended, Time now, LeasedRecordOutbox* out);
  void On(const RenewalEnded& ended, Time now, LeasedRecordOutbox* out);
  void On(const WriteEnded& ended, Time now, LeasedRecordOutbox* out);
  void On(const ReadEnded& ended, Time now, LeasedRecordOutbox* out);
  void On(const ReleaseEnded& ended, LeasedRecordOutbox* out);

  /// A watch has read the key.
  void NoteListed(KeyRevision revision);
  /// A watch has learned that the key was removed.
  void NoteRemoved();

  bool withdrawn() const { return withdrawn_; }
  LeaseId lease() const { return lease_; }
  /// Whether a write is in progress, or the read after one that failed.
  bool writing() const { return writing_.has_value(); }
  /// Whether a lease is being requested or renewed.
  bool leasing() const { return leasing_; }

 private:
  void Write(LeasedRecordOutbox* out);

  Duration lease_time_;
  std::string value_;  // as published last; empty before
  bool withdrawn_ = false;
  std::optional<std::string> writing_;  // the value
  bool write_pending_ = false;
  Time next_write_;
  KeyRevision revision_;  // as far as known
  LeaseId lease_;
  bool leasing_ = false;
  Time next_renewal_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LEASED_RECORD_H_
