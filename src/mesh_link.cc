#include "mesh_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <spdlog/spdlog.h>

#include <utility>

#include "load_report_interval.h"
#include "socket_address.h"
#include "wire_frame.h"

namespace gentiandeal {
namespace {

constexpr Duration kReconnectInterval{200};
/// A peer with more unsent bytes than this has stopped reading: its connection
/// is closed.
constexpr size_t kMaxUnsentBytes = 4 * 1024 * 1024;

}  // namespace

MeshLink::MeshLink(event_base* base, MeshHello self, LinkRate link_rate,
                   MeshEvents events)
    : base_(base),
      self_(std::move(self)),
      link_rate_(link_rate),
      events_(std::move(events)) {}

MeshLink::~MeshLink() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [key, link] : links_) bufferevent_free(link->socket_);
}

std::error_code MeshLink::Listen(const Address& address) {
  SocketAddress to;
  if (const auto error = ToSocketAddress(address, &to)) return error;
  listener_ = evconnlistener_new_bind(
      base_, &OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
      to.get(), static_cast<int>(to.size_));
  if (listener_ == nullptr) return {errno, std::generic_category()};
  return LocalAddress(evconnlistener_get_fd(listener_), &local_);
}

MeshLink::Link* MeshLink::Add(int fd, bool outgoing) {
  auto link = std::make_unique<Link>(clock_.Now());
  Link* added = link.get();
  added->mesh_ = this;
  added->outgoing_ = outgoing;
  added->socket_ = bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(added->socket_, &OnReadable, nullptr, &OnEvent, added);
  links_.emplace(added, std::move(link));
  return added;
}

void MeshLink::OnAccept(evconnlistener* /*listener*/, int fd,
                        sockaddr* /*from*/, int /*size*/, void* self) {
  auto* mesh = static_cast<MeshLink*>(self);
  Link* link = mesh->Add(fd, /*outgoing=*/false);
  SetTcpOptions(fd);
  link->session_ = {++mesh->last_session_};
  ++mesh->stats_.sessions_;
  bufferevent_enable(link->socket_, EV_READ | EV_WRITE);
}

void MeshLink::Connect(const InstanceRecord& peer, Time now) {
  retry_at_[peer.name_.value_] = now + kReconnectInterval;
  SocketAddress to;
  if (const auto error = ToSocketAddress(peer.peer_address_, &to)) {
    spdlog::warn("event=peer-address-unusable instance={} error={}",
                 peer.name_.value_, error.message());
    return;
  }
  Link* link = Add(-1, /*outgoing=*/true);
  link->peer_ = peer;
  owners_[peer.name_.value_] = link;
  // A failed connect is reported to `OnEvent`; an unanswered one ends at the
  // latest after `kSilenceTimeout`.
  if (bufferevent_socket_connect(link->socket_, to.get(),
                                 static_cast<int>(to.size_)) != 0) {
    return Drop(link);
  }
  bufferevent_enable(link->socket_, EV_READ | EV_WRITE);
}

void MeshLink::SetPeers(const std::vector<InstanceRecord>& peers) {
  std::map<std::string, InstanceRecord> next;
  for (const InstanceRecord& peer : peers) next[peer.name_.value_] = peer;
  std::vector<Link*> stale;
  for (const auto& [name, link] : owners_) {
    const auto found = next.find(name);
    if (found == next.end() ||
        found->second.incarnation_ != link->peer_.incarnation_) {
      stale.push_back(link);
    }
  }
  peers_ = std::move(next);
  for (Link* link : stale) {
    retry_at_.erase(link->peer_.name_.value_);
    Drop(link);
  }
}

void MeshLink::Write(Link* link, const EncodedFrame& frame) {
  ++stats_.frames_sent_[frame.kind_];
  stats_.bytes_sent_[frame.kind_] += frame.bytes_.size();
  bufferevent_write(link->socket_, frame.bytes_.data(), frame.bytes_.size());
}

void MeshLink::WriteHeartbeat(Link* link, Time now) {
  Write(link, EncodeMesh(link->liveness_.MakeHeartbeat(now)));
}

void MeshLink::WriteFrame(Link* link, const EncodedFrame& frame) {
  const Time now = clock_.Now();
  if (now - link->liveness_.sent_at() >= kMinHeartbeatInterval) {
    WriteHeartbeat(link, now);
  }
  Write(link, frame);
}

bool MeshLink::Send(const InstanceName& owner, const MeshFrame& frame) {
  const auto found = owners_.find(owner.value_);
  if (found == owners_.end() || !found->second->ready_) return false;
  WriteFrame(found->second, EncodeMesh(frame));
  return true;
}

