#include "peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <set>
#include <unordered_map>

#include "peer_link_state.h"
#include "peer_socket.h"
#include "peer_wire.h"
#include "socket_address.h"
#include "wire_frame.h"

namespace gentiandeal {
namespace {

constexpr timeval kTimerInterval{0, 20 * 1000};
constexpr int kListenBacklog = 128;
/// Largest frame accepted before the hello is accepted, in bytes.
constexpr size_t kMaxHelloBytes = 512;
/// Accepted links have this many times the idle timeout of outgoing ones: the
/// side that connected closes first, so no frame is in transit at that moment.
constexpr int64_t kAcceptedIdleFactor = 4;
/// Attempts to find a port that is free for both TCP and UDP.
constexpr int kMaxPortTries = 16;
constexpr uint64_t kPeerRequestBit = uint64_t{1} << 63;

}  // namespace

class PeerLink::Impl {
 public:
  Impl(event_base* base, const InstanceId& self, Handler handler,
       const PeerLinkLimits& limits)
      : base_(base),
        self_(self),
        handler_(std::move(handler)),
        limits_(limits) {
    timer_ = event_new(base_, -1, EV_PERSIST, &Impl::OnTimer, this);
    event_flush_ = event_new(base_, -1, 0, &Impl::OnEventFlush, this);
    event_add(timer_, &kTimerInterval);
  }

