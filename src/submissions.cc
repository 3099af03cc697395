#include "submissions.h"

#include "client_id_issuer.h"

namespace gentiandeal {
namespace {

/// Number of clients that are examined, oldest first, to evict one.
constexpr int kMaxEvictionScan = 16;

}  // namespace

Submissions::~Submissions() = default;

SubmissionLookup Submissions::Lookup(const SubmissionId& id,
                                     const std::optional<JobDigest>& digest,
                                     Time now) {
  if (ClientIdIssuer::Expired(id.client_, now)) {
    return {SubmissionState::kForgotten, {}, nullptr};
  }
  auto found = clients_.find(id.client_.serial_);
  if (found == clients_.end()) {
    if (id.client_.serial_ <= forgotten_serial_ || id.sequence_ == 0) {
      return {SubmissionState::kForgotten, {}, nullptr};
    }
    if (!EvictIfFull()) return {SubmissionState::kTooManyClients, {}, nullptr};
    found = clients_.try_emplace(id.client_.serial_).first;
    found->second.expires_ms_ = id.client_.expires_ms_;
  }
  Client& client = found->second;
  Acknowledge(id.acknowledged_, &client, this);
  if (id.sequence_ <= client.acknowledged_) {
    return {SubmissionState::kForgotten, {}, nullptr};
  }
  const auto record = client.records_.find(id.sequence_);
  if (record != client.records_.end()) {
    return ToLookup(record->second, digest);
  }
  if (id.sequence_ - client.acknowledged_ > config::kAnswerWindow) {
    return {SubmissionState::kWindowFull, {}, nullptr};
  }
  return {};
}

void Submissions::Begin(const SubmissionId& id,
                        const std::optional<JobDigest>& digest, JobId job) {
  Client& client = clients_.find(id.client_.serial_)->second;
  Record& record = client.records_[id.sequence_];
  record.digest_ = digest;
  record.job_ = job;
  ++client.running_;
}

void Submissions::Finish(const SubmissionId& id, TeamHandle team,
                         std::shared_ptr<const JobAnswer> answer) {
  const auto found = clients_.find(id.client_.serial_);
  if (found == clients_.end()) return;
  Client& client = found->second;
  const auto position = client.records_.find(id.sequence_);
  if (position == client.records_.end()) return;
  Record& record = position->second;
  record.job_ = {};
  --client.running_;
  if (id.sequence_ <= client.acknowledged_) {
    client.records_.erase(position);
    return;
  }
  record.bytes_ = BufferedBytes(*answer);
  record.team_ = team;
  record.answer_ = std::move(answer);
  account_->Add(team, record.bytes_);
  kept_answers_.push_back(record);
  kept_answers_by_team_[team.value_].push_back(record);
}

bool Submissions::DropOldestAnswer(TeamHandle team) {
  Record* oldest = nullptr;
  if (!team.valid()) {
    if (!kept_answers_.empty()) oldest = &kept_answers_.front();
  } else if (!kept_answers_by_team_[team.value_].empty()) {
    oldest = &kept_answers_by_team_[team.value_].front();
  }
  if (oldest == nullptr) return false;
  DropAnswer(oldest);
  ++answers_dropped_;
  return true;
}

void Submissions::Tick(Time now) {
  while (!clients_.empty()) {
    const auto oldest = clients_.begin();
    if (now.ms_ < oldest->second.expires_ms_) return;
    if (oldest->second.running_ > 0) return;
    DropClient(oldest);
  }
}

void Submissions::Acknowledge(uint64_t acknowledged, Client* client,
                              Submissions* self) {
  if (acknowledged <= client->acknowledged_) return;
  client->acknowledged_ = acknowledged;
  auto record = client->records_.begin();
  while (record != client->records_.end() && record->first <= acknowledged) {
    if (record->second.job_.valid()) {
      ++record;
      continue;
    }
    self->DropAnswer(&record->second);
    record = client->records_.erase(record);
  }
}

SubmissionLookup Submissions::ToLookup(
    const Record& record, const std::optional<JobDigest>& digest) const {
  if (digest && record.digest_ && *digest != *record.digest_) {
    return {SubmissionState::kMismatch, {}, nullptr};
  }
  if (record.job_.valid()) {
    return {SubmissionState::kRunning, record.job_, nullptr};
  }
  if (record.answer_ == nullptr) {
    return {SubmissionState::kForgotten, {}, nullptr};
  }
  return {SubmissionState::kFinished, {}, record.answer_};
}

bool Submissions::EvictIfFull() {
  if (clients_.size() < config::kMaxActiveClients) return true;
  auto client = clients_.begin();
  for (int i = 0; i < kMaxEvictionScan && client != clients_.end(); ++i) {
    if (client->second.running_ == 0) {
      DropClient(client);
      return true;
    }
    ++client;
  }
  return false;
}

void Submissions::DropAnswer(Record* record) {
  if (record->answer_ == nullptr) return;
  account_->Release(record->team_, record->bytes_);
  record->answer_ = nullptr;
  record->age_hook_.unlink();
  record->team_age_hook_.unlink();
}

void Submissions::DropClient(Clients::iterator client) {
  for (auto& [sequence, record] : client->second.records_) {
    if (record.answer_ != nullptr) ++answers_dropped_;
    DropAnswer(&record);
  }
  forgotten_serial_ = std::max(forgotten_serial_, client->first);
  clients_.erase(client);
}

}  // namespace gentiandeal
