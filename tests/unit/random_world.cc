#include "unit/random_world.h"

#include <tuple>

#include "settings.h"

namespace gentiandeal {
namespace {

constexpr int64_t kTickMs = 5;
/// Longer than any deadline of this world, with the grace of a forward.
constexpr int64_t kSettleMs = 6000;
constexpr size_t kClients = 6;
constexpr size_t kRecent = 12;
/// Breakages that repeat or drop do so once in this many times.
constexpr uint64_t kBreakEvery = 50;

std::string BodyOf(const std::string& submission, uint16_t index) {
  return submission + "#" + std::to_string(index);
}

}  // namespace

RandomWorld::RandomWorld(uint64_t seed, Breakage breakage)
    : random_(seed), breakage_(breakage), checker_(BodyOf) {
  for (size_t i = 0; i < kInstances; ++i) Start(i);
  for (size_t i = 0; i < kInstances; ++i) ListPeers(i);
  clients_.resize(kClients);
}

void RandomWorld::Run(int steps) {
  for (int i = 0; i < steps; ++i) {
    Act();
    AdvanceTo(now_ + Duration{static_cast<int64_t>(Roll(25))});
  }
  faults_ = false;
  AdvanceTo(now_ + Duration{kSettleMs});
  if (held_) TellCaller(held_->first, held_->second);
  for (size_t i = 0; i < kInstances; ++i) Kill(i);
}

bool RandomWorld::all_idle() const {
  return std::all_of(
      instances_.begin(), instances_.end(),
      [](const Instance& i) { return i.dispatcher_->load().idle_; });
}

void RandomWorld::Later(int64_t ms, std::function<void()> run) {
  events_.Add(now_ + Duration{ms}, std::move(run));
}

void RandomWorld::AdvanceTo(Time end) { events_.RunUntil(end, &now_); }

void RandomWorld::Start(size_t index) {
  Instance& instance = instances_[index];
  instance.id_.data_centre_ = index < 3 ? "dc1" : "dc2";
  instance.id_.peer_address_ = {"127.0.0.1",
                                static_cast<uint16_t>(7000 + index)};
  instance.id_.incarnation_ = {++last_incarnation_};
  std::array<uint8_t, 32> secret{};
  secret[0] = static_cast<uint8_t>(last_incarnation_);
  instance.dispatcher_ =
      std::make_unique<Dispatcher>(instance.id_, secret, random_());
  instance.paused_until_ = now_;
  ListWorkers(index);
  SetGuards(index);
  const uint64_t life = instance.life_;
  const auto tick = [this, index, life](const auto& self) -> void {
    Instance& one = instances_[index];
    if (one.life_ != life) return;
    if (one.paused_until_ <= now_) {
      Outbox out;
      one.dispatcher_->Tick(now_, &out);
      Carry(index, &out);
    }
    Later(kTickMs, [self] { self(self); });
  };
  tick(tick);
}

/// Half of the instances limit teams.
void RandomWorld::SetGuards(size_t index) {
  if (index % 2 == 0) return;
  auto settings = std::make_shared<Settings>();
  settings->service_.ejection_ = true;
  TeamSettings& root = settings->teams_.emplace_back();
  root.name_ = std::string(kRootBranch);
  root.task_quota_ = 4 * kInstances;
  root.starts_per_second_ = 100 * kInstances;
  Deliver(index, instances_[index].life_, SettingsChanged{settings});
}

void RandomWorld::Kill(size_t index) {
  Instance& instance = instances_[index];
  if (faults_ && instance.paused_until_ <= now_ && Roll(2) == 0) {
    // Ends at its drain limit rather than at once.
    Outbox out;
    instance.dispatcher_->AbortAll(now_, &out);
    Carry(index, &out);
  }
  const Stats stats = instance.dispatcher_->stats();
  pauses_ += stats.pauses_;
  joined_ += stats.duplicates_joined_;
  moved_ += stats.task_retries_;
  sent_to_owner_ += stats.forwards_to_owner_;
  sent_abroad_ += stats.forwards_to_data_centre_;
  if (!faults_) return;
  for (const auto& [request, waiter] : instance.waiters_) {
    if (waiter.done_) continue;
    if (waiter.request_.empty()) {
      LoseLink(waiter.origin_, waiter.origin_life_, waiter.forward_);
    } else {
      checker_.OnCallerGone(waiter.request_);
    }
  }
  instance.waiters_.clear();
  for (size_t i = 0; i < kInstances; ++i) DropPeerWaiters(i, index, {});
  ++instance.life_;
  Start(index);
  for (size_t i = 0; i < kInstances; ++i) ListPeers(i);
}

void RandomWorld::ListWorkers(size_t index) {
  const bool first_centre = instances_[index].id_.data_centre_ == "dc1";
  WorkersListed list;
  for (uint16_t i = 0; i < kWorkersPerCentre; ++i) {
    if (Chance(15)) continue;
    WorkerInfo info;
    const int port = (first_centre ? 9000 : 9100) + i;
    info.address_ = {"127.0.0.1", static_cast<uint16_t>(port)};
    info.slots_ = 2;
    info.leaving_ = Chance(10);
    list.workers_.push_back(info);
  }
  if (Chance(10)) list.workers_.clear();
  Deliver(index, instances_[index].life_, list);
}

void RandomWorld::ListPeers(size_t index) {
  PeersChanged peers;
  peers.known_instances_ = kInstances;
  for (size_t i = 0; i < kInstances; ++i) {
    if (i == index || !Connected(index, i)) continue;
    if (instances_[i].dispatcher_ == nullptr) continue;
    peers.peers_.push_back({instances_[i].id_, false, 8});
  }
  Deliver(index, instances_[index].life_, peers);
}

template <typename Message>
void RandomWorld::Deliver(size_t index, uint64_t life, Message message) {
  Instance& instance = instances_[index];
  if (instance.life_ != life) return;
  if (instance.paused_until_ > now_) {
    Later((instance.paused_until_ - now_).ms_,
          [this, index, life, message] { Deliver(index, life, message); });
    return;
  }
  Outbox out;
  instance.dispatcher_->On(message, now_, &out);
  Carry(index, &out);
}

void RandomWorld::Carry(size_t index, Outbox* out) {
  for (const Command& command : *out) {
    std::visit([&](const auto& c) { Carry(index, c); }, command);
  }
}

void RandomWorld::Carry(size_t index, const SendAnswer& command) {
  const auto found = instances_[index].waiters_.find(command.request_);
  if (found == instances_[index].waiters_.end()) return;
  Waiter& waiter = found->second;
  if (!waiter.request_.empty()) {
    waiter.done_ = true;
    if (breakage_ == Breakage::kDropAnswer && Roll(kBreakEvery) == 0) return;
    TellCaller(waiter, *command.answer_);
    return;
  }
  if (waiter.done_) return;
  waiter.done_ = true;
  const size_t origin = waiter.origin_;
  const uint64_t life = waiter.origin_life_;
  if (Chance(3) || !Connected(index, origin)) {
    LoseLink(origin, life, waiter.forward_);
    return;
  }
  const ForwardEnded ended{waiter.forward_, true, *command.answer_};
  Later(1, [this, origin, life, ended] { Deliver(origin, life, ended); });
}

void RandomWorld::TellCaller(const Waiter& waiter, const JobAnswer& answer) {
  const bool complete = answer.outcome_ == Outcome::kComplete;
  if (breakage_ == Breakage::kSwapAnswers && complete && faults_) {
    if (!held_) {
      held_ = {waiter, answer};
      return;
    }
    const JobAnswer other = std::exchange(held_->second, answer);
    std::pair<Waiter, JobAnswer> first = *std::exchange(held_, std::nullopt);
    breakage_ = Breakage::kNone;
    TellCaller(first.first, first.second);
    TellCaller(waiter, other);
    return;
  }
  AnswerSeen seen;
  seen.request_ = waiter.request_;
  seen.submission_ = waiter.submission_;
  seen.outcome_ = answer.outcome_;
  if (answer.error_) {
    seen.error_ = Name(static_cast<Errc>(answer.error_.value()));
  }
  seen.started_known_ = answer.started_known_;
  seen.started_ = answer.started_;
  for (const TaskAnswer& task : answer.tasks_) {
    seen.bodies_.push_back(task.body_);
  }
  if (breakage_ == Breakage::kMaybeLooksNotRun &&
      seen.outcome_ == Outcome::kMayHaveRun) {
    seen.outcome_ = Outcome::kNotRun;
  }
  if (breakage_ == Breakage::kDropTaskAnswer && complete) {
    seen.bodies_.pop_back();
  }
  if (breakage_ == Breakage::kHideStarted && seen.started_.size() > 1) {
    seen.started_.pop_back();
  }
  ++outcomes_[static_cast<size_t>(seen.outcome_)];
  if (breakage_ == Breakage::kRepeatAnswer && Roll(kBreakEvery) == 0) {
    checker_.OnAnswer(seen);
  }
  checker_.OnAnswer(std::move(seen));
}

void RandomWorld::Carry(size_t index, const StartTask& command) {
  RunTask(index, command);
  if (breakage_ == Breakage::kRepeatStart && Roll(kBreakEvery) == 0) {
    Later(1, [this, command] { BeginTask(command); });
  }
}

void RandomWorld::RunTask(size_t index, const StartTask& command) {
  if (Chance(5)) {
    End(index, command, 1, AttemptResult::kRefused);
    return;
  }
  if (Chance(4)) {
    End(index, command, 1, AttemptResult::kNotSent);
    return;
  }
  if (Chance(2)) {
    // Cut on the way: the worker never saw it.
    End(index, command, 1, AttemptResult::kUncertain);
    return;
  }
  // Starts even if the attempt is cancelled, or its instance dies, meanwhile.
  Later(1, [this, command] { BeginTask(command); });
  const auto run_ms = static_cast<int64_t>(2 + Roll(Chance(5) ? 1500 : 120));
  if (Chance(2)) {
    End(index, command, run_ms, AttemptResult::kFailed, Errc::kWorkerFailed);
  } else if (Chance(2)) {
    const bool wrong = breakage_ == Breakage::kLostLooksRefused;
    End(index, command, run_ms,
        wrong ? AttemptResult::kRefused : AttemptResult::kUncertain);
  } else if (Chance(2) || run_ms > command.timeout_.ms_) {
    End(index, command, command.timeout_.ms_, AttemptResult::kUncertain,
        Errc::kWorkerTimeout);
    // The answer comes all the same, late.
    End(index, command, command.timeout_.ms_ + run_ms,
        AttemptResult::kAnswered);
  } else {
    End(index, command, run_ms, AttemptResult::kAnswered);
    if (Chance(5)) End(index, command, run_ms + 1, AttemptResult::kAnswered);
  }
}

void RandomWorld::BeginTask(const StartTask& command) {
  const std::string& path = command.job_->tasks_[command.task_index_].path_;
  checker_.OnStart({command.task_id_, path, command.task_index_});
}

void RandomWorld::End(size_t index, const StartTask& command, int64_t after_ms,
                      AttemptResult verdict, Errc error) {
  AttemptEnded ended;
  ended.attempt_ = command.attempt_;
  ended.result_ = verdict;
  ended.worker_leaving_ = Chance(1);
  if (verdict == AttemptResult::kAnswered) {
    const std::string& path = command.job_->tasks_[command.task_index_].path_;
    ended.answer_ = {200, {}, BodyOf(path, command.task_index_)};
  } else {
    ended.error_ = error;
  }
  const uint64_t life = instances_[index].life_;
  Later(after_ms, [this, index, life, ended] { Deliver(index, life, ended); });
}

void RandomWorld::Carry(size_t index, const ForwardSubmission& command) {
  const uint64_t life = instances_[index].life_;
  size_t peer = 0;
  while (peer < kInstances && instances_[peer].id_ != command.peer_) ++peer;
  if (peer == kInstances || !Connected(index, peer) || Chance(5)) {
    const ForwardEnded ended{command.forward_, false, {}};
    Later(1, [this, index, life, ended] { Deliver(index, life, ended); });
    return;
  }
  if (Chance(3)) {
    LoseLink(index, life, command.forward_);
    return;
  }
  const int copies = command.submission_ && Chance(5) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const RequestId request{++last_request_};
    Waiter waiter{"", "", index, life, command.forward_, i > 0};
    instances_[peer].waiters_[request] = waiter;
    const uint64_t peer_life = instances_[peer].life_;
    const auto delay = static_cast<int64_t>(1 + Roll(3));
    if (command.cancel_) {
      const CancelSubmission cancel{request, *command.submission_, true};
      Later(delay, [=, this] { Deliver(peer, peer_life, cancel); });
      continue;
    }
    const gentiandeal::Submit submit{request, command.submission_, true,
                                     command.remote_execution_, *command.job_};
    Later(delay, [=, this] { Deliver(peer, peer_life, submit); });
  }
  if (Chance(4)) {
    LoseLink(index, life, command.forward_);
    DropPeerWaiters(peer, index, command.forward_);
  }
}

