#ifndef GENTIANDEAL_TESTS_PROCESS_LEDGER_H_
#define GENTIANDEAL_TESTS_PROCESS_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "harness.h"
#include "invariants.h"
#include "job_json.h"

namespace gentiandeal::process {

/// Identity of submissions, as a caller holds it.
struct Identity {
  std::string client_;
  uint64_t sequence_ = 0;
};

/// Fetches a client id. Empty when the instance does not answer.
std::string FetchClient(const Address& instance);

/// Shape of a job whose tasks are all alike.
struct JobShape {
  uint32_t tasks_ = 1;
  int64_t run_ms_ = 0;
  size_t bytes_ = 16;
  Duration deadline_ = {};
};

/// Sends jobs whose tasks can be told from their paths, keeps every answer,
/// and compares both with the starts that the workers logged.
class Ledger {
 public:
  Ledger();

  /// Sends a submission, or sends it again under the same name.
  /// @param name Names the submission; letters and digits.
  /// @returns the index of the request.
  size_t Submit(const Address& to, const std::string& name,
                const JobShape& shape, const Identity& identity = {});
  /// Asks for the cancellation of a submission.
  size_t Cancel(const Address& to, const std::string& name,
                const Identity& identity);
  void GiveUp(size_t request);
  bool WaitAll(Duration patience = kPatience) {
    return caller_.WaitAll(patience);
  }

  Caller& caller() { return caller_; }
  /// False without a whole answer.
  bool Answered(size_t request) const;
  /// Meaningful when answered.
  JobAnswer Answer(size_t request) const;
  /// Requests answered with this outcome.
  size_t Count(Outcome outcome) const;

  /// Paths of one task, as workers log it.
  std::string PathOf(const std::string& name, uint16_t index) const;

  /// Feeds everything to the checker. Each violation fails the test.
  void Check(const std::vector<LoggedStart>& starts) const;
  /// Violations, for tests of the check itself.
  std::vector<Violation> Violations(
      const std::vector<LoggedStart>& starts) const;

 private:
  struct Request {
    std::string name_;
    bool given_up_ = false;
  };
  std::string BodyOf(const std::string& name, uint16_t index) const;

  Caller caller_;
  std::map<std::string, JobShape> shapes_;
  std::vector<Request> requests_;
};

}  // namespace gentiandeal::process

#endif  // GENTIANDEAL_TESTS_PROCESS_LEDGER_H_
