#ifndef GENTIANDEAL_TESTS_INVARIANTS_H_
#define GENTIANDEAL_TESTS_INVARIANTS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentiandeal_p.h"

namespace gentiandeal {

/// What must hold between the starts that workers saw and the answers that
/// callers got.
enum class Invariant : uint8_t {
  kTaskStartsOnce,       ///< No task of a submission starts twice.
  kNotRunIsTrue,         ///< Nothing behind a "not run" ever started.
  kAnswerIsWhole,        ///< Complete means every task, each of them run.
  kAnswerIsOwn,          ///< The bytes are those of the caller's own tasks.
  kStartedIsExact,       ///< A known list names each task that started.
  kRequestAnsweredOnce,  ///< Each request gets one answer.
};

inline std::ostream& operator<<(std::ostream& out, Invariant invariant) {
  constexpr const char* kNames[] = {
      "task-starts-once", "not-run-is-true",  "answer-is-whole",
      "answer-is-own",    "started-is-exact", "request-answered-once"};
  return out << kNames[static_cast<size_t>(invariant)];
}

/// A task that began to run at a worker. Marked refusals are no starts.
struct StartSeen {
  std::string task_id_;     ///< As sent by the dispatcher.
  std::string submission_;  ///< Key of the submission it belongs to.
  uint16_t index_ = 0;
};

/// An answer as a caller got it.
struct AnswerSeen {
  std::string request_;     ///< Key of the request, unique.
  std::string submission_;  ///< Key of what the request asked for.
  Outcome outcome_ = Outcome::kNotRun;
  std::string error_;  ///< Name of the error kind; empty when complete.
  bool started_known_ = true;
  std::vector<uint16_t> started_;
  std::vector<std::string> bodies_;  ///< Of a complete answer, by task.
};

struct Violation {
  Invariant invariant_;
  std::string detail_;
};

/// Gathers what workers and callers saw and compares the two. Times and order
/// play no part, so logs of several processes can be fed one after another.
class InvariantChecker {
 public:
  /// Body that the worker answers for a task of a submission.
  using BodyOf = std::function<std::string(const std::string&, uint16_t)>;

  explicit InvariantChecker(BodyOf body_of) : body_of_(std::move(body_of)) {}

  /// Announces a request for a submission of `tasks` tasks.
  void OnRequest(const std::string& request, const std::string& submission,
                 size_t tasks) {
    tasks_[submission] = tasks;
    open_.insert(request);
  }
  /// A request whose caller left before the answer needs none.
  void OnCallerGone(const std::string& request) { open_.erase(request); }
  void OnStart(StartSeen start) { starts_.push_back(std::move(start)); }
  void OnAnswer(AnswerSeen answer) { answers_.push_back(std::move(answer)); }

  size_t starts() const { return starts_.size(); }
  size_t answers() const { return answers_.size(); }

  /// @param all_answered Whether open requests should have been answered.
  std::vector<Violation> Check(bool all_answered) const {
    std::vector<Violation> found;
    Started started;
    CheckStarts(&started, &found);
    std::set<std::string> answered;
    for (const AnswerSeen& answer : answers_) {
      const bool first = answered.insert(answer.request_).second;
      if (!first) Add(Invariant::kRequestAnsweredOnce, answer, "twice", &found);
      CheckAnswer(answer, started[answer.submission_], &found);
    }
    if (!all_answered) return found;
    for (const std::string& request : open_) {
      if (answered.contains(request)) continue;
      found.push_back({Invariant::kRequestAnsweredOnce, request + ": never"});
    }
    return found;
  }

 private:
  /// Indices started, by submission.
  using Started = std::map<std::string, std::set<uint16_t>>;

  static void Add(Invariant invariant, const AnswerSeen& answer,
                  const std::string& detail, std::vector<Violation>* found) {
    found->push_back({invariant, answer.request_ + " for " +
                                     answer.submission_ + ": " + detail});
  }

  void CheckStarts(Started* started, std::vector<Violation>* found) const {
    std::set<std::string> ids;
    for (const StartSeen& start : starts_) {
      const bool new_id = ids.insert(start.task_id_).second;
      const bool new_task =
          (*started)[start.submission_].insert(start.index_).second;
      if (new_id && new_task) continue;
      found->push_back(
          {Invariant::kTaskStartsOnce, start.submission_ + " task " +
                                           std::to_string(start.index_) +
                                           " id " + start.task_id_});
    }
  }

  void CheckAnswer(const AnswerSeen& answer, const std::set<uint16_t>& started,
                   std::vector<Violation>* found) const {
    switch (answer.outcome_) {
      case Outcome::kNotRun:
        if (!RequestOnly(answer.error_) && !started.empty()) {
          Add(Invariant::kNotRunIsTrue, answer, answer.error_, found);
        }
        return;
      case Outcome::kMayHaveRun:
        CheckStarted(answer, started, found);
        return;
      case Outcome::kComplete:
        CheckWhole(answer, started, found);
        return;
    }
  }

  /// Refusals of a request that leave the submission it names untouched.
  static bool RequestOnly(const std::string& error) {
    return error == Name(Errc::kWindowFull) ||
           error == Name(Errc::kBadClientId) ||
           error == Name(Errc::kSubmissionMismatch);
  }

  static void CheckStarted(const AnswerSeen& answer,
                           const std::set<uint16_t>& started,
                           std::vector<Violation>* found) {
    if (!answer.started_known_) return;
    const std::set<uint16_t> told(answer.started_.begin(),
                                  answer.started_.end());
    const bool covers =
        std::includes(told.begin(), told.end(), started.begin(), started.end());
    if (covers && !told.empty()) return;
    Add(Invariant::kStartedIsExact, answer, answer.error_, found);
  }

  void CheckWhole(const AnswerSeen& answer, const std::set<uint16_t>& started,
                  std::vector<Violation>* found) const {
    const auto expected = tasks_.find(answer.submission_);
    const size_t tasks = expected == tasks_.end() ? 0 : expected->second;
    if (answer.bodies_.size() != tasks || started.size() != tasks) {
      Add(Invariant::kAnswerIsWhole, answer,
          std::to_string(answer.bodies_.size()) + " answers, " +
              std::to_string(started.size()) + " starts",
          found);
    }
    for (size_t i = 0; i < answer.bodies_.size(); ++i) {
      const auto index = static_cast<uint16_t>(i);
      if (answer.bodies_[i] == body_of_(answer.submission_, index)) continue;
      Add(Invariant::kAnswerIsOwn, answer, "task " + std::to_string(i), found);
    }
  }

  BodyOf body_of_;
  std::map<std::string, size_t> tasks_;
  std::set<std::string> open_;
  std::vector<StartSeen> starts_;
  std::vector<AnswerSeen> answers_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_TESTS_INVARIANTS_H_
