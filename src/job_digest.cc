#include "job_digest.h"

#include <xxhash.h>

namespace gentiandeal {
namespace {

/// XXH3 hash over a sequence of values. Text is preceded by its length, so that
/// adjacent strings stay distinct.
class Hasher {
 public:
  Hasher() : state_(XXH3_createState()) { XXH3_128bits_reset(state_); }
  ~Hasher() { XXH3_freeState(state_); }
  Hasher(const Hasher&) = delete;
  Hasher& operator=(const Hasher&) = delete;

  void Add(uint64_t value) {
    XXH3_128bits_update(state_, &value, sizeof(value));
  }
  void Add(const std::string& text) {
    Add(uint64_t{text.size()});
    XXH3_128bits_update(state_, text.data(), text.size());
  }
  JobDigest Finish() const {
    const XXH128_hash_t hash = XXH3_128bits_digest(state_);
    return {hash.low64, hash.high64};
  }

 private:
  XXH3_state_t* state_;
};

void AddTask(const TaskSpec& task, Hasher* hasher) {
  hasher->Add(task.method_);
  hasher->Add(task.path_);
  hasher->Add(uint64_t{task.fields_.size()});
  for (const HttpField& field : task.fields_) {
    hasher->Add(field.first);
    hasher->Add(field.second);
  }
  hasher->Add(task.body_);
  hasher->Add(task.kind_);
}

uint64_t FieldBytes(const std::vector<HttpField>& fields) {
  uint64_t bytes = fields.size() * sizeof(HttpField);
  for (const HttpField& field : fields) {
    bytes += field.first.size() + field.second.size();
  }
  return bytes;
}

}  // namespace

JobDigest Digest(const JobSpec& job) {
  Hasher hasher;
  hasher.Add(job.team_);
  hasher.Add(uint64_t{job.passthrough_});
  hasher.Add(uint64_t{job.tasks_.size()});
  for (const TaskSpec& task : job.tasks_) AddTask(task, &hasher);
  return hasher.Finish();
}

uint64_t BufferedBytes(const JobSpec& job) {
  uint64_t bytes = sizeof(JobSpec);
  for (const TaskSpec& task : job.tasks_) {
    bytes += sizeof(TaskSpec) + task.method_.size() + task.path_.size() +
             task.kind_.size() + task.body_.size() + FieldBytes(task.fields_);
  }
  return bytes;
}

uint64_t BufferedBytes(const TaskAnswer& answer) {
  return sizeof(TaskAnswer) + answer.body_.size() + FieldBytes(answer.fields_);
}

uint64_t BufferedBytes(const JobAnswer& answer) {
  uint64_t bytes = sizeof(JobAnswer) + 2 * answer.started_.size();
  for (const TaskAnswer& task : answer.tasks_) bytes += BufferedBytes(task);
  return bytes;
}

}  // namespace gentiandeal
