#ifndef GENTIANDEAL_SRC_CLIENT_MEMORY_H_
#define GENTIANDEAL_SRC_CLIENT_MEMORY_H_

#include <array>
#include <list>
#include <unordered_map>

#include "gentiandeal_p.h"

/// Accounts of the memory and connections that the clients of one HTTP server
/// use, and the choice of connections to close when they use too much. Performs
/// no I/O and reads no clock; each call takes constant time, apart from the
/// connections that it names.
namespace gentiandeal {

/// Limits of the clients of one server. The defaults limit nothing.
struct ClientMemoryLimits {
  uint64_t max_bytes_ = UINT64_MAX;
  /// Bytes in total above which only requests of up to `kSmallRequestBytes` get
  /// more. Large requests can't keep small ones out.
  uint64_t max_bytes_for_large_ = UINT64_MAX;
  uint32_t max_connections_ = UINT32_MAX;
  uint32_t max_per_address_ = UINT32_MAX;
};

/// A request that holds at most this counts as small. A job of 260 tasks whose
/// payload has 4,000 bytes fits.
inline constexpr uint64_t kSmallRequestBytes = 32 * 1024;
/// Charged for each connection: the socket of the kernel and the objects of the
/// event and HTTP libraries.
inline constexpr uint64_t kConnectionBytes = 12 * 1024;

/// Connections to the readiness address and to the metrics address. Each of
/// them is read by a few machines.
inline constexpr uint32_t kReadinessConnections = 64;
inline constexpr uint32_t kMetricsConnections = 32;

/// Derives the limits of the server for callers. The memory of the probes is
/// subtracted.
///
/// @param memory_mb Memory of the machine; 0 leaves everything unlimited.
/// @param max_fds File descriptors of the process; 0 when not limited.
ClientMemoryLimits LimitsForMemory(uint64_t memory_mb, uint64_t max_fds);

/// Limits of a server whose requests have no bodies and need few connections.
ClientMemoryLimits ProbeLimits(uint32_t connections);

/// What bytes are held for.
enum class HeldKind : uint8_t {
  kConnection,   ///< The connection itself.
  kArriving,     ///< A request that is not complete.
  kOpenRequest,  ///< A complete request that has not been answered.
  kReply,        ///< A reply that has not been sent.
};
inline constexpr size_t kHeldKinds = 4;
inline constexpr std::array<std::string_view, kHeldKinds> kHeldKindNames = {
    "connections", "arriving", "requests", "replies"};

/// State of a connection, in the order in which connections are closed.
enum class ClientState : uint8_t {
  kLingering,  ///< Its last reply was sent.
  kWaiting,    ///< For bytes of a first or partial request, or to send a reply.
  kIdle,       ///< Between two requests.
  kBusy,       ///< Its request is being processed. Never closed.
};
inline constexpr size_t kClientStates = 4;

class ClientMemory {
 public:
  using Connection = uint64_t;

  /// A connection that has made no progress for less than this is not closed in
  /// favour of another one. Far above the pause between two segments of a
  /// sender that has the bytes at hand.
  static constexpr Duration kMinStall{200};
  /// Fewer bytes than this are no progress, so that a sender of single bytes
  /// doesn't pass for an active one.
  static constexpr uint64_t kProgressBytes = 4096;

  struct Decision {
    bool granted_ = true;
    /// To be closed at once. Their bytes are no longer accounted.
    std::vector<Connection> close_;
  };

  explicit ClientMemory(const ClientMemoryLimits& limits) : limits_(limits) {}

  /// Registers a connection; without a grant it has to be closed.
  Decision Open(Connection id, const std::string& host, Time now);
  /// Removes a connection. Unknown ones are ignored, here and below.
  void Close(Connection id);

  /// Sets the bytes that a connection holds of one kind; `kConnection` is set
  /// by `Open`. Fewer bytes are always granted. Without a grant the account is
  /// unchanged.
  Decision Hold(Connection id, HeldKind kind, uint64_t bytes, Time now);
  /// The same without a limit, for replies.
  void HoldAnyway(Connection id, HeldKind kind, uint64_t bytes);

  void SetState(Connection id, ClientState state, Time now);
  /// Notes that bytes were received or sent.
  void Progress(Connection id, uint64_t bytes, Time now);

  uint64_t held(HeldKind kind) const {
    return held_[static_cast<size_t>(kind)];
  }
  uint64_t total() const { return total_; }
  size_t connections() const { return entries_.size(); }

  /// The highest values of a period.
  struct Peak {
    uint64_t total_ = 0;
    std::string host_;  ///< That held the most bytes at one time.
    uint64_t host_bytes_ = 0;
  };
  /// @returns the highest values since the last call.
  Peak TakePeak();

 private:
  using Order = std::list<Connection>;
  /// Connections by state, longest stalled first.
  using Orders = std::array<Order, kClientStates>;

  struct Host {
    uint64_t bytes_ = 0;
    uint32_t connections_ = 0;
    Orders orders_;
  };
  struct Entry {
    std::unordered_map<std::string, Host>::iterator host_;
    std::array<uint64_t, kHeldKinds> held_{};
    ClientState state_ = ClientState::kWaiting;
    Order::iterator in_all_;
    Order::iterator in_host_;
    uint64_t unnoted_bytes_ = 0;  ///< Received or sent since `progress_at_`.
    Time progress_at_;
    bool closing_ = false;  ///< Named for closing; its account stays empty.
  };

  /// @returns null for unknown connections and those named for closing.
  Entry* Find(Connection id);
  void Set(Entry* entry, HeldKind kind, uint64_t bytes);
  void Move(Entry* entry, ClientState state, Time now);
  /// Names the connection stalled longest in `orders` for closing. @returns
  /// false if none has stalled for long enough.
  bool CloseOne(const Orders& orders, Connection except, Time now,
                Decision* out);
  /// Empties an account.
  void Clear(Entry* entry);

  ClientMemoryLimits limits_;
  std::unordered_map<Connection, Entry> entries_;
  std::unordered_map<std::string, Host> hosts_;
  Orders orders_;
  std::array<uint64_t, kHeldKinds> held_{};
  uint64_t total_ = 0;
  size_t closing_ = 0;  ///< Named for closing, and still registered.
  Peak peak_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_CLIENT_MEMORY_H_