void RandomWorld::Carry(size_t index, const CancelForward& command) {
  for (size_t i = 0; i < kInstances; ++i) {
    DropPeerWaiters(i, index, command.forward_);
  }
}

void RandomWorld::LoseLink(size_t origin, uint64_t life, ForwardId forward) {
  ForwardEnded ended{forward, true, {}};
  ended.answer_.outcome_ = Outcome::kMayHaveRun;
  ended.answer_.error_ = Errc::kPeerLinkLost;
  ended.answer_.started_known_ = false;
  Later(2, [this, origin, life, ended] { Deliver(origin, life, ended); });
}

/// Tells an instance that links of `origin` are gone: of one forward, or all
/// when it is invalid.
void RandomWorld::DropPeerWaiters(size_t index, size_t origin,
                                  ForwardId forward) {
  Instance& instance = instances_[index];
  for (auto& [request, waiter] : instance.waiters_) {
    const bool same = waiter.request_.empty() && waiter.origin_ == origin &&
                      (!forward.valid() || waiter.forward_ == forward);
    if (!same || waiter.done_) continue;
    waiter.done_ = true;
    const CallerDisconnected gone{request};
    const uint64_t life = instance.life_;
    Later(4, [this, index, life, gone] { Deliver(index, life, gone); });
  }
}

