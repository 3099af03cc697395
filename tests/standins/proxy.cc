#include <event2/buffer.h>

#include <csignal>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "gentiandeal_p.h"
#include "standin.h"

/// Stand-in for links: passes TCP and UDP between a port of its own and a
/// target, and injects faults. Control port:
///   PUT /pairs?target=IP:PORT[&port=P]  adds a pair; answers its address
///   PUT /faults?pair=I&...              replaces the faults of a pair
/// `mode` is `pass`, `cut` (resets and refuses) or `blackhole` (holds bytes
/// until the mode changes). `delay_ms` delays TCP bytes. `reset_up` and
/// `reset_down` reset a connection after so many further bytes. `drop`,
/// `duplicate` and `reorder` hit each N-th datagram. A datagram from the target
/// of one pair reaches the target of another from the first pair's port, so
/// that each side knows the other by its pair.
///   PUT /disturb?pair=I&what=W[&way=up|down][&...]  disturbs TCP for a while
/// `way` is `up`, towards the target, `down`, or both if it is absent. `what`:
///   `hold&ms=N`  what is sent in the next N ms, ends of connections included,
///       is delivered after them, in order; a reset is delivered as a close
///   `delay&ms=N&for_ms=T`  what is sent in the next T ms arrives N ms later
///   `silence`  open connections pass nothing that is sent from now on, neither
///       bytes nor ends; new ones work
///   `reset`  resets open connections on both sides
///   `drop_caller`, `drop_target`  resets open connections on this side, while
///       the other side stays open and hears nothing; with `&close=1` it is
///       closed rather than reset
namespace gentiandeal::standin {
namespace {

enum class Mode : uint8_t { kPass, kCut, kBlackhole };

struct Faults {
  Mode mode_ = Mode::kPass;
  int64_t delay_ms_ = 0;
  int64_t reset_up_ = -1;
  int64_t reset_down_ = -1;
  int64_t drop_ = 0;
  int64_t duplicate_ = 0;
  int64_t reorder_ = 0;
};

Faults ParseFaults(const Query& query) {
  Faults faults;
  const std::string mode = query.Has("mode") ? query.Text("mode") : "pass";
  if (mode == "cut") faults.mode_ = Mode::kCut;
  if (mode == "blackhole") faults.mode_ = Mode::kBlackhole;
  faults.delay_ms_ = query.Int("delay_ms", 0);
  faults.reset_up_ = query.Int("reset_up", -1);
  faults.reset_down_ = query.Int("reset_down", -1);
  faults.drop_ = query.Int("drop", 0);
  faults.duplicate_ = query.Int("duplicate", 0);
  faults.reorder_ = query.Int("reorder", 0);
  return faults;
}

class Pair;

/// How a sender ended its direction of a connection.
enum class End : uint8_t { kNone, kClose, kReset };

/// Disturbances of one direction of all connections of a pair.
struct Way {
  Time held_until_;
  Time delayed_until_;
  Duration delay_;

  /// When bytes that are sent at `now` are due.
  Time Due(Time now) const {
    const Time due = now < delayed_until_ ? now + delay_ : now;
    return std::max(due, held_until_);
  }
};

/// One direction of a TCP connection.
struct Direction {
  struct Chunk {
    Time due_;
    std::string bytes_;
    End end_ = End::kNone;
  };
  class Connection* connection_ = nullptr;
  bufferevent* from_ = nullptr;
  bufferevent* to_ = nullptr;
  event* timer_ = nullptr;
  std::deque<Chunk> delayed_;
  int64_t passed_ = 0;
  bool ended_ = false;   ///< The sender closed its side.
  bool gone_ = false;    ///< The sender's socket is of no more use.
  bool silent_ = false;  ///< Nothing is passed on.
};

/// One TCP connection: the accepted side and the side towards the target.
class Connection {
 public:
  Connection(Pair* pair, evutil_socket_t accepted);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void ApplyFaults();
  void Reset();
  void Silence(bool up, bool down);
  /// Ends one side only.
  void DropSide(bool caller, bool reset);
  void SetPlace(std::list<Connection>::iterator place) { place_ = place; }

