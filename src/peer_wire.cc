#include "peer_wire.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "wire_frame.h"

namespace gentiandeal {
namespace {

/// First byte of every datagram; has to change whenever the format does.
constexpr uint8_t kDatagramFormat = 0xd1;
/// First byte of every frame; has to change whenever the format does.
constexpr uint8_t kFrameFormat = 0xf1;
constexpr uint8_t kNibbleMax = 0x0f;
/// Steps of a `LogQuantizedNumber` per doubling of the value plus one.
constexpr double kCodesPerDoubling = 16;
constexpr uint32_t kMaxFieldsPerMessage = 4096;

}  // namespace

// `SerializeList` in wire_archive.h finds these overloads by argument-dependent
// lookup, so they can't be in an unnamed namespace.

template <typename Archive>
void Serialize(Archive& archive, WireTeamUsage& usage) {
  archive.Value(usage.team_);
  archive.Value(usage.running_.code_);
  archive.Value(usage.waiting_.code_);
  archive.Value(usage.starts_per_second_.code_);
}

template <typename Archive>
void Serialize(Archive& archive, WireWorkerUsage& usage) {
  Serialize(archive, usage.worker_);
  archive.Value(usage.in_use_);
}

template <typename Archive>
void Serialize(Archive& archive, DatagramHeader& head) {
  Serialize(archive, head.incarnation_);
  archive.Value(head.sequence_);
}

template <typename Archive>
void Serialize(Archive& archive, HeartbeatDatagram& state) {
  Serialize(archive, state.header_);
  archive.Text(state.data_centre_);
  Serialize(archive, state.revision_);
  archive.Value(state.queued_tasks_);
  archive.Value(state.free_slots_);
  Serialize(archive, state.worker_list_digest_);
  archive.Value(state.interval_ms_);
  Serialize(archive, state.draining_);
  Serialize(archive, state.wants_reply_);
  SerializeList(archive, state.teams_, kMaxTeamsPerDatagram, uint8_t{0});
}

/// Packs two counts into a byte if none is above 15, else takes a byte for
/// each.
template <typename Archive>
void SerializeCounts(Archive& archive, std::vector<uint8_t>& counts) {
  bool packed = std::all_of(counts.begin(), counts.end(),
                            [](uint8_t count) { return count <= kNibbleMax; });
  Serialize(archive, packed);
  auto size = static_cast<uint16_t>(counts.size());
  archive.Value(size);
  if constexpr (Archive::kReads) {
    const size_t needed = packed ? (size + 1U) / 2 : size;
    if (size > config::kMaxWorkers || needed > archive.bytes_left()) {
      archive.Fail();
    }
    if (archive.failed()) return;
    counts.resize(size);
  }
  const size_t step = packed ? 2 : 1;
  for (size_t i = 0; i < counts.size(); i += step) {
    const bool pair = packed && i + 1 < counts.size();
    uint8_t byte = counts[i];
    if (pair) byte = static_cast<uint8_t>(byte | (counts[i + 1] << 4));
    archive.Value(byte);
    if constexpr (Archive::kReads) {
      counts[i] = packed ? byte & kNibbleMax : byte;
      if (pair) counts[i + 1] = byte >> 4;
    }
  }
}

template <typename Archive>
void Serialize(Archive& archive, LoadDatagram& load) {
  Serialize(archive, load.header_);
  archive.Value(load.queued_tasks_);
  SerializeCounts(archive, load.in_use_by_rank_);
  if (!load.in_use_by_rank_.empty()) {
    Serialize(archive, load.worker_list_digest_);
  }
  SerializeList(archive, load.in_use_by_hash_, kMaxHashEntriesPerDatagram,
                uint8_t{0});
  SerializeList(archive, load.teams_, kMaxTeamsPerDatagram, uint8_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, InstanceId& id) {
  archive.Text(id.data_centre_);
  archive.Text(id.peer_address_.host_);
  archive.Value(id.peer_address_.port_);
  Serialize(archive, id.incarnation_);
}

template <typename Archive>
void Serialize(Archive& archive, HttpField& field) {
  archive.Text(field.first);
  archive.Text(field.second);
}

template <typename Archive>
void Serialize(Archive& archive, TaskSpec& task) {
  archive.Text(task.method_);
  archive.Text(task.path_);
  SerializeList(archive, task.fields_, kMaxFieldsPerMessage, uint32_t{0});
  archive.Text(task.body_);
  archive.Text(task.kind_);
  Serialize(archive, task.declared_run_time_);
  archive.Value(task.declared_slots_);
}

template <typename Archive>
void Serialize(Archive& archive, JobSpec& job) {
  archive.Text(job.team_);
  Serialize(archive, job.deadline_);
  Serialize(archive, job.idempotent_);
  Serialize(archive, job.passthrough_);
  SerializeList(archive, job.tasks_, config::kMaxTasksPerJob, uint32_t{0});
}

template <typename Archive>
void Serialize(Archive& archive, TaskAnswer& answer) {
  archive.Value(answer.status_);
  SerializeList(archive, answer.fields_, kMaxFieldsPerMessage, uint32_t{0});
  archive.Text(answer.body_);
}

/// Only errors of `GentiandealCategory` have a code on the wire; any other is
/// sent as `Errc::kPeerLinkLost`.
template <typename Archive>
void Serialize(Archive& archive, std::error_code& error) {
  const bool in_category = error.category() == GentiandealCategory();
  uint16_t code = 0;
  if (error) {
    code = static_cast<uint16_t>(
        in_category ? error.value() : static_cast<int>(Errc::kPeerLinkLost));
  }
  archive.Value(code);
  if constexpr (Archive::kReads) {
    if (code > static_cast<uint16_t>(Errc::kUsage)) archive.Fail();
    error = code == 0 ? std::error_code() : static_cast<Errc>(code);
  }
}

template <typename Archive>
void Serialize(Archive& archive, Outcome& outcome) {
  auto byte = static_cast<uint8_t>(outcome);
  archive.Value(byte);
  if constexpr (Archive::kReads) {
    if (byte > static_cast<uint8_t>(Outcome::kMayHaveRun)) archive.Fail();
    outcome = static_cast<Outcome>(byte);
  }
}

template <typename Archive>
void Serialize(Archive& archive, JobAnswer& answer) {
  Serialize(archive, answer.outcome_);
  Serialize(archive, answer.error_);
  Serialize(archive, answer.retry_after_);
  SerializeList(archive, answer.tasks_, config::kMaxTasksPerJob, uint32_t{0});
  SerializeList(archive, answer.started_, config::kMaxTasksPerJob, uint32_t{0});
  Serialize(archive, answer.started_known_);
}

template <typename Archive>
void Serialize(Archive& archive, SubmissionId& id) {
  Serialize(archive, id.client_.owner_);
  archive.Value(id.client_.serial_);
  archive.Value(id.client_.expires_ms_);
  for (uint8_t& byte : id.client_.mac_) archive.Value(byte);
  archive.Value(id.sequence_);
  archive.Value(id.acknowledged_);
}

template <typename Archive>
void Serialize(Archive& archive, std::optional<SubmissionId>& id) {
  bool present = id.has_value();
  Serialize(archive, present);
  if (!present) return;
  if constexpr (Archive::kReads) id.emplace();
  Serialize(archive, *id);
}

template <typename Archive>
void Serialize(Archive& archive, HelloFrame& frame) {
  Serialize(archive, frame.self_);
  Serialize(archive, frame.expected_);
}

template <typename Archive>
void Serialize(Archive& archive, HelloReplyFrame& frame) {
  Serialize(archive, frame.self_);
  Serialize(archive, frame.accepted_);
}

template <typename Archive>
void SerializeSubmitHeader(Archive& archive, ForwardId& forward,
                           std::optional<SubmissionId>& submission,
                           bool& cancel, bool& remote_execution) {
  Serialize(archive, forward);
  Serialize(archive, submission);
  Serialize(archive, cancel);
  Serialize(archive, remote_execution);
}

template <typename Archive>
void Serialize(Archive& archive, SubmitFrame& frame) {
  SerializeSubmitHeader(archive, frame.forward_, frame.submission_,
                        frame.cancel_, frame.remote_execution_);
  Serialize(archive, frame.job_);
}

template <typename Archive>
void Serialize(Archive& archive, CancelForwardFrame& frame) {
  Serialize(archive, frame.forward_);
}

template <typename Archive>
void Serialize(Archive& archive, AnswerFrame& frame) {
  Serialize(archive, frame.forward_);
  Serialize(archive, frame.answer_);
}

template <typename Archive>
void Serialize(Archive& /*archive*/, PullSettingsFrame& /*frame*/) {}

template <typename Archive>
void Serialize(Archive& archive, SettingsFrame& frame) {
  Serialize(archive, frame.revision_);
  archive.Text(frame.document_);
}

NameHash HashName(std::string_view name) {
  const auto hash =
      static_cast<uint32_t>(XXH3_64bits(name.data(), name.size()));
  return {hash == 0 ? 1 : hash};
}

LogQuantizedNumber LogQuantizedNumber::From(double value) {
  if (!(value > 0)) return {};
  const double code = std::round(kCodesPerDoubling * std::log2(1 + value));
  constexpr double kMaxCode = std::numeric_limits<uint8_t>::max();
  return {static_cast<uint8_t>(std::min(code, kMaxCode))};
}

double LogQuantizedNumber::Value() const {
  return std::exp2(code_ / kCodesPerDoubling) - 1;
}

std::string EncodeDatagram(const Datagram& datagram) {
  std::string bytes;
  AppendMessage(kDatagramFormat, datagram, &bytes);
  return bytes;
}

bool DecodeDatagram(std::string_view bytes, Datagram* out) {
  if (bytes.empty() || bytes.size() > config::kMaxDatagramBytes) return false;
  if (!ReadMessage(bytes, kDatagramFormat, out)) return false;
  const auto* state = std::get_if<HeartbeatDatagram>(out);
  if (state == nullptr) {
    return std::get<LoadDatagram>(*out).header_.incarnation_.valid();
  }
  return state->header_.incarnation_.valid() &&
         state->data_centre_.size() <= kMaxDataCentreBytes;
}

std::string EncodeFrame(const Frame& frame) {
  return EncodeWithLength(kFrameFormat, frame);
}

std::string EncodeSubmit(const ForwardSubmission& forward) {
  std::string bytes(kFrameLengthBytes, '\0');
  WireWriter writer(&bytes);
  WriteHeader(writer, kFrameFormat, KindOnWire<SubmitFrame, Frame>());
  auto& fields = const_cast<ForwardSubmission&>(forward);
  SerializeSubmitHeader(writer, fields.forward_, fields.submission_,
                        fields.cancel_, fields.remote_execution_);
  JobSpec none;
  const bool has_job = forward.job_ != nullptr;
  Serialize(writer, has_job ? const_cast<JobSpec&>(*forward.job_) : none);
  SetFrameLength(&bytes);
  return bytes;
}

std::string EncodeAnswer(ForwardId forward, const JobAnswer& answer) {
  std::string bytes(kFrameLengthBytes, '\0');
  WireWriter writer(&bytes);
  WriteHeader(writer, kFrameFormat, KindOnWire<AnswerFrame, Frame>());
  Serialize(writer, forward);
  Serialize(writer, const_cast<JobAnswer&>(answer));
  SetFrameLength(&bytes);
  return bytes;
}

bool DecodeFrame(std::string_view bytes, Frame* out) {
  if (bytes.empty() || bytes.size() > config::kMaxFrameBytes) return false;
  return ReadMessage(bytes, kFrameFormat, out);
}

}  // namespace gentiandeal
