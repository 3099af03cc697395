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

/// A settings document as stored on the platform; passed on without parsing.
struct SettingsDocument {
  Revision revision_;  ///< Invalid if there is no document.
  std::string text_;
};

/// Answer to `PeerLink::PullSettings`.
struct SettingsPulled {
  Address peer_;
  bool answered_ = false;  ///< False on a failed connection or a timeout.
  SettingsDocument document_;
};

/// Events of a `PeerLink`. `Submit`, `CancelSubmission` and
/// `CallerDisconnected` come from peers; `IsPeerRequest` holds for their
/// request ids.
using PeerLinkEvent = std::variant<Submit, CancelSubmission, CallerDisconnected,
                                   ForwardEnded, SettingsPulled>;

/// Whether a request was forwarded by a peer. Its answer goes to
/// `PeerLink::On(const SendAnswer&)`. Other sources of requests leave the top
/// bit of their ids clear.
constexpr bool IsPeerRequest(RequestId request) {
  return (request.value_ >> 63) != 0;
}

/// Limits of the links of one instance.
struct PeerLinkLimits {
  Duration connect_timeout_{250};  ///< From connect to the hello's answer.
  Duration idle_close_{30000};     ///< Of a link with nothing pending.
  size_t max_buffered_bytes_ = 32 * 1024 * 1024;  ///< Unsent, all links.
  uint32_t max_forwards_ = 2048;                  ///< Unanswered, all links.
  uint32_t max_requests_per_link_ = 1024;  ///< Unanswered, from one peer.
  uint32_t max_accepted_ = 2 * config::kMaxPeers;  ///< Accepted links.
};

/// Counters since start.
struct PeerLinkStats {
  uint64_t links_opened_ = 0;
  uint64_t links_accepted_ = 0;
  uint64_t links_lost_ = 0;
  uint64_t forwards_ = 0;
  uint64_t forwards_not_sent_ = 0;
  uint64_t forwards_uncertain_ = 0;
  uint64_t hellos_rejected_ = 0;
  uint64_t frames_malformed_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

/// TCP connections to and from other instances. They carry forwarded
/// submissions, their answers, and requests for the settings document. Owns its
/// sockets and timers on one event loop. Events are delivered from the event
/// loop, never from within a call.
class PeerLink {
 public:
  using Handler = std::function<void(PeerLinkEvent event)>;

  /// @param self This incarnation of the instance; `Listen` sets its
  /// `peer_address_`.
  PeerLink(event_base* base, const InstanceId& self, Handler handler,
           const PeerLinkLimits& limits = {});
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Binds and starts to accept. @returns the error of the bind.
  std::error_code Listen(const Address& address);

  /// Bound address, with the port chosen by the kernel if 0 was asked for.
  const Address& local() const;

  /// Sets the address that peers connect to, if it isn't the bound one. Call
  /// after `Listen`.
  void Advertise(const Address& address);

  /// Sets the live peers. Submissions are accepted only from their hosts.
  void On(const PeersChanged& peers);

  /// Forwards a submission. Ends in exactly one `ForwardEnded`, unless
  /// `CancelForward` comes first.
  void On(const ForwardSubmission& forward);
  void On(const CancelForward& cancel);

  /// Answers a request of a peer; ignored if its link was closed.
  void On(const SendAnswer& answer);

  /// Requests a peer's settings document. Ends in one `SettingsPulled`.
  /// @param peer An address from the platform's list or of a seed.
  void PullSettings(const Address& peer, Duration timeout);

  /// Sets the document that peers get on request.
  void SetSettings(SettingsDocument document);

  /// True if no forward and no peer's request is unanswered, and all bytes are
  /// written and all events delivered.
  bool idle() const;

  const PeerLinkStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Binds the TCP listener and the UDP socket to one address; with port 0, to a
/// port that is free for both.
std::error_code OpenPeerPort(const Address& address, PeerLink* link,
                             PeerSocket* socket);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_LINK_H_
