#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <deque>
#include <random>

#include "caller_server.h"
#include "cluster.h"
#include "dispatcher.h"
#include "event_base.h"
#include "gentiandeal_p.h"
#include "peer_link.h"
#include "status.h"
#include "worker_client.h"

namespace gentiandeal {
namespace {

using Message =
    std::variant<Submit, CallerDisconnected, CancelSubmission, AttemptEnded,
                 ForwardEnded, WorkersListed, PeerLoad, PeersChanged,
                 SettingsChanged, DrainRequested>;

/// The tick runs before all other events of a loop iteration, so that a pause
/// of the process is detected before data queued before the pause is sent.
constexpr int kEventPriorities = 2;
constexpr int kTickPriority = 0;

constexpr timeval kTickTimeval{0, config::kTickInterval.ms_ * 1000};

event_base* NewEventBase() {
  event_base* base = event_base_new();
  event_base_priority_init(base, kEventPriorities);
  return base;
}

std::array<uint8_t, 32> NewSecret() {
  std::random_device device;
  std::array<uint8_t, 32> secret;
  for (uint8_t& byte : secret) byte = static_cast<uint8_t>(device());
  return secret;
}

HttpServerOptions CallerOptions(const Init& init) {
  HttpLimits limits;
  limits.sizes_.max_head_bytes_ = init.max_head_bytes_;
  limits.sizes_.max_body_bytes_ = init.max_body_bytes_;
  limits.head_timeout_ = init.head_timeout_;
  limits.idle_timeout_ = init.idle_timeout_;
  return CallerHttpOptions(init.memory_mb_, init.max_fds_, limits);
}

}  // namespace

/// Owns the event loop and the components on it, and passes messages between
/// them and the dispatcher's decision logic.
class EntryInstance::Impl {
 public:
  explicit Impl(const Init& init)
      : init_(init),
        base_(NewEventBase()),
        callers_(base_.get(), MakeCallerEvents(), CallerOptions(init)),
        workers_(base_.get(),
                 [this](AttemptEnded ended) { Post(std::move(ended)); }),
        cluster_(base_.get(), init, [this](ClusterEvent event) {
          std::visit([this](auto& one) { Post(std::move(one)); }, event);
        }) {
    drain_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    drain_event_ = event_new(base_.get(), drain_fd_, EV_READ, &OnDrain, this);
    tick_event_ = event_new(base_.get(), -1, EV_PERSIST, &OnTick, this);
    event_priority_set(tick_event_, kTickPriority);
    event_add(drain_event_, nullptr);
  }

  ~Impl() {
    event_free(drain_event_);
    event_free(tick_event_);
    close(drain_fd_);
  }

  std::error_code Start() {
    self_ = {init_.data_centre_, init_.peers_, NewIncarnation()};
    if (const auto error = cluster_.Listen(&self_)) return error;
    if (const auto error = callers_.Listen(init_.callers_)) return error;
    const uint64_t seed = init_.seed_ != 0 ? init_.seed_ : RandomUint64();
    dispatcher_.emplace(self_, NewSecret(), seed);
    cluster_.Start(&dispatcher_->team_limiter());
    last_tick_ = clock_.Now();
    event_add(tick_event_, &kTickTimeval);
    return {};
  }

  void Run() { event_base_dispatch(base_.get()); }

  void Drain() {
    const uint64_t one = 1;
    // Fails only on a full counter; a drain is then already requested.
    [[maybe_unused]] const ssize_t written =
        write(drain_fd_, &one, sizeof(one));
  }

  Address callers() const { return callers_.address(); }
  Address peers() const { return self_.peer_address_; }
  Stats GetStats() const { return dispatcher_->stats(); }

 private:
  CallerEvents MakeCallerEvents() {
    CallerEvents events;
    events.submit_ = [this](Submit submit) { Post(std::move(submit)); };
    events.cancel_ = [this](const CancelSubmission& cancel) { Post(cancel); };
    events.caller_disconnected_ = [this](const CallerDisconnected& gone) {
      Post(gone);
    };
    events.issue_client_ = [this] {
      return dispatcher_->IssueClient(clock_.Now());
    };
    events.status_json_ = [this] { return StatusJson(MakeView()); };
    events.settings_json_ = [this] { return cluster_.settings_json(); };
    events.metrics_text_ = [this] { return MetricsText(MakeView()); };
    events.ready_ = [this] { return ready(); };
    events.draining_ = [this] { return draining_; };
    return events;
  }

  InstanceView MakeView() const {
    InstanceView view;
    view.instance_id_ = &self_;
    view.dispatcher_ = &*dispatcher_;
    view.caller_stats_ = &callers_.stats();
    view.peers_ = &cluster_.peers();
    view.settings_ = &cluster_.settings();
    view.worker_connections_ = workers_.connections();
    view.ready_ = ready();
    view.draining_ = draining_;
    view.extra_counters_ = cluster_.counters();
    return view;
  }