 private:
  static void OnRead(bufferevent* from, void* arg);
  static void OnEvent(bufferevent* side, int16_t what, void* arg);
  static void OnTimer(evutil_socket_t fd, int16_t what, void* arg);
  static void OnWritten(bufferevent* to, void* arg);

  void Bind(Direction* direction, bufferevent* from, bufferevent* to);
  void Connect();
  void Pass(Direction* direction, const std::string& bytes);
  Time Due(const Direction& direction) const;
  void Delay(Direction* direction, Direction::Chunk chunk);
  void Deliver(Direction* direction, const Direction::Chunk& chunk);
  void Finish(Direction* direction);
  /// Whether both sides have ended and there is nothing left to deliver.
  bool Over() const {
    return (up_.ended_ || (up_.gone_ && up_.silent_)) &&
           (down_.ended_ || (down_.gone_ && down_.silent_));
  }
  void Destroy();
  int64_t Budget(const Direction& direction) const;

  Pair* pair_;
  bufferevent* caller_;
  bufferevent* target_;
  Direction up_;
  Direction down_;
  bool connecting_ = false;
  std::list<Connection>::iterator place_;
};

/// A port of the proxy and its target.
class Pair {
 public:
  /// @param all Every pair of the proxy.
  Pair(event_base* base, const sockaddr_in& target,
       const std::vector<std::unique_ptr<Pair>>* all)
      : base_(base), target_(target), all_(all) {}

  /// @returns the port, or 0 when it can't be bound.
  uint16_t Start(uint16_t port);
  void SetFaults(const Faults& faults);
  /// @returns false if `what` is unknown.
  bool Disturb(const Query& query);

  event_base* base() const { return base_; }
  const sockaddr_in& target() const { return target_; }
  const Faults& faults() const { return faults_; }
  const Way& up() const { return up_; }
  const Way& down() const { return down_; }
  void Remove(std::list<Connection>::iterator connection) {
    connections_.erase(connection);
  }

 private:
  /// Socket towards the target for the datagrams of one sender.
  struct Flow {
    Pair* pair_ = nullptr;
    sockaddr_in sender_{};
    evutil_socket_t socket_ = -1;
    event* readable_ = nullptr;
  };
  struct Datagram {
    evutil_socket_t socket_ = -1;
    sockaddr_in to_{};
    std::string bytes_;
  };

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* from, int size, void* arg);
  static void OnDatagram(evutil_socket_t fd, int16_t what, void* arg);
  static void OnReply(evutil_socket_t fd, int16_t what, void* arg);
  bool Listen();
  void Close();
  evutil_socket_t SocketFor(const sockaddr_in& sender);
  void Forward(const Datagram& datagram);
  static void SendNow(const Datagram& datagram);

