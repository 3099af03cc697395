#include "mesh_wire.h"

#include "wire_frame.h"

namespace gentiandeal {

// `SerializeList` in wire_archive.h finds these overloads by argument-dependent
// lookup, so they can't be in an unnamed namespace.

template <typename Archive, typename Tag>
void Serialize(Archive& archive, TextId<Tag>& id) {
  archive.Text(id.value_);
}

template <typename Archive>
void Serialize(Archive& archive, std::string& text) {
  archive.Text(text);
}

template <typename Archive>
void Serialize(Archive& archive, Resources& resources) {
  archive.Value(resources.cpu_milli_);
  archive.Value(resources.memory_mb_);
  archive.Value(resources.gpu_);
}

template <typename Archive>
void Serialize(Archive& archive, WorkerLosses& losses) {
  archive.Value(losses.lost_);
  archive.Value(losses.crashes_);
}

template <typename Archive>
void Serialize(Archive& archive, AssignedTask& task) {
  Serialize(archive, task.serial_);
  archive.Value(task.index_);
  Serialize(archive, task.losses_);
}

template <typename Archive>
void Serialize(Archive& archive, TaskLosses& task) {
  archive.Text(task.task_);
  Serialize(archive, task.losses_);
}

template <typename Archive>
void Serialize(Archive& archive, TaskEnded& ended) {
  Serialize(archive, ended.serial_);
  auto end = static_cast<uint8_t>(ended.end_);
  archive.Value(end);
  if constexpr (Archive::kReads) {
    if (end > static_cast<uint8_t>(TaskEnd::kNoRoom)) archive.Fail();
    ended.end_ = static_cast<TaskEnd>(end);
  }
  Serialize(archive, ended.started_);
}

template <typename Archive>
void Serialize(Archive& archive, MeshHello& hello) {
  Serialize(archive, hello.name_);
  archive.Text(hello.data_centre_);
  Serialize(archive, hello.incarnation_);
}

template <typename Archive>
void Serialize(Archive& archive, AssignTasks& assign) {
  archive.Text(assign.name_);
  archive.Text(assign.pool_);
  archive.Text(assign.label_);
  archive.Text(assign.payload_);
  Serialize(archive, assign.need_);
  Serialize(archive, assign.expected_run_time_);
  Serialize(archive, assign.start_within_);
  Serialize(archive, assign.give_up_after_);
  Serialize(archive, assign.job_started_);
  archive.Value(assign.band_);
  if constexpr (Archive::kReads) {
    if (assign.band_ >= kPriorityBands) archive.Fail();
  }
  Serialize(archive, assign.refusable_);
  SerializeList(archive, assign.tasks_, config::kMaxTasksPerMessage,
                uint32_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, CancelTasks& cancel) {
  SerializeList(archive, cancel.tasks_, config::kMaxTasksPerMessage,
                uint32_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, BatchRefused& refused) {
  SerializeList(archive, refused.tasks_, config::kMaxTasksPerMessage,
                uint32_t{0});
  Serialize(archive, refused.expected_wait_);
}

template <typename Archive>
void Serialize(Archive& archive, MeshTasksEnded& ended) {
  SerializeList(archive, ended.ended_, config::kMaxTasksPerMessage,
                uint32_t{0});
}

// Most classes are empty, and reports are the most frequent frames: only the
// others are sent, behind a mask of them.
template <typename Archive>
void SerializeQueued(Archive& archive, QueuedCpu& queued) {
  static_assert(kQueueClasses <= 32);
  uint32_t filled = 0;
  for (size_t i = 0; i < queued.size(); ++i) {
    if (queued[i] > 0) filled |= 1U << i;
  }
  archive.Value(filled);
  for (size_t i = 0; i < queued.size(); ++i) {
    if ((filled >> i & 1) != 0) archive.Value(queued[i]);
  }
}

template <typename Archive>
void Serialize(Archive& archive, PoolLoad& load) {
  archive.Text(load.pool_);
  SerializeList(archive, load.free_, config::kMaxWorkersPerReport, uint16_t{0});
  archive.Value(load.released_cpu_milli_per_s_);
  SerializeQueued(archive, load.queued_cpu_milli_);
  for (uint32_t& started : load.started_cpu_milli_per_s_) {
    archive.Value(started);
  }
}

template <typename Archive>
void Serialize(Archive& archive, OwnerLoad& load) {
  Serialize(archive, load.draining_);
  SerializeList(archive, load.pools_, config::kMaxPoolsPerReport, uint8_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, OpenJobList& list) {
  Serialize(archive, list.coordinator_);
  SerializeList(archive, list.ids_, config::kMaxOpenJobsPerReport, uint16_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, MeshOpenJobs& jobs) {
  SerializeList(archive, jobs.lists_, config::kMaxListsPerReport, uint16_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, MeshTaskLosses& losses) {
  SerializeList(archive, losses.tasks_, config::kMaxTasksPerMessage,
                uint32_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, MeshRecallJob& recall) {
  Serialize(archive, recall.coordinator_);
  archive.Text(recall.id_);
}

template <typename Archive>
void Serialize(Archive& archive, MeshHeartbeat& heartbeat) {
  archive.Value(heartbeat.sent_.ms_);
  archive.Value(heartbeat.echo_.ms_);
}

namespace {

/// First byte of every frame; has to change whenever the format does.
constexpr uint8_t kMeshFormat = 0xe5;

}  // namespace

std::vector<MeshTaskLosses> SplitTaskLosses(
    const std::vector<TaskLosses>& all) {
  std::vector<MeshTaskLosses> messages;
  for (const TaskLosses& one : all) {
    if (messages.empty() ||
        messages.back().tasks_.size() == config::kMaxTasksPerMessage) {
      messages.emplace_back();
    }
    messages.back().tasks_.push_back(one);
  }
  return messages;
}

EncodedFrame EncodeMesh(const MeshFrame& frame) {
  return {EncodeWithLength(kMeshFormat, frame), frame.index()};
}

bool DecodeMesh(std::string_view bytes, MeshFrame* out) {
  return ReadMessage(bytes, kMeshFormat, out);
}

}  // namespace gentiandeal
