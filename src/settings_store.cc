#include "settings_store.h"

#include <deque>

#include "http_client.h"
#include "http_status.h"

namespace gentiandeal {
namespace {

/// Runs one edit: executes the editor's commands on the platform and passes the
/// answers back to the editor.
class EditRunner {
 public:
  EditRunner(event_base* base, ConsulPlatform* platform, SettingsEditor* editor)
      : base_(base), platform_(platform), editor_(editor) {
    delay_timer_ = evtimer_new(base, OnDelayEnded, this);
    limit_timer_ = evtimer_new(base, OnLimitReached, this);
  }

  ~EditRunner() {
    event_free(delay_timer_);
    event_free(limit_timer_);
  }

  EditRunner(const EditRunner&) = delete;
  EditRunner& operator=(const EditRunner&) = delete;

  EditEnded Run(Duration limit) {
    StartTimer(limit_timer_, limit);
    editor_->Start(&outbox_);
    ExecuteCommands();
    event_base_dispatch(base_);
    return ended_;
  }

 private:
  static void StartTimer(event* timer, Duration duration) {
    const timeval time{duration.ms_ / 1000, duration.ms_ % 1000 * 1000};
    evtimer_add(timer, &time);
  }

  static void OnDelayEnded(evutil_socket_t /*fd*/, int16_t /*what*/,
                           void* arg) {
    static_cast<EditRunner*>(arg)->ReadPendingKey();
  }

  static void OnLimitReached(evutil_socket_t /*fd*/, int16_t /*what*/,
                             void* arg) {
    auto* run = static_cast<EditRunner*>(arg);
    run->editor_->OnTimeLimit(&run->outbox_);
    run->ExecuteCommands();
  }

  void ExecuteCommands() {
    EditorOutbox commands;
    commands.swap(outbox_);
    for (EditorCommand& command : commands) {
      std::visit([this](auto& message) { Execute(message); }, command);
    }
  }

  void Execute(const ReadStoreKey& read) {
    pending_key_ = read.key_;
    StartTimer(delay_timer_, read.after_);
  }

  void Execute(const SwapStoreKey& swap) {
    platform_->CompareAndSwap(swap.key_, swap.value_, swap.index_,
                              [this](std::error_code error, SwapResult result) {
                                editor_->OnSwapped(error, result, &outbox_);
                                ExecuteCommands();
                              });
  }

  void Execute(const EditEnded& ended) {
    ended_ = ended;
    event_base_loopbreak(base_);
  }

  void ReadPendingKey() {
    platform_->Get(pending_key_,
                   [this](std::error_code error, const StoreValue& value) {
                     editor_->OnRead(error, value, &outbox_);
                     ExecuteCommands();
                   });
  }

  event_base* base_;
  ConsulPlatform* platform_;
  SettingsEditor* editor_;
  EditorOutbox outbox_;
  std::string pending_key_;
  EditEnded ended_;
  event* delay_timer_ = nullptr;
  event* limit_timer_ = nullptr;
};

}  // namespace

SettingsStore::SettingsStore(const Address& platform)
    : base_(event_base_new()), platform_(base_.get(), platform, {}) {}

std::error_code SettingsStore::Read(const std::string& key, StoreValue* out) {
  std::error_code ended;
  platform_.Get(key, [&](std::error_code error, const StoreValue& value) {
    ended = error;
    *out = value;
    event_base_loopbreak(base_.get());
  });
  event_base_dispatch(base_.get());
  return ended;
}

std::error_code SettingsStore::List(const std::string& service,
                                    std::vector<ListedService>* out) {
  std::error_code ended;
  platform_.List(service, [&](std::error_code error,
                              const std::vector<ListedService>& services) {
    ended = error;
    *out = services;
    event_base_loopbreak(base_.get());
  });
  event_base_dispatch(base_.get());
  return ended;
}

std::error_code SettingsStore::ReadContent(SettingsContent* out,
                                           Diagnostics* diagnostics) {
  StoreValue value;
  const std::error_code error = Read(kSettingsStoreKey, &value);
  if (error || !value.found_) return error;
  return ReadDocument(value.value_, out, nullptr, diagnostics);
}

EditEnded SettingsStore::Run(SettingsEditor* editor, Duration limit) {
  return EditRunner(base_.get(), &platform_, editor).Run(limit);
}

NewestInstanceSettings FetchNewestSettings(
    const std::vector<Address>& instances, Duration timeout) {
  NewestInstanceSettings newest;
  for (const Address& instance : instances) {
    const HttpResponse answer =
        Fetch(instance, {"GET", "/v1/settings", {}, {}}, timeout);
    if (!answer.complete_ || answer.status_ != http_status::kOk) continue;
    ++newest.answered_;
    SettingsContent content;
    Diagnostics diagnostics;
    if (ReadDocument(answer.body_, &content, nullptr, &diagnostics)) continue;
    if (content.revision_.value_ > newest.content_.revision_.value_) {
      newest.content_ = std::move(content);
    }
  }
  return newest;
}

}  // namespace gentiandeal