  ~Impl() {
    if (listener_ != nullptr) evconnlistener_free(listener_);
    event_free(timer_);
    event_free(event_flush_);
    links_.clear_and_dispose([this](LinkState* link) { Free(link); });
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::error_code Listen(const Address& address) {
    SocketAddress bind_to;
    if (auto error = ToSocketAddress(address, &bind_to)) return error;
    if (listener_ != nullptr) evconnlistener_free(listener_);
    listener_ = evconnlistener_new_bind(
        base_, &Impl::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        kListenBacklog, bind_to.get(), static_cast<int>(bind_to.size_));
    if (listener_ == nullptr) return {errno, std::system_category()};
    const auto error = LocalAddress(evconnlistener_get_fd(listener_), &bound_);
    self_.peer_address_ = bound_;
    return error;
  }

  const Address& local() const { return bound_; }

  void Advertise(const Address& address) { self_.peer_address_ = address; }

  void On(const PeersChanged& changed) {
    peers_.clear();
    for (const PeerView& peer : changed.peers_) {
      peers_[peer.id_.peer_address_] = peer.id_.incarnation_;
    }
  }

  void On(const ForwardSubmission& forward) {
    ++stats_.forwards_;
    const auto peer = peers_.find(forward.peer_.peer_address_);
    const bool known =
        peer != peers_.end() && peer->second == forward.peer_.incarnation_;
    if (!known) return FailUnsent(forward.forward_, Errc::kOwnerUnreachable);
    if (forwards_.size() >= limits_.max_forwards_) {
      return FailUnsent(forward.forward_, Errc::kQueueFull);
    }
    std::string frame = EncodeSubmit(forward);
    if (frame.size() - kFrameLengthBytes > config::kMaxFrameBytes) {
      return FailUnsent(forward.forward_, Errc::kBodyTooLarge);
    }
    if (buffered_ + frame.size() > limits_.max_buffered_bytes_) {
      return FailUnsent(forward.forward_, Errc::kQueueFull);
    }
    LinkState* link = FindOrConnect(peer->first, peer->second);
    if (link == nullptr) {
      return FailUnsent(forward.forward_, Errc::kOwnerUnreachable);
    }
    OpenForward& entry = forwards_[forward.forward_.value_];
    entry.link_ = link;
    entry.deadline_ = clock_.Now() + forward.timeout_;
    forward_deadlines_.emplace(entry.deadline_, forward.forward_.value_);
    link->forwards_.insert(forward.forward_.value_);
    buffered_ += frame.size();
    entry.frame_ = std::move(frame);
    if (link->ready_) {
      WriteForward(&entry);
    } else {
      link->awaiting_hello_.push_back(forward.forward_);
    }
  }

  void On(const CancelForward& cancel) {
    const auto found = forwards_.find(cancel.forward_.value_);
    if (found == forwards_.end()) return;
    LinkState* link = found->second.link_;
    const bool sent = found->second.stream_offset_ != kNotInStream;
    EraseForward(found);
    if (sent) Write(link, EncodeFrame(CancelForwardFrame{cancel.forward_}));
  }

  void On(const SendAnswer& message) {
    const auto found = requests_.find(message.request_.value_);
    if (found == requests_.end()) return;
    const PeerRequest request = found->second;
    requests_.erase(found);
    request.link_->requests_.erase(request.forward_.value_);
    WriteAnswer(request.link_, request.forward_, *message.answer_);
  }

  void PullSettings(const Address& peer, Duration timeout) {
    LinkState* link = FindOrConnect(peer, Incarnation());
    if (link == nullptr) return QueueEvent(SettingsPulled{peer, false, {}});
    link->pull_deadlines_.insert(clock_.Now() + timeout);
    if (link->ready_) Write(link, EncodeFrame(PullSettingsFrame{}));
  }

  void SetSettings(SettingsDocument document) {
    document_ = std::move(document);
  }

  bool idle() const {
    return forwards_.empty() && requests_.empty() && buffered_ == 0 &&
           events_.empty();
  }

  const PeerLinkStats& stats() const { return stats_; }

 private:
  using ForwardMap = std::unordered_map<uint64_t, OpenForward>;

  // Events.

  void QueueEvent(PeerLinkEvent event) {
    events_.push_back(std::move(event));
    event_active(event_flush_, 0, 0);
  }

  static void OnEventFlush(evutil_socket_t /*fd*/, int16_t /*what*/,
                           void* self) {
    auto* impl = static_cast<Impl*>(self);
    std::vector<PeerLinkEvent> events;
    events.swap(impl->events_);
    for (PeerLinkEvent& event : events) impl->handler_(std::move(event));
  }

  void FailUnsent(ForwardId forward, Errc error) {
    ++stats_.forwards_not_sent_;
    QueueEvent(ForwardEnded{forward, false, MakeNotRunAnswer(error)});
  }

  void FailUncertain(ForwardId forward) {
    ++stats_.forwards_uncertain_;
    QueueEvent(ForwardEnded{forward, true, MakeUncertainAnswer()});
  }

  void EraseForward(ForwardMap::iterator found) {
    OpenForward& forward = found->second;
    if (forward.stream_offset_ == kNotInStream) {
      buffered_ -= forward.frame_.size();
      std::erase(forward.link_->awaiting_hello_, ForwardId{found->first});
    }
    forward.link_->forwards_.erase(found->first);
    forward_deadlines_.erase({forward.deadline_, found->first});
    forwards_.erase(found);
  }

  // Connections.

  LinkState* FindOrConnect(const Address& address, Incarnation expected) {
    for (LinkState& link : links_) {
      if (link.outgoing_ && !link.closing_ && link.remote_ == address &&
          link.expected_ == expected) {
        link.last_used_ = clock_.Now();
        return &link;
      }
    }
    SocketAddress target_address;
    if (ToSocketAddress(address, &target_address)) return nullptr;
    const evutil_socket_t fd = CreateBoundSocket();
    LinkState* link = Add(fd);
    if (link == nullptr) {
      if (fd >= 0) evutil_closesocket(fd);
      return nullptr;
    }
    link->outgoing_ = true;
    link->remote_ = address;
    link->expected_ = expected;
    if (bufferevent_socket_connect(link->buffer_, target_address.get(),
                                   static_cast<int>(target_address.size_)) !=
        0) {
      Remove(link);
      return nullptr;
    }
    return link;
  }

  /// Creates a socket bound to the address this instance listens on, as peers
  /// accept submissions only from the hosts of live peers. @returns -1 if that
  /// fails: any source address is used then.
  evutil_socket_t CreateBoundSocket() const {
    SocketAddress own_address;
    if (ToSocketAddress({bound_.host_, 0}, &own_address)) return -1;
    const int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    const int fd = socket(own_address.get()->sa_family, type, 0);
    if (fd >= 0 && bind(fd, own_address.get(), own_address.size_) != 0) {
      evutil_closesocket(fd);
      return -1;
    }
    return fd;
  }

  LinkState* Add(evutil_socket_t fd) {
    bufferevent* buffer =
        bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE);
    if (buffer == nullptr) return nullptr;
    auto* link = new LinkState;
    link->buffer_ = buffer;
    link->owner_ = this;
    link->last_used_ = clock_.Now();
    link->hello_deadline_ = link->last_used_ + limits_.connect_timeout_;
    bufferevent_setcb(buffer, &Impl::OnRead, nullptr, &Impl::OnConnectionEvent,
                      link);
    bufferevent_setwatermark(buffer, EV_READ, 0,
                             config::kMaxFrameBytes + kFrameLengthBytes);
    evbuffer_add_cb(bufferevent_get_output(buffer), &Impl::OnOutput, link);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
    links_.push_back(*link);
    return link;
  }