void RandomWorld::Act() {
  const size_t index = Roll(kInstances);
  Client& client = clients_[Roll(kClients)];
  const uint64_t action = Roll(1000);
  if (action < 550) {
    SubmitNew(&client);
  } else if (action < 640) {
    const std::string key = "n" + std::to_string(++last_key_);
    Submit(index, key, MakeJob(key), std::nullopt);
  } else if (action < 760) {
    Repeat(&client);
  } else if (action < 790) {
    Reuse(&client);
  } else if (action < 810) {
    Forge(&client);
  } else if (action < 850) {
    if (!client.recent_.empty()) {
      Cancel(&client.recent_[Roll(client.recent_.size())]);
    }
  } else if (action < 855) {
    CancelWave();
  } else if (action < 900) {
    LoseCaller(index);
  } else if (action < 930) {
    ListWorkers(index);
  } else if (action < 950) {
    const size_t other = Roll(kInstances);
    if (other != index) {
      cut_[index][other] = cut_[other][index] = !cut_[index][other];
    }
    for (size_t i = 0; i < kInstances; ++i) ListPeers(i);
  } else if (action < 970) {
    ListPeers(index);
  } else if (action < 978) {
    instances_[index].paused_until_ =
        now_ + config::kPauseThreshold +
        Duration{static_cast<int64_t>(Roll(1500))};
  } else if (action < 983) {
    Kill(index);
  } else if (action < 990) {
    for (int i = 0; i < 30; ++i) SubmitNew(&clients_[Roll(kClients)]);
  }
}