  event_base* base_;
  sockaddr_in target_;
  const std::vector<std::unique_ptr<Pair>>* all_;
  uint16_t port_ = 0;
  Faults faults_;
  Way up_;
  Way down_;
  evconnlistener* listener_ = nullptr;
  evutil_socket_t datagrams_ = -1;
  std::list<Connection> connections_;
  std::map<uint16_t, Flow> flows_;
  int64_t datagram_count_ = 0;
  std::vector<Datagram> held_;
};

Connection::Connection(Pair* pair, evutil_socket_t accepted) : pair_(pair) {
  caller_ =
      bufferevent_socket_new(pair->base(), accepted, BEV_OPT_CLOSE_ON_FREE);
  target_ = bufferevent_socket_new(pair->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Bind(&up_, caller_, target_);
  Bind(&down_, target_, caller_);
  ApplyFaults();
}

Connection::~Connection() {
  for (Direction* direction : {&up_, &down_}) event_free(direction->timer_);
  bufferevent_free(caller_);
  bufferevent_free(target_);
}

void Connection::Bind(Direction* direction, bufferevent* from,
                      bufferevent* to) {
  direction->connection_ = this;
  direction->from_ = from;
  direction->to_ = to;
  direction->timer_ =
      evtimer_new(pair_->base(), &Connection::OnTimer, direction);
  bufferevent_setcb(from, &Connection::OnRead, &Connection::OnWritten,
                    &Connection::OnEvent, this);
}

void Connection::Connect() {
  connecting_ = true;
  sockaddr_in target = pair_->target();
  bufferevent_socket_connect(target_, reinterpret_cast<sockaddr*>(&target),
                             sizeof(target));
}

void Connection::ApplyFaults() {
  for (Direction* direction : {&up_, &down_}) direction->passed_ = 0;
  const bool held = pair_->faults().mode_ == Mode::kBlackhole;
  for (bufferevent* side : {caller_, target_}) {
    if (held) {
      bufferevent_disable(side, EV_READ | EV_WRITE);
    } else {
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
  }
  if (!held && !connecting_) Connect();
}

void Connection::Reset() {
  ResetOnClose(bufferevent_getfd(caller_));
  if (connecting_) ResetOnClose(bufferevent_getfd(target_));
  Destroy();
}

void Connection::Destroy() { pair_->Remove(place_); }

int64_t Connection::Budget(const Direction& direction) const {
  const Faults& faults = pair_->faults();
  const int64_t limit =
      &direction == &up_ ? faults.reset_up_ : faults.reset_down_;
  return limit < 0 ? INT64_MAX : limit - direction.passed_;
}

void Connection::Silence(bool up, bool down) {
  for (Direction* direction : {&up_, &down_}) {
    if (direction == &up_ ? !up : !down) continue;
    direction->silent_ = true;
  }
}

void Connection::DropSide(bool caller, bool reset) {
  Silence(/*up=*/true, /*down=*/true);
  for (Direction* one : {&up_, &down_}) {
    one->delayed_.clear();
    evtimer_del(one->timer_);
  }
  Direction* direction = caller ? &up_ : &down_;
  if (direction->gone_) return;
  direction->gone_ = true;
  const evutil_socket_t fd = bufferevent_getfd(direction->from_);
  bufferevent_disable(direction->from_, EV_READ | EV_WRITE);
  bufferevent_setfd(direction->from_, -1);
  if (fd < 0) return;
  if (reset) ResetOnClose(fd);
  evutil_closesocket(fd);
}

Time Connection::Due(const Direction& direction) const {
  const Time now = MonotonicClock().Now();
  const Way& way = &direction == &up_ ? pair_->up() : pair_->down();
  Time due = way.Due(now);
  due = std::max(due, now + Duration{pair_->faults().delay_ms_});
  if (!direction.delayed_.empty()) {
    due = std::max(due, direction.delayed_.back().due_);
  }
  return due;
}

void Connection::OnRead(bufferevent* from, void* arg) {
  auto* self = static_cast<Connection*>(arg);
  Direction* direction = from == self->caller_ ? &self->up_ : &self->down_;
  evbuffer* input = bufferevent_get_input(from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (direction->silent_) return;
  self->Delay(direction, {self->Due(*direction), std::move(bytes)});
}

/// Delivers a chunk when it is due; may destroy the connection.
void Connection::Delay(Direction* direction, Direction::Chunk chunk) {
  const Duration left = chunk.due_ - MonotonicClock().Now();
  if (left.ms_ <= 0 && direction->delayed_.empty()) {
    return Deliver(direction, chunk);
  }
  direction->delayed_.push_back(std::move(chunk));
  if (evtimer_pending(direction->timer_, nullptr) != 0) return;
  const timeval wait = ToTimeval(std::max<int64_t>(left.ms_, 0));
  evtimer_add(direction->timer_, &wait);
}

void Connection::OnTimer(evutil_socket_t /*fd*/, int16_t /*what*/, void* arg) {
  auto* direction = static_cast<Direction*>(arg);
  Connection* self = direction->connection_;
  const Direction::Chunk chunk = std::move(direction->delayed_.front());
  direction->delayed_.pop_front();
  if (!direction->delayed_.empty()) {
    const Duration left =
        direction->delayed_.front().due_ - MonotonicClock().Now();
    const timeval wait = ToTimeval(std::max<int64_t>(left.ms_, 0));
    evtimer_add(direction->timer_, &wait);
  }
  self->Deliver(direction, chunk);
}

/// May destroy the connection.
void Connection::Deliver(Direction* direction, const Direction::Chunk& chunk) {
  if (chunk.end_ == End::kReset) return Reset();
  if (chunk.end_ == End::kNone) return Pass(direction, chunk.bytes_);
  direction->ended_ = true;
  Finish(direction);
}

/// Passes bytes on; may destroy the connection.
void Connection::Pass(Direction* direction, const std::string& bytes) {
  const int64_t budget = Budget(*direction);
  const auto size = static_cast<int64_t>(bytes.size());
  const int64_t passed = std::min(budget, size);
  bufferevent_write(direction->to_, bytes.data(), static_cast<size_t>(passed));
  direction->passed_ += passed;
  if (passed < size) {
    bufferevent_flush(direction->to_, EV_WRITE, BEV_FLUSH);
    evbuffer_write(bufferevent_get_output(direction->to_),
                   bufferevent_getfd(direction->to_));
    Reset();
    return;
  }
  if (direction->ended_) Finish(direction);
}

void Connection::OnEvent(bufferevent* side, int16_t what, void* arg) {
  auto* self = static_cast<Connection*>(arg);
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) == 0) return;
  const bool from_caller = side == self->caller_;
  Direction* direction = from_caller ? &self->up_ : &self->down_;
  const bool reset = (what & BEV_EVENT_ERROR) != 0;
  direction->gone_ = true;
  // Nobody is left to deliver the other direction to.
  if (reset) self->Silence(!from_caller, from_caller);
  if (direction->silent_) {
    if (self->Over()) self->Destroy();
    return;
  }
  const Time due = self->Due(*direction);
  // A reset would overtake the bytes that are delivered just before it.
  const bool late = due > MonotonicClock().Now();
  self->Delay(direction, {due, {}, reset && !late ? End::kReset : End::kClose});
}

void Connection::OnWritten(bufferevent* to, void* arg) {
  auto* self = static_cast<Connection*>(arg);
  Direction* direction = to == self->target_ ? &self->up_ : &self->down_;
  if (direction->ended_) self->Finish(direction);
}

/// Passes the end of a direction on once its bytes are out.
void Connection::Finish(Direction* direction) {
  if (!direction->delayed_.empty()) return;
  if (evbuffer_get_length(bufferevent_get_output(direction->to_)) > 0) return;
  if (Over()) {
    Destroy();
    return;
  }
  shutdown(bufferevent_getfd(direction->to_), SHUT_WR);
}

bool Pair::Disturb(const Query& query) {
  if (!query.Has("what")) return false;
  const std::string what = query.Text("what");
  const std::string way = query.Has("way") ? query.Text("way") : "both";
  const Duration span{query.Int("ms", 0)};
  const Time now = MonotonicClock().Now();
  for (Way* one : {&up_, &down_}) {
    if (way == (one == &up_ ? "down" : "up")) continue;
    if (what == "hold") one->held_until_ = now + span;
    if (what == "delay") {
      one->delay_ = span;
      one->delayed_until_ = now + Duration{query.Int("for_ms", 0)};
    }
  }
  if (what == "hold" || what == "delay") return true;
  if (what == "reset") {
    while (!connections_.empty()) connections_.front().Reset();
    return true;
  }
  const bool caller = what == "drop_caller";
  if (what != "silence" && !caller && what != "drop_target") return false;
  for (Connection& connection : connections_) {
    if (what == "silence") {
      connection.Silence(way != "down", way != "up");
    } else {
      connection.DropSide(caller, !query.Has("close"));
    }
  }
  return true;
}

uint16_t Pair::Start(uint16_t port) {
  port_ = port;
  datagrams_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!Listen()) return 0;
  const sockaddr_in own = LoopbackAddress(port_);
  if (bind(datagrams_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) !=
      0) {
    return 0;
  }
  event* readable = event_new(base_, datagrams_, EV_READ | EV_PERSIST,
                              &Pair::OnDatagram, this);
  event_add(readable, nullptr);
  return port_;
}

bool Pair::Listen() {
  const sockaddr_in own = LoopbackAddress(port_);
  listener_ = evconnlistener_new_bind(
      base_, &Pair::OnAccept, this,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr*>(&own), sizeof(own));
  if (listener_ == nullptr) return false;
  port_ = LocalPort(evconnlistener_get_fd(listener_));
  return true;
}

void Pair::Close() {
  evconnlistener_free(listener_);
  listener_ = nullptr;
  while (!connections_.empty()) connections_.front().Reset();
}

void Pair::SetFaults(const Faults& faults) {
  faults_ = faults;
  if (faults.mode_ == Mode::kCut && listener_ != nullptr) Close();
  if (faults.mode_ != Mode::kCut && listener_ == nullptr && !Listen()) {
    std::abort();
  }
  for (Connection& connection : connections_) connection.ApplyFaults();
}

void Pair::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                    sockaddr* /*from*/, int /*size*/, void* arg) {
  auto* self = static_cast<Pair*>(arg);
  evutil_make_socket_nonblocking(fd);
  self->connections_.emplace_front(self, fd);
  self->connections_.front().SetPlace(self->connections_.begin());
}

