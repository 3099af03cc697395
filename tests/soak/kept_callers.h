#ifndef GENTIANDEAL_TESTS_SOAK_KEPT_CALLERS_H_
#define GENTIANDEAL_TESTS_SOAK_KEPT_CALLERS_H_

#include <functional>
#include <iostream>
#include <memory>
#include <vector>

#include "fault_plan.h"
#include "process/kept_caller.h"
#include "soak_record.h"

namespace gentiandeal::soak {

/// Callers that use their connections to instances until these end, with pauses
/// around the limits of the configuration, and the platform's rule about them.
/// No fault hits their paths.
class KeptCallers {
 public:
  explicit KeptCallers(uint64_t seed) : draw_(seed) {}

  void Add(const Address& instance) {
    constexpr int kOfEach = 8;
    for (int i = 0; i < kOfEach; ++i) callers_.emplace_back().to_ = instance;
  }

  /// The process of an instance is killed, with all its connections.
  void Excuse(const Address& instance) {
    for (One& one : callers_) one.excused_ |= one.to_ == instance;
  }

  /// @param job Makes the request of one more job.
  void Step(Time now, const std::function<HttpRequest()>& job) {
    for (One& one : callers_) {
      if (one.connection_ != nullptr) Read(&one, now);
      if (now >= one.due_) Send(&one, now, job);
    }
    stepped_at_ = now;
  }

  size_t answered() const { return answered_; }
  /// Whole requests whose connections ended without an answer.
  size_t lost() const { return lost_; }

 private:
  /// From the last byte of a request on, by the platform's rule.
  static constexpr Duration kLossSlack{200};
  static constexpr Time kWhenAnswered{INT64_MAX};

  struct One {
    Address to_;
    std::unique_ptr<process::KeptCaller> connection_ = nullptr;
    Time due_ = {};     ///< When it sends.
    std::string path_;  ///< Of the request, and what isn't sent of it yet.
    std::string rest_;
    Time whole_at_ = {};
    bool used_ = false;  ///< A request was answered on the connection.
    bool excused_ = false;
  };

  void Read(One* one, Time now) {
    const bool awaits = one->due_ == kWhenAnswered || !one->rest_.empty();
    if (!one->connection_->Read() || (!awaits && !one->connection_->ended())) {
      return;
    }
    if (one->connection_->status() != 0) {
      answered_ += awaits ? 1 : 0;
      one->used_ = true;
    } else if (one->due_ == kWhenAnswered && one->used_ && !one->excused_ &&
               stepped_at_ - one->whole_at_ > kLossSlack) {
      ++lost_;
      std::cout << "without an answer: " << one->path_ << " to "
                << ToString(one->to_) << " at " << Clock(one->whole_at_)
                << ", ended at " << Clock(now) << "\n";
    }
    if (one->connection_->ended()) one->connection_.reset();
    one->rest_.clear();
    one->due_ = now + Duration{draw_.Between(200, 3000)};
  }

  void Send(One* one, Time now, const std::function<HttpRequest()>& job) {
    if (one->connection_ == nullptr) {
      one->connection_ = std::make_unique<process::KeptCaller>(one->to_);
      one->used_ = one->excused_ = false;
    }
    if (one->rest_.empty()) {
      const HttpRequest nowhere{"GET", "/nowhere", {{"Host", "desk"}}, ""};
      const HttpRequest request = draw_.Chance(30) ? job() : nowhere;
      one->path_ = request.path_;
      one->rest_ = process::ToText(request);
      if (draw_.Chance(30)) {
        const size_t part = one->rest_.size() / 3;
        one->connection_->Send(one->rest_.substr(0, part));
        one->rest_.erase(0, part);
        one->due_ = now + Duration{draw_.Between(50, 1200)};
        return;
      }
    }
    one->connection_->Send(one->rest_);
    one->rest_.clear();
    one->whole_at_ = now;
    one->due_ = kWhenAnswered;
  }

  Draw draw_;
  std::vector<One> callers_;
  Time stepped_at_;
  size_t answered_ = 0;
  size_t lost_ = 0;
};

}  // namespace gentiandeal::soak

#endif  // GENTIANDEAL_TESTS_SOAK_KEPT_CALLERS_H_