  /// Frees a link that was already removed from `links_`.
  void Free(LinkState* link) {
    buffered_ -= link->bytes_queued_ - link->bytes_written_;
    evbuffer_remove_cb(bufferevent_get_output(link->buffer_), &Impl::OnOutput,
                       link);
    bufferevent_free(link->buffer_);
    delete link;
  }

  void Remove(LinkState* link) {
    links_.erase(links_.iterator_to(*link));
    if (!link->outgoing_) --accepted_;
    Free(link);
  }

  /// Removes a lost link and ends what was pending on it. A forward counts as
  /// not sent only if the kernel took none of its bytes; otherwise its outcome
  /// is uncertain.
  void CloseLost(LinkState* link) {
    ++stats_.links_lost_;
    while (!link->forwards_.empty()) {
      const ForwardId id{*link->forwards_.begin()};
      const auto found = forwards_.find(id.value_);
      const uint64_t start = found->second.stream_offset_;
      EraseForward(found);
      if (start == kNotInStream || link->bytes_written_ <= start) {
        FailUnsent(id, Errc::kOwnerUnreachable);
      } else {
        FailUncertain(id);
      }
    }
    for (size_t i = 0; i < link->pull_deadlines_.size(); ++i) {
      QueueEvent(SettingsPulled{link->remote_, false, {}});
    }
    for (const auto& [forward, request] : link->requests_) {
      requests_.erase(request.value_);
      QueueEvent(CallerDisconnected{request});
    }
    Remove(link);
  }

  void Write(LinkState* link, const std::string& bytes) {
    link->bytes_queued_ += bytes.size();
    buffered_ += bytes.size();
    link->last_used_ = clock_.Now();
    stats_.bytes_sent_ += bytes.size();
    bufferevent_write(link->buffer_, bytes.data(), bytes.size());
  }

  void WriteForward(OpenForward* forward) {
    forward->stream_offset_ = forward->link_->bytes_queued_;
    buffered_ -= forward->frame_.size();
    Write(forward->link_, forward->frame_);
    forward->frame_ = std::string();
  }

  /// Writes an answer, or closes the link if the peer has stopped reading.
  void WriteAnswer(LinkState* link, ForwardId forward,
                   const JobAnswer& answer) {
    std::string frame = EncodeAnswer(forward, answer);
    if (frame.size() - kFrameLengthBytes > config::kMaxFrameBytes) {
      frame = EncodeAnswer(forward, MakeTooLargeAnswer(answer));
    }
    const uint64_t unsent = link->bytes_queued_ - link->bytes_written_;
    if (unsent > limits_.max_buffered_bytes_) return CloseLost(link);
    Write(link, frame);
  }

