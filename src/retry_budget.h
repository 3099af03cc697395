#ifndef GENTIANDEAL_SRC_RETRY_BUDGET_H_
#define GENTIANDEAL_SRC_RETRY_BUDGET_H_

#include <algorithm>

namespace gentiandeal {

/// Limits repeated dispatches of tasks to a percentage of first dispatches. The
/// budget starts empty, so the limit holds from the first task on.
class RetryBudget {
 public:
  /// Adds the credit for one first dispatch.
  /// @param percent Repeated dispatches allowed per 100 first dispatches.
  void OnFirstDispatch(double percent) {
    credit_ = std::min(credit_ + percent / 100, kMaxCredit);
  }
  /// @returns true if a repeated dispatch is allowed now.
  bool Available() const { return credit_ >= 1; }
  /// Uses the credit for one repeated dispatch, which must be available.
  void Take() { credit_ -= 1; }

 private:
  /// Largest burst of repeated dispatches that unused credit allows.
  static constexpr double kMaxCredit = 64;
  double credit_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RETRY_BUDGET_H_
