#ifndef GENTIANDEAL_SRC_PEER_SOCKET_H_
#define GENTIANDEAL_SRC_PEER_SOCKET_H_

#include <event2/event.h>

#include <functional>
#include <string_view>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// UDP socket for datagrams between instances, on one event loop. Datagrams are
/// read in bounded batches.
class PeerSocket {
 public:
  /// Called for each datagram, with the sender's address.
  using Handler =
      std::function<void(const Address& from, std::string_view bytes)>;

  PeerSocket(event_base* base, Handler handler);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /// Binds and starts to read. @returns the error of the socket or the bind.
  std::error_code Open(const Address& address);

  /// Sends one datagram. Errors are only counted: the next datagram makes up
  /// for a lost one.
  void Send(const Address& to, std::string_view bytes);

  /// Bound address, with the port chosen by the kernel if 0 was asked for.
  const Address& local() const { return local_; }
  uint64_t send_errors() const { return send_errors_; }

  void Close();

 private:
  static void OnReadable(evutil_socket_t fd, int16_t what, void* self);
  void ReadBatch();

  event_base* base_;
  Handler handler_;
  event* event_ = nullptr;
  evutil_socket_t fd_ = -1;
  Address local_;
  uint64_t send_errors_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_PEER_SOCKET_H_