void MeshLink::SendToSession(SessionId session, const MeshFrame& frame) {
  for (auto& [key, link] : links_) {
    if (link->outgoing_ || link->session_ != session) continue;
    WriteFrame(link.get(), EncodeMesh(frame));
    return;
  }
}

void MeshLink::SendLoad(const OwnerLoad& load) {
  load_ = load;
  const EncodedFrame frame = EncodeMesh(load);
  for (auto& [key, link] : links_) {
    if (!link->outgoing_ && link->ready_) WriteFrame(link.get(), frame);
  }
}

void MeshLink::ShareLoad(uint64_t version, Time now,
                         const std::function<OwnerLoad()>& load) {
  std::vector<Link*> receivers;
  LoadReportSessions sessions;
  for (auto& [key, link] : links_) {
    if (link->outgoing_ || !link->ready_) continue;
    receivers.push_back(link.get());
    ++(IsNear(*link) ? sessions.near_ : sessions.remote_);
  }
  EncodedFrame frame;
  for (Link* link : receivers) {
    const Duration interval = LoadReportInterval(
        sessions, static_cast<int64_t>(load_bytes_), link_rate_, IsNear(*link));
    if (link->load_version_ == version ||
        now - link->load_sent_at_ < interval) {
      continue;
    }
    if (frame.bytes_.empty()) {
      load_ = load();
      frame = EncodeMesh(load_);
      load_bytes_ = frame.bytes_.size();
    }
    link->load_version_ = version;
    link->load_sent_at_ = now;
    WriteFrame(link, frame);
  }
}

bool MeshLink::IsNear(const Link& link) const {
  return link.hello_.data_centre_ == self_.data_centre_;
}

void MeshLink::SendOpenJobs(const MeshOpenJobs& jobs) {
  const EncodedFrame frame = EncodeMesh(jobs);
  for (auto& [name, link] : owners_) {
    if (link->ready_) WriteFrame(link, frame);
  }
}

void MeshLink::RelayOpenJobs(const MeshOpenJobs& jobs) {
  SendToNearSessions(EncodeMesh(jobs));
}

void MeshLink::SendToNearSessions(const EncodedFrame& frame) {
  for (auto& [key, link] : links_) {
    if (!link->outgoing_ && link->ready_ && IsNear(*link)) {
      WriteFrame(link.get(), frame);
    }
  }
}

void MeshLink::SendTaskLosses(const MeshTaskLosses& losses) {
  const EncodedFrame frame = EncodeMesh(losses);
  for (auto& [key, link] : links_) {
    if (link->ready_) WriteFrame(link.get(), frame);
  }
}

void MeshLink::RelayTaskLosses(const MeshTaskLosses& losses) {
  SendToNearSessions(EncodeMesh(losses));
}

bool MeshLink::SendToPeer(const InstanceName& peer, const MeshFrame& frame) {
  if (Send(peer, frame)) return true;
  for (auto& [key, link] : links_) {
    if (link->outgoing_ || !link->ready_ || link->hello_.name_ != peer) {
      continue;
    }
    WriteFrame(link.get(), EncodeMesh(frame));
    return true;
  }
  return false;
}

bool MeshLink::SendToNearOwners(const MeshFrame& frame) {
  const EncodedFrame encoded = EncodeMesh(frame);
  bool sent = false;
  for (auto& [name, link] : owners_) {
    if (!link->ready_ || !IsNear(*link)) continue;
    WriteFrame(link, encoded);
    sent = true;
  }
  return sent;
}

void MeshLink::Drop(Link* link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const std::unique_ptr<Link> owned = std::move(found->second);
  links_.erase(found);
  bufferevent_free(owned->socket_);
  const Duration silence = clock_.Now() - owned->liveness_.alive_at();
  if (!owned->outgoing_) {
    if (owned->ready_) events_.session_ended_(owned->session_, silence);
    return;
  }
  const auto current = owners_.find(owned->peer_.name_.value_);
  if (current != owners_.end() && current->second == link) {
    owners_.erase(current);
  }
  if (!owned->ready_) return;
  ++stats_.links_lost_;
  events_.owner_lost_(owned->peer_.name_, silence);
}

void MeshLink::OnEvent(bufferevent* socket, short event_flags, void* arg) {
  auto* link = static_cast<Link*>(arg);
  if ((event_flags & BEV_EVENT_CONNECTED) != 0) {
    SetTcpOptions(bufferevent_getfd(socket));
    link->mesh_->Write(link, EncodeMesh(link->mesh_->self_));
    return;
  }
  if ((event_flags & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) !=
      0) {
    link->mesh_->Drop(link);
  }
}

void MeshLink::OnReadable(bufferevent* /*socket*/, void* arg) {
  auto* link = static_cast<Link*>(arg);
  MeshLink* mesh = link->mesh_;
  mesh->Read(link);  // May free the link.
  mesh->events_.frames_read_();
}