  static void OnOutput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                       void* link) {
    auto* self = static_cast<LinkState*>(link);
    self->bytes_written_ += info->n_deleted;
    static_cast<Impl*>(self->owner_)->buffered_ -= info->n_deleted;
  }

  static void OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                       sockaddr* from, int size, void* self) {
    auto* impl = static_cast<Impl*>(self);
    SocketAddress source;
    std::copy_n(reinterpret_cast<const char*>(from), size,
                reinterpret_cast<char*>(&source.storage_));
    LinkState* link = nullptr;
    Address remote;
    if (impl->accepted_ < impl->limits_.max_accepted_ &&
        !FromSocketAddress(source, &remote)) {
      link = impl->Add(fd);
    }
    if (link == nullptr) {
      evutil_closesocket(fd);
      return;
    }
    ++impl->accepted_;
    ++impl->stats_.links_accepted_;
    SetTcpOptions(fd);
    link->remote_ = remote;
  }

  static void OnConnectionEvent(bufferevent* /*buffer*/, int16_t event_flags,
                                void* context) {
    auto* link = static_cast<LinkState*>(context);
    auto* impl = static_cast<Impl*>(link->owner_);
    if ((event_flags & BEV_EVENT_CONNECTED) == 0) return impl->CloseLost(link);
    ++impl->stats_.links_opened_;
    SetTcpOptions(bufferevent_getfd(link->buffer_));
    impl->Write(link, EncodeFrame(HelloFrame{impl->self_, link->expected_}));
  }

  // Frames.

  static void OnRead(bufferevent* buffer, void* context) {
    auto* link = static_cast<LinkState*>(context);
    auto* impl = static_cast<Impl*>(link->owner_);
    evbuffer* input = bufferevent_get_input(buffer);
    while (impl->ReadFrame(link, input)) {
    }
  }

  /// Reads and handles one frame. @returns false if none is complete or the
  /// link was closed.
  bool ReadFrame(LinkState* link, evbuffer* input) {
    char head[kFrameLengthBytes];
    if (evbuffer_copyout(input, head, sizeof(head)) !=
        static_cast<ev_ssize_t>(sizeof(head))) {
      return false;
    }
    size_t size = 0;
    if (!DecodeFrameLength({head, sizeof(head)}, &size) ||
        (!link->ready_ && size > kMaxHelloBytes)) {
      return CloseMalformed(link);
    }
    const size_t frame_bytes = kFrameLengthBytes + size;
    if (evbuffer_get_length(input) < frame_bytes) return false;
    const unsigned char* bytes =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(frame_bytes));
    Frame frame;
    const bool decoded = DecodeFrame(
        {reinterpret_cast<const char*>(bytes) + kFrameLengthBytes, size},
        &frame);
    evbuffer_drain(input, frame_bytes);
    stats_.bytes_received_ += frame_bytes;
    if (!decoded) return CloseMalformed(link);
    link->last_used_ = clock_.Now();
    return std::visit([&](auto& body) { return Handle(link, body); }, frame);
  }

  bool CloseMalformed(LinkState* link) {
    ++stats_.frames_malformed_;
    CloseLost(link);
    return false;
  }

  // Each `Handle` returns false if the link was closed.

  bool Handle(LinkState* link, const HelloFrame& hello) {
    if (link->outgoing_ || link->ready_) return CloseMalformed(link);
    const Address& claimed_address = hello.self_.peer_address_;
    const bool any_incarnation = !hello.expected_.valid();
    const bool known = claimed_address.host_ == link->remote_.host_ &&
                       peers_.find(claimed_address) != peers_.end();
    const bool accepted =
        any_incarnation || (hello.expected_ == self_.incarnation_ && known);
    if (!accepted) ++stats_.hellos_rejected_;
    link->ready_ = accepted;
    link->may_submit_ = accepted && !any_incarnation;
    Write(link, EncodeFrame(HelloReplyFrame{self_, accepted}));
    return true;
  }

  bool Handle(LinkState* link, const HelloReplyFrame& reply) {
    if (!link->outgoing_ || link->ready_) return CloseMalformed(link);
    const bool same_incarnation =
        !link->expected_.valid() || reply.self_.incarnation_ == link->expected_;
    if (!reply.accepted_ || !same_incarnation) {
      CloseLost(link);
      return false;
    }
    link->ready_ = true;
    std::vector<ForwardId> waiting;
    waiting.swap(link->awaiting_hello_);
    for (const ForwardId id : waiting) {
      WriteForward(&forwards_.find(id.value_)->second);
    }
    for (size_t i = 0; i < link->pull_deadlines_.size(); ++i) {
      Write(link, EncodeFrame(PullSettingsFrame{}));
    }
    return true;
  }

  bool Handle(LinkState* link, SubmitFrame& submit) {
    const bool is_new = link->requests_.count(submit.forward_.value_) == 0;
    if (!link->may_submit_ || !submit.forward_.valid() || !is_new ||
        (submit.cancel_ && !submit.submission_)) {
      return CloseMalformed(link);
    }
    if (link->requests_.size() >= limits_.max_requests_per_link_) {
      Write(link,
            EncodeAnswer(submit.forward_, MakeNotRunAnswer(Errc::kQueueFull)));
      return true;
    }
    const RequestId request{kPeerRequestBit | ++last_request_};
    link->requests_[submit.forward_.value_] = request;
    requests_[request.value_] = {link, submit.forward_};
    if (submit.cancel_) {
      QueueEvent(CancelSubmission{request, *submit.submission_, true});
    } else {
      QueueEvent(Submit{request, submit.submission_, true,
                        submit.remote_execution_, std::move(submit.job_)});
    }
    return true;
  }

  bool Handle(LinkState* link, const CancelForwardFrame& cancel) {
    if (!link->may_submit_) return CloseMalformed(link);
    const auto found = link->requests_.find(cancel.forward_.value_);
    if (found == link->requests_.end()) return true;
    requests_.erase(found->second.value_);
    QueueEvent(CallerDisconnected{found->second});
    link->requests_.erase(found);
    return true;
  }

  bool Handle(LinkState* link, AnswerFrame& answer) {
    if (!link->outgoing_ || !link->ready_) return CloseMalformed(link);
    const auto found = forwards_.find(answer.forward_.value_);
    if (found == forwards_.end() || found->second.link_ != link) return true;
    EraseForward(found);
    QueueEvent(ForwardEnded{answer.forward_, true, std::move(answer.answer_)});
    return true;
  }

  bool Handle(LinkState* link, const PullSettingsFrame& /*pull*/) {
    // The peer has to read one document before it requests the next: this
    // bounds the bytes buffered for it.
    const bool busy = link->bytes_queued_ != link->bytes_written_;
    if (link->outgoing_ || !link->ready_ || busy) return CloseMalformed(link);
    Write(link,
          EncodeFrame(SettingsFrame{document_.revision_, document_.text_}));
    return true;
  }

  bool Handle(LinkState* link, SettingsFrame& settings) {
    if (link->pull_deadlines_.empty()) return CloseMalformed(link);
    link->pull_deadlines_.erase(link->pull_deadlines_.begin());
    QueueEvent(
        SettingsPulled{link->remote_,
                       true,
                       {settings.revision_, std::move(settings.document_)}});
    return true;
  }

  // Timeouts.

  static void OnTimer(evutil_socket_t /*fd*/, int16_t /*what*/, void* self) {
    auto* impl = static_cast<Impl*>(self);
    const Time now = impl->clock_.Now();
    impl->FailOverdueForwards(now);
    impl->CloseOverdueAndIdle(now);
  }

  void FailOverdueForwards(Time now) {
    while (!forward_deadlines_.empty() &&
           forward_deadlines_.begin()->first <= now) {
      const ForwardId id{forward_deadlines_.begin()->second};
      const auto found = forwards_.find(id.value_);
      LinkState* link = found->second.link_;
      const bool queued = found->second.stream_offset_ != kNotInStream;
      EraseForward(found);
      if (!queued) {
        FailUnsent(id, Errc::kOwnerUnreachable);
        continue;
      }
      // Bytes of the forward may still be sent, so the peer is told to cancel
      // it.
      link->closing_ = true;
      Write(link, EncodeFrame(CancelForwardFrame{id}));
      FailUncertain(id);
    }
  }

  void CloseOverdueAndIdle(Time now) {
    for (auto entry = links_.begin(); entry != links_.end();) {
      LinkState* link = &*entry++;
      const bool pull_overdue = !link->pull_deadlines_.empty() &&
                                *link->pull_deadlines_.begin() <= now;
      const bool hello_overdue = !link->ready_ && now > link->hello_deadline_;
      const bool has_pending = !link->forwards_.empty() ||
                               !link->requests_.empty() ||
                               !link->pull_deadlines_.empty();
      const int64_t factor = link->outgoing_ ? 1 : kAcceptedIdleFactor;
      const Time idle_end =
          link->last_used_ + Duration{limits_.idle_close_.ms_ * factor};
      if (pull_overdue || hello_overdue) {
        CloseLost(link);
      } else if (!has_pending && (link->closing_ || now > idle_end)) {
        Remove(link);
      }
    }
  }

  event_base* base_;
  InstanceId self_;
  Address bound_;  ///< Where this instance listens.
  Handler handler_;
  PeerLinkLimits limits_;
  PeerLinkStats stats_;
  MonotonicClock clock_;
  event* timer_ = nullptr;
  event* event_flush_ = nullptr;
  evconnlistener* listener_ = nullptr;
  std::map<Address, Incarnation> peers_;
  boost::intrusive::list<LinkState> links_;
  size_t accepted_ = 0;
  size_t buffered_ = 0;  ///< Bytes of all links not yet taken by the kernel.
  ForwardMap forwards_;
  std::set<std::pair<Time, uint64_t>> forward_deadlines_;
  std::unordered_map<uint64_t, PeerRequest> requests_;
  uint64_t last_request_ = 0;
  SettingsDocument document_;
  std::vector<PeerLinkEvent> events_;
};

