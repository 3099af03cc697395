#include "leased_record.h"

#include <algorithm>
#include <utility>

namespace gentiandeal {
namespace {

constexpr Duration kRetryDelay{150};
constexpr int kRenewalsPerLease = 3;

}  // namespace

void LeasedRecord::Publish(std::string value, Time now,
                           LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  value_ = std::move(value);
  write_pending_ = true;
  next_write_ = now;
  Write(out);
}

void LeasedRecord::Write(LeasedRecordOutbox* out) {
  if (writing_ || !write_pending_) return;
  if (!lease_.valid()) {
    if (!std::exchange(leasing_, true)) {
      out->emplace_back(RequestLease{lease_time_});
    }
    return;
  }
  writing_ = value_;
  write_pending_ = false;
  out->emplace_back(WriteRecord{value_, revision_, lease_});
}

void LeasedRecord::On(const WriteEnded& ended, Time now,
                      LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  const bool newest = writing_ == value_;
  write_pending_ =
      write_pending_ || !newest || ended.result_ != StoreResult::kDone;
  switch (ended.result_) {
    case StoreResult::kDone:
      writing_.reset();
      revision_ = ended.revision_;
      if (!newest) return Write(out);
      out->emplace_back(RecordStored{revision_});
      return;
    case StoreResult::kNotFound:
      writing_.reset();
      lease_ = {};
      next_write_ = now + kRetryDelay;
      return Write(out);
    case StoreResult::kFailed:
      // The write may have succeeded although the call failed.
      next_write_ = now + kRetryDelay;
      out->emplace_back(ReadRecord{});
      return;
  }
}

void LeasedRecord::On(const ReadEnded& ended, Time now,
                      LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  const std::string written = std::exchange(writing_, std::nullopt).value();
  switch (ended.result_) {
    case StoreResult::kFailed:
      next_write_ = now + kRetryDelay;
      return;
    case StoreResult::kNotFound:
      revision_ = {};
      return Write(out);
    case StoreResult::kDone:
      revision_ = ended.revision_;
      if (ended.value_ != written || value_ != written ||
          ended.lease_ != lease_) {
        return Write(out);
      }
      write_pending_ = false;
      out->emplace_back(RecordStored{revision_});
      return;
  }
}

void LeasedRecord::On(const LeaseRequestEnded& ended, Time now,
                      LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  leasing_ = false;
  lease_ = ended.lease_;
  if (!lease_.valid()) {
    next_write_ = now + kRetryDelay;
    return;
  }
  next_renewal_ = now + Duration{lease_time_.ms_ / kRenewalsPerLease};
  Write(out);
}

void LeasedRecord::On(const RenewalEnded& ended, Time /*now*/,
                      LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  leasing_ = false;
  if (ended.result_ != StoreResult::kNotFound) return;
  lease_ = {};
  write_pending_ = true;
  Write(out);
}

void LeasedRecord::Withdraw(LeasedRecordOutbox* out) {
  if (std::exchange(withdrawn_, true)) return;
  if (!lease_.valid()) {
    out->emplace_back(RecordWithdrawn{});
  } else {
    out->emplace_back(ReleaseLease{lease_});
  }
}

void LeasedRecord::On(const ReleaseEnded& /*ended*/, LeasedRecordOutbox* out) {
  out->emplace_back(RecordWithdrawn{});
}

void LeasedRecord::Tick(Time now, LeasedRecordOutbox* out) {
  if (withdrawn_) return;
  if (now >= next_write_) Write(out);
  if (!lease_.valid() || leasing_ || now < next_renewal_) return;
  leasing_ = true;
  next_renewal_ = now + Duration{lease_time_.ms_ / kRenewalsPerLease};
  out->emplace_back(RenewLease{lease_, lease_time_});
}

void LeasedRecord::NoteListed(KeyRevision revision) {
  revision_ = std::max(revision_, revision);
}

void LeasedRecord::NoteRemoved() {
  if (withdrawn_) return;
  revision_ = {};
  write_pending_ = !value_.empty();
}

}  // namespace gentiandeal
