#ifndef GENTIANDEAL_TESTS_STANDINS_STANDIN_H_
#define GENTIANDEAL_TESTS_STANDINS_STANDIN_H_

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

/// What the stand-in programs share: command line, event loop, start-up line.
namespace gentiandeal::standin {

inline timeval ToTimeval(int64_t ms) {
  return {static_cast<time_t>(ms / 1000),
          static_cast<suseconds_t>(ms % 1000 * 1000)};
}

/// Port of a bound IPv4 socket.
inline uint16_t LocalPort(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

/// Makes the next close of the socket send a reset.
inline void ResetOnClose(evutil_socket_t fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

/// Ends the loop once standard input is closed, so that a stand-in never
/// outlives the test that started it.
inline void ExitOnEof(event_base* base) {
  const auto on_input = [](evutil_socket_t fd, int16_t /*what*/, void* arg) {
    char bytes[64];
    if (read(fd, bytes, sizeof(bytes)) > 0) return;
    event_base_loopbreak(static_cast<event_base*>(arg));
  };
  event* input =
      event_new(base, STDIN_FILENO, EV_READ | EV_PERSIST, on_input, base);
  event_add(input, nullptr);
}

/// Query of a control request.
class Query {
 public:
  explicit Query(const evhtp_request_t* request)
      : query_(request->uri->query) {}
  bool Has(const char* name) const { return Text(name) != nullptr; }
  /// @returns null when the name is absent.
  const char* Text(const char* name) const {
    return query_ == nullptr ? nullptr : evhtp_kv_find(query_, name);
  }
  int64_t Int(const char* name, int64_t otherwise) const {
    const char* text = Text(name);
    return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
  }
  double Real(const char* name, double otherwise) const {
    const char* text = Text(name);
    return text == nullptr ? otherwise : std::strtod(text, nullptr);
  }

 private:
  evhtp_query_t* query_;
};

inline void AddHeader(evhtp_request_t* request, const char* name,
                      const std::string& value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name, value.c_str(), 1, 1));
}

inline void Reply(evhtp_request_t* request, evhtp_res status,
                  const std::string& body) {
  evbuffer_add(request->buffer_out, body.data(), body.size());
  evhtp_send_reply(request, status);
}

/// Hook of any kind in the one type that libevhtp takes.
template <typename Function>
evhtp_hook ToHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

/// Binds an HTTP server to loopback. @returns its port, or 0 on failure.
inline uint16_t BindLoopback(evhtp_t* server, uint16_t port) {
  constexpr int kBacklog = 1024;
  evhtp_enable_flag(server, EVHTP_FLAG_ENABLE_NODELAY);
  if (evhtp_bind_socket(server, "127.0.0.1", port, kBacklog) != 0) return 0;
  return LocalPort(evconnlistener_get_fd(server->server));
}

/// Reads the command line. @returns false when the program is to end, after
/// the help or an error was printed.
inline bool ParseCommandLine(
    int argc, char** argv,
    const boost::program_options::options_description& options) {
  namespace po = boost::program_options;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") == 0) return true;
    std::cout << options;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
  }
  return false;
}

/// Runs a stand-in. @returns its exit code, 1 after an exception.
inline int RunMain(int (*run)(int argc, char** argv), int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace gentiandeal::standin

#endif  // GENTIANDEAL_TESTS_STANDINS_STANDIN_H_