/// Socket from which the target hears the datagrams of a sender.
evutil_socket_t Pair::SocketFor(const sockaddr_in& sender) {
  for (const auto& pair : *all_) {
    if (pair->target_.sin_port == sender.sin_port) return pair->datagrams_;
  }
  Flow& flow = flows_[sender.sin_port];
  if (flow.pair_ != nullptr) return flow.socket_;
  flow.pair_ = this;
  flow.sender_ = sender;
  flow.socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in own = LoopbackAddress(0);
  if (bind(flow.socket_, reinterpret_cast<const sockaddr*>(&own),
           sizeof(own)) != 0) {
    std::abort();
  }
  flow.readable_ = event_new(base_, flow.socket_, EV_READ | EV_PERSIST,
                             &Pair::OnReply, &flow);
  event_add(flow.readable_, nullptr);
  return flow.socket_;
}

void Pair::OnDatagram(evutil_socket_t fd, int16_t /*what*/, void* arg) {
  auto* self = static_cast<Pair*>(arg);
  char bytes[65536];
  sockaddr_in sender{};
  socklen_t size = sizeof(sender);
  const ssize_t got = recvfrom(fd, bytes, sizeof(bytes), 0,
                               reinterpret_cast<sockaddr*>(&sender), &size);
  if (got < 0) return;
  self->Forward({self->SocketFor(sender), self->target_,
                 std::string(bytes, static_cast<size_t>(got))});
}