JobSpec RandomWorld::MakeJob(const std::string& key) {
  JobSpec job;
  job.deadline_ = {static_cast<int64_t>(200 + Roll(2500))};
  job.tasks_.resize(1 + Roll(6));
  for (TaskSpec& task : job.tasks_) {
    task.path_ = key;
    task.kind_ = std::string(1, static_cast<char>('a' + Roll(3)));
    task.declared_run_time_ = {static_cast<int64_t>(Roll(150))};
  }
  return job;
}

RequestId RandomWorld::Ask(size_t index, const std::string& key, size_t tasks) {
  const RequestId request{++last_request_};
  const std::string name = "r" + std::to_string(request.value_);
  instances_[index].waiters_[request] = {name, key, 0, 0, {}, false};
  checker_.OnRequest(name, key, tasks);
  return request;
}

void RandomWorld::Submit(size_t index, const std::string& key,
                         const JobSpec& job,
                         const std::optional<SubmissionId>& id) {
  const RequestId request = Ask(index, key, job.tasks_.size());
  Deliver(index, instances_[index].life_,
          gentiandeal::Submit{request, id, false, false, job});
}

void RandomWorld::SubmitNew(Client* client) {
  const Instance& owner = instances_[client->owner_];
  if (client->id_.owner_ != owner.id_.incarnation_ || Roll(100) == 0) {
    // The old numbers stay in `recent_`, to be retried after the owner died.
    client->owner_ = Roll(kInstances);
    client->id_ = instances_[client->owner_].dispatcher_->IssueClient(now_);
    client->last_ = 0;
    client->acknowledged_ = 0;
  }
  if (client->last_ - client->acknowledged_ > 60 || Roll(20) == 0) {
    client->acknowledged_ =
        client->last_ - std::min<uint64_t>(client->last_, 3);
  }
  const std::string key = "s" + std::to_string(++last_key_);
  const SubmissionId id{client->id_, ++client->last_, client->acknowledged_};
  const Submission submission{id, key, MakeJob(key)};
  client->recent_.push_back(submission);
  if (client->recent_.size() > kRecent) {
    client->recent_.erase(client->recent_.begin());
  }
  const size_t index = Roll(2) == 0 ? client->owner_ : Roll(kInstances);
  Submit(index, key, submission.job_, id);
}

