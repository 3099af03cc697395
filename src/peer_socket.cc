#include "peer_socket.h"

#include <unistd.h>

#include <array>
#include <cerrno>

#include "socket_address.h"

namespace gentiandeal {
namespace {

/// Maximum number of datagrams read before other events of the loop are
/// handled.
constexpr int kMaxDatagramsPerBatch = 64;

std::error_code LastError() { return {errno, std::system_category()}; }

}  // namespace

PeerSocket::PeerSocket(event_base* base, Handler handler)
    : base_(base), handler_(std::move(handler)) {}

PeerSocket::~PeerSocket() { Close(); }

std::error_code PeerSocket::Open(const Address& address) {
  SocketAddress bind_to;
  if (auto error = ToSocketAddress(address, &bind_to)) return error;
  const int family = bind_to.get()->sa_family;
  fd_ = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) return LastError();
  if (bind(fd_, bind_to.get(), bind_to.size_) != 0) {
    const std::error_code error = LastError();
    Close();
    return error;
  }
  if (auto error = LocalAddress(fd_, &local_)) return error;
  event_ = event_new(base_, fd_, EV_READ | EV_PERSIST, &OnReadable, this);
  if (event_ == nullptr || event_add(event_, nullptr) != 0) {
    Close();
    return std::make_error_code(std::errc::not_enough_memory);
  }
  return {};
}

void PeerSocket::Send(const Address& to, std::string_view bytes) {
  SocketAddress target;
  if (fd_ < 0 || ToSocketAddress(to, &target)) {
    ++send_errors_;
    return;
  }
  const ssize_t sent = sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                              target.get(), target.size_);
  if (sent != static_cast<ssize_t>(bytes.size())) ++send_errors_;
}

void PeerSocket::Close() {
  if (event_ != nullptr) event_free(event_);
  event_ = nullptr;
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void PeerSocket::OnReadable(evutil_socket_t /*fd*/, int16_t /*what*/,
                            void* self) {
  static_cast<PeerSocket*>(self)->ReadBatch();
}

void PeerSocket::ReadBatch() {
  // One byte more than allowed, so that an oversized datagram is recognised and
  // not truncated to a valid size.
  std::array<char, config::kMaxDatagramBytes + 1> buffer;
  for (int i = 0; i < kMaxDatagramsPerBatch && fd_ >= 0; ++i) {
    SocketAddress source;
    source.size_ = sizeof(source.storage_);
    const ssize_t size = recvfrom(fd_, buffer.data(), buffer.size(), 0,
                                  source.get(), &source.size_);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    Address from;
    if (size < 0 || FromSocketAddress(source, &from)) continue;
    handler_(from, {buffer.data(), static_cast<size_t>(size)});
  }
}

}  // namespace gentiandeal
