#ifndef GENTIANDEAL_TESTS_PROCESS_KEPT_CALLER_H_
#define GENTIANDEAL_TESTS_PROCESS_KEPT_CALLER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <string>

#include "http_client.h"
#include "socket_address.h"

namespace gentiandeal::process {

inline std::string ToText(const HttpRequest& request) {
  std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.fields_) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(request.body_.size()) +
         "\r\n\r\n" + request.body_;
}

/// A caller's connection that is kept for one request after the other. Nothing
/// blocks but the connecting.
class KeptCaller {
 public:
  explicit KeptCaller(const Address& to)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    SocketAddress address;
    ended_ = static_cast<bool>(ToSocketAddress(to, &address)) ||
             connect(fd_, address.get(), address.size_) != 0;
  }
  ~KeptCaller() { close(fd_); }
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  /// Sends the bytes of a request, or of a part of it.
  void Send(const std::string& bytes) {
    received_.clear();
    status_ = 0;
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  /// Reads what has arrived. @returns whether the request that was sent last is
  /// answered, or the connection has ended.
  bool Read() {
    char bytes[4096];
    while (!ended_) {
      const ssize_t got = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      ended_ = got <= 0;
      if (!ended_) received_.append(bytes, static_cast<size_t>(got));
    }
    if (status_ == 0 && IsWhole()) {
      status_ = std::atoi(received_.c_str() + kStatusAt);
    }
    return status_ != 0 || ended_;
  }

  /// Status of the whole answer to the request that was sent last, or 0.
  int status() const { return status_; }
  /// Whether the other side has ended the connection.
  bool ended() const { return ended_; }

 private:
  static constexpr size_t kStatusAt = sizeof("HTTP/1.1");

  bool IsWhole() const {
    constexpr char kLength[] = "Content-Length: ";
    const size_t end = received_.find("\r\n\r\n");
    const size_t length = received_.find(kLength);
    if (end == std::string::npos || length > end) return false;
    const char* digits = received_.c_str() + length + sizeof(kLength) - 1;
    return received_.size() >= end + 4 + std::strtoul(digits, nullptr, 10);
  }

  int fd_;
  bool ended_ = false;
  int status_ = 0;
  std::string received_;
};

}  // namespace gentiandeal::process

#endif  // GENTIANDEAL_TESTS_PROCESS_KEPT_CALLER_H_