void RandomWorld::Repeat(Client* client) {
  if (client->recent_.empty()) return;
  const Submission& old = client->recent_[Roll(client->recent_.size())];
  Submit(Roll(kInstances), old.key_, old.job_, old.id_);
}

void RandomWorld::Reuse(Client* client) {
  if (client->recent_.empty()) return;
  Submission& old = client->recent_[Roll(client->recent_.size())];
  if (old.cancelled_) return;
  old.reused_ = true;
  const std::string key = "o" + std::to_string(++last_key_);
  Submit(Roll(kInstances), key, MakeJob(key), old.id_);
}

void RandomWorld::Forge(Client* client) {
  if (client->recent_.empty()) return;
  const Submission& old = client->recent_[Roll(client->recent_.size())];
  SubmissionId forged = old.id_;
  forged.client_.mac_[Roll(forged.client_.mac_.size())] ^= 1;
  const std::string key = "f" + std::to_string(++last_key_);
  Submit(Roll(kInstances), key, old.job_, forged);
}

void RandomWorld::Cancel(Submission* submission) {
  if (submission->reused_) return;
  submission->cancelled_ = true;
  const size_t index = Roll(kInstances);
  const RequestId request =
      Ask(index, submission->key_, submission->job_.tasks_.size());
  Deliver(index, instances_[index].life_,
          CancelSubmission{request, submission->id_, false});
}

void RandomWorld::CancelWave() {
  for (Client& client : clients_) {
    for (Submission& submission : client.recent_) Cancel(&submission);
  }
}

void RandomWorld::LoseCaller(size_t index) {
  Instance& instance = instances_[index];
  for (auto& [request, waiter] : instance.waiters_) {
    if (waiter.done_ || waiter.request_.empty() || Roll(4) != 0) continue;
    waiter.done_ = true;
    checker_.OnCallerGone(waiter.request_);
    Deliver(index, instance.life_, CallerDisconnected{request});
    return;
  }
}

}  // namespace gentiandeal
