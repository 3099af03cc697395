#ifndef GENTIANDEAL_TESTS_UNIT_TEST_SOCKETS_H_
#define GENTIANDEAL_TESTS_UNIT_TEST_SOCKETS_H_

#include <arpa/inet.h>
#include <event2/event.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

#include "event_base.h"
#include "socket_address.h"

/// Plain sockets for tests that run an event loop on the same thread.
namespace gentiandeal {

/// Runs the loop until `done` returns true. @returns false after 5 s.
inline bool RunUntil(event_base* base, const std::function<bool()>& done) {
  const MonotonicClock clock;
  const Time limit = clock.Now() + Duration{5000};
  while (!done()) {
    if (clock.Now() > limit) return false;
    event_base_loop(base, EVLOOP_NONBLOCK);
  }
  return true;
}

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port_);
  inet_pton(AF_INET, address.host_.c_str(), &socket_address.sin_addr);
  return socket_address;
}

/// A connected or accepted socket with non-blocking reads.
class TestSocket {
 public:
  explicit TestSocket(int fd) : fd_(fd) {}
  explicit TestSocket(const Address& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in to = ToSockaddr(address);
    connected_ =
        connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
  }
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  int fd() const { return fd_; }
  bool connected() const { return connected_; }
  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }
  /// Whether the connection ended with an error such as a reset.
  bool reset() const { return reset_; }

  void Send(const std::string& text) {
    // Errors are ignored: a peer that rejects a request early may have closed
    // the connection. The tests check what it sent back.
    [[maybe_unused]] const ssize_t sent =
        send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  /// Reads all bytes that have arrived.
  void ReadAvailable() {
    char buffer[65536];
    while (!ended_) {
      const ssize_t count = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count > 0) {
        received_.append(buffer, static_cast<size_t>(count));
        continue;
      }
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      ended_ = true;
      reset_ = count < 0;
    }
  }

  void Clear() { received_.clear(); }

  /// Discards every segment that arrives from now on, as if the path was cut.
  bool DiscardArrivals() const {
    sock_filter discard[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    const sock_fprog program{1, discard};
    return setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
  }

  /// Closes the connection, with a TCP reset if `hard`.
  void Close(bool hard = false) {
    if (fd_ < 0) return;
    const linger abort{1, 0};
    if (hard) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd_);
    fd_ = -1;
    ended_ = true;
  }

 private:
  int fd_;
  bool connected_ = true;
  bool ended_ = false;
  bool reset_ = false;
  std::string received_;
};

/// A listening socket on a port chosen by the kernel.
class TestListener {
 public:
  TestListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const sockaddr_in any = ToSockaddr({"127.0.0.1", 0});
    const auto* generic = reinterpret_cast<const sockaddr*>(&any);
    ready_ = bind(fd_, generic, sizeof(any)) == 0 && listen(fd_, 16) == 0;
    LocalAddress(fd_, &address_);
  }
  ~TestListener() { Close(); }
  TestListener(const TestListener&) = delete;
  TestListener& operator=(const TestListener&) = delete;

  int fd() const { return fd_; }
  bool ready() const { return ready_; }
  const Address& address() const { return address_; }

  /// @returns an accepted socket, or null if none is pending.
  std::unique_ptr<TestSocket> Accept() {
    const int fd = accept(fd_, nullptr, nullptr);
    return fd < 0 ? nullptr : std::make_unique<TestSocket>(fd);
  }

  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  bool ready_ = false;
  Address address_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_UNIT_TEST_SOCKETS_H_