  bool ready() const { return !draining_ && cluster_.ready(); }

  // Queues messages that arrive while another one is handled.
  void Post(Message message) {
    mailbox_.push_back(std::move(message));
    if (!processing_) ProcessMailbox();
  }

  void ProcessMailbox() {
    processing_ = true;
    while (!mailbox_.empty()) {
      const Message message = std::move(mailbox_.front());
      mailbox_.pop_front();
      std::visit(
          [this](const auto& one) {
            ApplySettings(one);
            dispatcher_->On(one, clock_.Now(), &outbox_);
          },
          message);
      ExecuteCommands();
    }
    processing_ = false;
  }

  /// Applies settings that concern the connections to workers; other messages
  /// are for the dispatcher alone.
  template <typename T>
  void ApplySettings(const T&) {}
  void ApplySettings(const SettingsChanged& changed) {
    const ServiceSettings& service = changed.settings_->service_;
    workers_.SetLimits({service.connect_timeout_, service.worker_connections_});
  }

  void ExecuteCommands() {
    Outbox commands;
    commands.swap(outbox_);
    for (const Command& command : commands) {
      std::visit([this](const auto& one) { Execute(one); }, command);
    }
  }

  void Execute(const SendAnswer& command) {
    if (IsPeerRequest(command.request_)) return cluster_.On(command);
    callers_.Answer(command.request_, *command.answer_);
  }
  void Execute(const StartTask& command) { workers_.Start(command); }
  void Execute(const CancelAttempt& command) {
    workers_.Cancel(command.attempt_);
  }
  void Execute(const ForwardSubmission& command) { cluster_.On(command); }
  void Execute(const CancelForward& command) { cluster_.On(command); }

  static void OnTick(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const Time now = self->clock_.Now();
    self->processing_ = true;
    self->dispatcher_->Tick(now, &self->outbox_);
    self->ExecuteCommands();
    if (now - self->last_tick_ > config::kPauseThreshold) {
      self->workers_.FailUnsent();
    }
    self->last_tick_ = now;
    self->ProcessMailbox();
    self->cluster_.Tick(now, *self->dispatcher_, self->draining_);
    if (self->draining_) self->ContinueDrain(now);
  }

  static void OnDrain(int, short, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    if (self->draining_) return;
    self->draining_ = true;
    self->drain_started_ = self->clock_.Now();
    spdlog::info("draining: linger_ms={} limit_ms={}",
                 self->init_.drain_linger_.ms_, self->init_.drain_limit_.ms_);
    self->Post(DrainRequested{});
  }

  void ContinueDrain(Time now) {
    const Duration elapsed = now - drain_started_;
    if (elapsed >= init_.drain_limit_ && !aborted_) {
      aborted_ = true;
      dispatcher_->AbortAll(now, &outbox_);
      ExecuteCommands();
    }
    if (elapsed < init_.drain_linger_) return;
    if (!stopped_listening_) {
      stopped_listening_ = true;
      callers_.StopListening();
    }
    const bool answered = dispatcher_->load().idle_ &&
                          callers_.stats().waiting_requests_ == 0 &&
                          cluster_.idle();
    if (!answered && !aborted_) return;
    // One more tick lets the last answers leave the send buffers.
    if (exit_next_tick_) {
      event_base_loopexit(base_.get(), nullptr);
    }
    exit_next_tick_ = true;
  }

  Init init_;
  MonotonicClock clock_;
  EventBase base_;
  CallerServer callers_;
  WorkerClient workers_;
  Cluster cluster_;
  InstanceId self_;
  std::optional<Dispatcher> dispatcher_;
  std::deque<Message> mailbox_;
  Outbox outbox_;
  bool processing_ = false;
  int drain_fd_ = -1;
  event* drain_event_ = nullptr;
  event* tick_event_ = nullptr;
  bool draining_ = false;
  bool stopped_listening_ = false;
  bool aborted_ = false;
  bool exit_next_tick_ = false;
  Time drain_started_;
  Time last_tick_;
};

EntryInstance::EntryInstance(const Init& init)
    : impl_(std::make_unique<Impl>(init)) {}
EntryInstance::~EntryInstance() = default;

std::error_code EntryInstance::Start() { return impl_->Start(); }
void EntryInstance::Run() { impl_->Run(); }
void EntryInstance::Drain() { impl_->Drain(); }
Address EntryInstance::callers() const { return impl_->callers(); }
Address EntryInstance::peers() const { return impl_->peers(); }
Stats EntryInstance::GetStats() const { return impl_->GetStats(); }

}  // namespace gentiandeal
