#ifndef GENTIANDEAL_SRC_PEER_WIRE_H_
#define GENTIANDEAL_SRC_PEER_WIRE_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gentiandeal_p.h"

/// Wire format of the messages between instances: datagrams over UDP and frames
/// over TCP, both in cereal's portable binary format. Every size is checked
/// against the remaining bytes before memory is allocated for it.
namespace gentiandeal {

/// Hash of a worker's address or a team's path, or digest of a list of workers.
/// Every instance computes the same value.
using NameHash = Id<struct NameHashTag, uint32_t, 0>;

/// @returns the low 32 bits of the name's XXH3 hash, with 0 (the invalid value)
/// replaced by 1.
NameHash HashName(std::string_view name);

/// Non-negative number quantised to one byte on a logarithmic scale. Whole
/// numbers up to 15 are exact after rounding, larger ones within 3 %.
struct LogQuantizedNumber {
  uint8_t code_ = 0;
  static LogQuantizedNumber From(double value);
  double Value() const;
};

/// Usage of one team at the sender; 5 bytes on the wire.
struct WireTeamUsage {
  uint16_t team_ = 0;  ///< Low half of the hash of the team's path.
  LogQuantizedNumber running_;
  LogQuantizedNumber waiting_;
  LogQuantizedNumber starts_per_second_;
};

/// Slots that the sender uses at one worker.
struct WireWorkerUsage {
  NameHash worker_;
  uint8_t in_use_ = 0;  ///< Clamped to 255.
};

/// Leading fields of every datagram.
struct DatagramHeader {
  Incarnation incarnation_;
  uint32_t sequence_ = 0;  ///< Increases with each datagram of the sender.
};

/// Heartbeat, sent to peers of all data centres.
struct HeartbeatDatagram {
  DatagramHeader header_;
  std::string data_centre_;
  Revision revision_;
  uint32_t queued_tasks_ = 0;
  uint32_t free_slots_ = 0;
  NameHash worker_list_digest_;  ///< Digest of the sender's list of workers.
  uint16_t interval_ms_ = 0;     ///< Longest time until the next heartbeat.
  bool draining_ = false;
  bool wants_reply_ = false;
  std::vector<WireTeamUsage> teams_;
};

/// Load report to a peer of the same data centre.
struct LoadDatagram {
  DatagramHeader header_;
  uint16_t queued_tasks_ = 0;  ///< Clamped to 65535.
  /// Digest of the list of workers whose order `in_use_by_rank_` follows.
  NameHash worker_list_digest_;
  /// Slots in use at each worker, by rank in that list; empty if
  /// `in_use_by_hash_` carries them.
  std::vector<uint8_t> in_use_by_rank_;
  /// Slots in use at workers named by hash: used if the receiver's list of
  /// workers differs, or if few counts changed, as this is then shorter.
  std::vector<WireWorkerUsage> in_use_by_hash_;
  std::vector<WireTeamUsage> teams_;
};

using Datagram = std::variant<HeartbeatDatagram, LoadDatagram>;

/// Maximum number of entries in one datagram.
inline constexpr size_t kMaxTeamsPerDatagram = 8;
inline constexpr size_t kMaxHashEntriesPerDatagram = 220;
/// Maximum length of a data centre's name, in bytes.
inline constexpr size_t kMaxDataCentreBytes = 64;

/// Encodes a datagram. @returns at most `kMaxDatagramBytes` bytes if the
/// datagram keeps to the limits above.
std::string EncodeDatagram(const Datagram& datagram);

/// Decodes a datagram. @returns false if it is malformed, truncated, oversized,
/// of another format, or without a valid incarnation.
bool DecodeDatagram(std::string_view bytes, Datagram* out);

/// First frame of the side that opened the connection.
struct HelloFrame {
  InstanceId self_;
  Incarnation expected_;  ///< Of the receiver; invalid to accept any.
};

/// Answer to `HelloFrame`. No other frame may follow unless `accepted_` is set.
struct HelloReplyFrame {
  InstanceId self_;
  bool accepted_ = false;
};

/// A forwarded submission, or the cancellation of one.
struct SubmitFrame {
  ForwardId forward_;
  std::optional<SubmissionId> submission_;
  bool cancel_ = false;
  bool remote_execution_ = false;
  JobSpec job_;
};

/// The caller of a forwarded submission disconnected, or the sender stopped
/// waiting for the answer.
struct CancelForwardFrame {
  ForwardId forward_;
};

/// Final answer to a forwarded submission.
struct AnswerFrame {
  ForwardId forward_;
  JobAnswer answer_;
};

/// Requests the receiver's settings document.
struct PullSettingsFrame {};

/// Answer to `PullSettingsFrame`.
struct SettingsFrame {
  Revision revision_;  ///< Invalid if the sender has no document.
  std::string document_;
};

using Frame =
    std::variant<HelloFrame, HelloReplyFrame, SubmitFrame, CancelForwardFrame,
                 AnswerFrame, PullSettingsFrame, SettingsFrame>;

/// Encodes a frame, prefixed with its length.
std::string EncodeFrame(const Frame& frame);

/// Encodes a `SubmitFrame` with its length, without copying the job.
std::string EncodeSubmit(const ForwardSubmission& forward);

/// Encodes an `AnswerFrame` with its length, without copying the answer.
std::string EncodeAnswer(ForwardId forward, const JobAnswer& answer);

/// Decodes a frame without its length. @returns false if it is malformed.
bool DecodeFrame(std::string_view bytes, Frame* out);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_WIRE_H_
