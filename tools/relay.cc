#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "http_client.h"
#include "socket_address.h"

/// Bare relay from libevhtp to evhttp, the yardstick for the cost of an entry
/// instance: each request goes to the next worker and its answer comes back.
/// It decides nothing and checks nothing.
namespace gentiandeal {
namespace {

namespace po = boost::program_options;

constexpr Duration kTimeout{60000};
constexpr int kBacklog = 1024;

class Relay {
 public:
  Relay(event_base* base, std::vector<Address> workers)
      : client_(base), workers_(std::move(workers)) {}

  static void OnRequest(evhtp_request_t* request, void* arg) {
    static_cast<Relay*>(arg)->Pass(request);
  }

 private:
  /// One request on its way; `request_` is null once its caller left.
  struct Exchange {
    evhtp_request_t* request_ = nullptr;
  };

  static evhtp_res OnGone(evhtp_request_t* /*request*/, void* arg) {
    static_cast<Exchange*>(arg)->request_ = nullptr;
    return EVHTP_RES_OK;
  }

  void Pass(evhtp_request_t* request) {
    auto* exchange = new Exchange{request};
    evhtp_request_set_hook(
        request, evhtp_hook_on_request_fini,
        reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(&OnGone)),
        exchange);
    HttpRequest out;
    out.method_ = htparser_get_methodstr(request->conn->parser);
    out.path_ = request->uri->path->full;
    if (request->uri->query_raw != nullptr) {
      out.path_ += "?";
      out.path_ += reinterpret_cast<const char*>(request->uri->query_raw);
    }
    out.body_.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_remove(request->buffer_in, out.body_.data(), out.body_.size());
    const Address& worker = workers_[next_++ % workers_.size()];
    client_.Send(worker, out, kTimeout, [exchange](const HttpResponse& answer) {
      Answer(exchange, answer);
    });
  }

  static void Answer(Exchange* exchange, const HttpResponse& answer) {
    evhtp_request_t* request = exchange->request_;
    if (request != nullptr) {
      evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
      evbuffer_add(request->buffer_out, answer.body_.data(),
                   answer.body_.size());
      const auto status = static_cast<evhtp_res>(answer.status_);
      evhtp_send_reply(request,
                       answer.complete_ ? status : EVHTP_RES_BADGATEWAY);
    }
    delete exchange;
  }

  HttpClient client_;
  std::vector<Address> workers_;
  size_t next_ = 0;
};

int Main(int argc, char** argv) {
  std::vector<std::string> texts;
  po::options_description options("Relay requests to workers in turn");
  options.add_options()("help", "show this text")(
      "worker", po::value(&texts)->required()->composing(), "IP:PORT");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  std::vector<Address> workers;
  for (const std::string& text : texts) {
    if (ParseAddress(text, &workers.emplace_back())) return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  Relay relay(base, std::move(workers));
  evhtp_t* server = evhtp_new(base, nullptr);
  evhtp_enable_flag(server, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_gencb(server, &Relay::OnRequest, &relay);
  if (evhtp_bind_socket(server, "127.0.0.1", 0, kBacklog) != 0) return 1;
  Address own;
  if (LocalAddress(evconnlistener_get_fd(server->server), &own)) return 1;
  std::cout << R"({"event":"listening","address":")" << ToString(own) << "\"}"
            << std::endl;
  event_base_dispatch(base);
  return 0;
}

}  // namespace
}  // namespace gentiandeal

int main(int argc, char** argv) {
  try {
    return gentiandeal::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
