#ifndef GENTIANDEAL_SRC_PEER_LINK_H_
#define GENTIANDEAL_SRC_PEER_LINK_H_

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gentiandeal_p.h"

namespace gentiandeal {

class PeerSocket;

/// A settings document as the platform holds it; not read here.
struct SettingsDocument {
  Revision revision_;  ///< Invalid when no document is held.
  std::string text_;
};

/// Answer to `PeerLink::PullSettings`.
struct SettingsPulled {
  Address peer_;
  bool reached_ = false;  ///< False when the peer could not be asked.
  SettingsDocument document_;
};

/// What a `PeerLink` tells its owner. `Submit`, `CancelSubmission` and
/// `CallerGone` come from peers, with ids for which `IsPeerRequest` holds.
using PeerLinkEvent = std::variant<Submit, CancelSubmission, CallerGone,
                                   ForwardEnded, SettingsPulled>;

/// Whether a request was handed over by a peer. Its answer goes to
/// `PeerLink::On(const SendAnswer&)`. Other sources of requests keep the top
/// bit clear.
constexpr bool IsPeerRequest(RequestId request) {
  return (request.value_ >> 63) != 0;
}

/// Bounds of the links of one instance.
struct PeerLinkLimits {
  Duration connect_timeout_{250};  ///< Connect and hello together.
  Duration idle_close_{30000};     ///< For a link with nothing open.
  size_t max_buffered_bytes_ = 32 * 1024 * 1024;  ///< Unsent, all links.
  uint32_t max_forwards_ = 2048;                  ///< Unanswered, all links.
  uint32_t max_requests_per_link_ = 1024;  ///< Unanswered, from one peer.
  uint32_t max_accepted_ = 2 * config::kMaxPeers;
};

/// Counters since start.
struct PeerLinkStats {
  uint64_t links_opened_ = 0;
  uint64_t links_accepted_ = 0;
  uint64_t links_lost_ = 0;
  uint64_t forwards_ = 0;
  uint64_t forwards_not_handed_over_ = 0;
  uint64_t forwards_uncertain_ = 0;
  uint64_t hellos_refused_ = 0;
  uint64_t frames_malformed_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

/// TCP links between entry instances: submissions handed over, their answers,
/// and pulls of the settings document. Owns its sockets and timers on one
/// event loop. Events are delivered from the loop, never from within a call.
class PeerLink {
 public:
  using Handler = std::function<void(PeerLinkEvent event)>;

  /// @param self This run; `peer_address_` is set by `Listen`.
  PeerLink(event_base* base, const InstanceId& self, Handler handler,
           const PeerLinkLimits& limits = {});
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Binds and accepts. @returns the error of the bind.
  std::error_code Listen(const Address& address);

  /// Address with the port that the kernel chose.
  const Address& local() const;

  /// Address by which peers know this run, where it is not the bound one. Call
  /// after `Listen`.
  void Advertise(const Address& address);

  /// Live peers. Submissions are taken only from their hosts.
  void On(const PeersChanged& peers);

  /// Hands a submission over. Ends in exactly one `ForwardEnded`, unless
  /// `AbandonForward` comes first.
  void On(const ForwardSubmission& forward);
  void On(const AbandonForward& abandon);

  /// Answers a request of a peer; ignored when its link is gone.
  void On(const SendAnswer& answer);

  /// Asks a peer for its settings document. Ends in one `SettingsPulled`.
  /// @param peer An address that the platform or a seed named.
  void PullSettings(const Address& peer, Duration timeout);

  /// Document that is given to peers who ask.
  void SetSettings(SettingsDocument document);

  /// True when no forward and no peer's request is open and all is written.
  bool idle() const;

  const PeerLinkStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Binds both to one address; with port 0, to one port that is free for both.
std::error_code OpenPeerPort(const Address& address, PeerLink* link,
                             PeerSocket* socket);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_LINK_H_