void MeshLink::Read(Link* link) {
  evbuffer* input = bufferevent_get_input(link->socket_);
  while (evbuffer_get_length(input) >= kFrameLengthBytes) {
    char head[kFrameLengthBytes];
    evbuffer_copyout(input, head, kFrameLengthBytes);
    size_t size = 0;
    const size_t max =
        link->ready_ ? config::kMaxMeshFrameBytes : config::kMaxHelloFrameBytes;
    if (!DecodeFrameLength({head, kFrameLengthBytes}, &size, max)) {
      return DropMalformed(link);
    }
    if (evbuffer_get_length(input) < kFrameLengthBytes + size) return;
    evbuffer_drain(input, kFrameLengthBytes);
    std::string bytes(size, '\0');
    evbuffer_remove(input, bytes.data(), size);
    MeshFrame frame;
    if (!DecodeMesh(bytes, &frame) || !Handle(link, frame)) {
      return DropMalformed(link);
    }
    if (links_.count(link) == 0) return;
  }
}

// Returns false for a frame that isn't allowed on this link or before the
// hello.
bool MeshLink::Handle(Link* link, const MeshFrame& frame) {
  if (const auto* hello = std::get_if<MeshHello>(&frame)) {
    link->hello_ = *hello;
    if (!link->outgoing_) {
      link->ready_ = true;
      Write(link, EncodeMesh(self_));
      WriteFrame(link, EncodeMesh(load_));
      events_.session_started_(link->session_, hello->name_);
      return true;
    }
    if (hello->incarnation_ != link->peer_.incarnation_) return false;
    link->ready_ = true;
    ++stats_.links_opened_;
    return true;
  }
  if (!link->ready_) return false;
  if (const auto* heartbeat = std::get_if<MeshHeartbeat>(&frame)) {
    const bool later = link->liveness_.On(*heartbeat, clock_.Now());
    if (later && !link->outgoing_) {
      events_.session_alive_(link->session_, link->liveness_.alive_at());
    }
    return true;
  }
  if (const auto* jobs = std::get_if<MeshOpenJobs>(&frame)) {
    events_.open_jobs_(*jobs, /*relayed=*/link->outgoing_);
    return true;
  }
  if (const auto* losses = std::get_if<MeshTaskLosses>(&frame)) {
    events_.task_losses_(*losses, /*relayed=*/link->outgoing_);
    return true;
  }
  if (const auto* recall = std::get_if<MeshRecallJob>(&frame)) {
    events_.recall_(*recall);
    return true;
  }
  if (link->outgoing_) {
    if (const auto* load = std::get_if<OwnerLoad>(&frame)) {
      events_.owner_load_(link->peer_.name_, link->hello_.data_centre_, *load);
      return true;
    }
    if (const auto* refused = std::get_if<BatchRefused>(&frame)) {
      events_.batch_refused_(link->peer_.name_, *refused);
      return true;
    }
    const auto* ended = std::get_if<MeshTasksEnded>(&frame);
    if (ended == nullptr) return false;
    for (const TaskEnded& task : ended->ended_) {
      events_.task_ended_(link->peer_.name_, task);
    }
    return true;
  }
  if (const auto* assign = std::get_if<AssignTasks>(&frame)) {
    events_.assign_(link->session_, *assign);
    return true;
  }
  const auto* cancel = std::get_if<CancelTasks>(&frame);
  if (cancel == nullptr) return false;
  events_.cancel_(link->session_, *cancel);
  return true;
}

void MeshLink::DropMalformed(Link* link) {
  ++stats_.frames_malformed_;
  spdlog::warn("event=frame-malformed peer={}", link->hello_.name_.value_);
  Drop(link);
}

void MeshLink::Tick(Time now) {
  std::vector<Link*> lost;
  for (auto& [key, link] : links_) {
    const size_t unsent =
        evbuffer_get_length(bufferevent_get_output(link->socket_));
    link->liveness_.EchoReceived();
    if (now - link->liveness_.alive_at() > kSilenceTimeout ||
        unsent > kMaxUnsentBytes) {
      lost.push_back(link.get());
    } else if (link->ready_ &&
               now - link->liveness_.sent_at() >= kHeartbeatInterval) {
      WriteHeartbeat(link.get(), now);
    }
  }
  for (Link* link : lost) Drop(link);
  for (const auto& [name, peer] : peers_) {
    if (owners_.count(name) == 0 && now >= retry_at_[name]) Connect(peer, now);
  }
}

void MeshLink::DropAll() {
  std::vector<Link*> all;
  for (auto& [key, link] : links_) all.push_back(link.get());
  for (Link* link : all) Drop(link);
}

}  // namespace gentiandeal