PeerLink::PeerLink(event_base* base, const InstanceId& self, Handler handler,
                   const PeerLinkLimits& limits)
    : impl_(std::make_unique<Impl>(base, self, std::move(handler), limits)) {}
PeerLink::~PeerLink() = default;

std::error_code PeerLink::Listen(const Address& address) {
  return impl_->Listen(address);
}
const Address& PeerLink::local() const { return impl_->local(); }
void PeerLink::Advertise(const Address& address) { impl_->Advertise(address); }
void PeerLink::On(const PeersChanged& peers) { impl_->On(peers); }
void PeerLink::On(const ForwardSubmission& forward) { impl_->On(forward); }
void PeerLink::On(const CancelForward& cancel) { impl_->On(cancel); }
void PeerLink::On(const SendAnswer& answer) { impl_->On(answer); }
void PeerLink::PullSettings(const Address& peer, Duration timeout) {
  impl_->PullSettings(peer, timeout);
}
void PeerLink::SetSettings(SettingsDocument document) {
  impl_->SetSettings(std::move(document));
}
bool PeerLink::idle() const { return impl_->idle(); }
const PeerLinkStats& PeerLink::stats() const { return impl_->stats(); }

std::error_code OpenPeerPort(const Address& address, PeerLink* link,
                             PeerSocket* socket) {
  std::error_code error;
  const int tries = address.port_ == 0 ? kMaxPortTries : 1;
  for (int i = 0; i < tries; ++i) {
    error = link->Listen(address);
    if (error) return error;
    error = socket->Open(link->local());
    if (!error) return {};
  }
  return error;
}

}  // namespace gentiandeal