void Pair::OnReply(evutil_socket_t fd, int16_t /*what*/, void* arg) {
  const auto* flow = static_cast<Flow*>(arg);
  char bytes[65536];
  const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
  if (got < 0) return;
  flow->pair_->Forward({flow->pair_->datagrams_, flow->sender_,
                        std::string(bytes, static_cast<size_t>(got))});
}

void Pair::SendNow(const Datagram& datagram) {
  sendto(datagram.socket_, datagram.bytes_.data(), datagram.bytes_.size(), 0,
         reinterpret_cast<const sockaddr*>(&datagram.to_),
         sizeof(datagram.to_));
}

void Pair::Forward(const Datagram& datagram) {
  if (faults_.mode_ != Mode::kPass) return;
  const int64_t number = ++datagram_count_;
  const auto hits = [number](int64_t each) {
    return each > 0 && number % each == 0;
  };
  if (hits(faults_.drop_)) return;
  if (hits(faults_.reorder_)) {
    held_.push_back(datagram);
    return;
  }
  SendNow(datagram);
  if (hits(faults_.duplicate_)) SendNow(datagram);
  for (const Datagram& late : held_) SendNow(late);
  held_.clear();
}

/// Control port of the proxy.
class Control {
 public:
  explicit Control(event_base* base)
      : base_(base), server_(evhtp_new(base, nullptr)) {
    evhtp_set_cb(server_, "/pairs", &Control::OnPairs, this);
    evhtp_set_cb(server_, "/faults", &Control::OnFaults, this);
    evhtp_set_cb(server_, "/disturb", &Control::OnDisturb, this);
  }
  uint16_t Start() { return BindLoopback(server_, 0); }

 private:
  static void OnPairs(evhtp_request_t* request, void* arg) {
    auto* self = static_cast<Control*>(arg);
    const Query query(request);
    Address target;
    if (!query.Has("target") || ParseAddress(query.Text("target"), &target)) {
      Reply(request, EVHTP_RES_BADREQ, "target is not an address\n");
      return;
    }
    self->pairs_.push_back(std::make_unique<Pair>(
        self->base_, LoopbackAddress(target.port_), &self->pairs_));
    const uint16_t port =
        self->pairs_.back()->Start(static_cast<uint16_t>(query.Int("port", 0)));
    const nlohmann::json answer = {
        {"pair", self->pairs_.size() - 1},
        {"address", ToString(Address{"127.0.0.1", port})}};
    Reply(request, port == 0 ? EVHTP_RES_CONFLICT : EVHTP_RES_OK,
          answer.dump() + "\n");
  }

  static void OnFaults(evhtp_request_t* request, void* arg) {
    const auto* self = static_cast<Control*>(arg);
    const Query query(request);
    const auto index = static_cast<size_t>(query.Int("pair", -1));
    if (index >= self->pairs_.size()) {
      Reply(request, EVHTP_RES_NOTFOUND, "no such pair\n");
      return;
    }
    self->pairs_[index]->SetFaults(ParseFaults(query));
    Reply(request, EVHTP_RES_OK, "{}\n");
  }

  static void OnDisturb(evhtp_request_t* request, void* arg) {
    const auto* self = static_cast<Control*>(arg);
    const Query query(request);
    const auto index = static_cast<size_t>(query.Int("pair", -1));
    const bool done =
        index < self->pairs_.size() && self->pairs_[index]->Disturb(query);
    Reply(request, done ? EVHTP_RES_OK : EVHTP_RES_NOTFOUND, "{}\n");
  }

  event_base* base_;
  evhtp_t* server_;
  std::vector<std::unique_ptr<Pair>> pairs_;
};

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  bool exit_on_eof = false;
  po::options_description options("Stand-in for links, with faults");
  auto add = options.add_options();
  add("help", "show this text");
  add("exit-on-eof", po::bool_switch(&exit_on_eof),
      "end when standard input is closed");
  if (!ParseCommandLine(argc, argv, options)) return 2;
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  Control control(base);
  if (exit_on_eof) ExitOnEof(base);
  const Address address{"127.0.0.1", control.Start()};
  const nlohmann::json line = {{"event", "listening"},
                               {"address", ToString(address)},
                               {"control", ToString(address)}};
  std::cout << line.dump() << std::endl;
  event_base_dispatch(base);
  return 0;
}

}  // namespace
}  // namespace gentiandeal::standin

int main(int argc, char** argv) {
  return gentiandeal::standin::RunMain(gentiandeal::standin::Main, argc, argv);
}
