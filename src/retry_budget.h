#ifndef GENTIANDEAL_SRC_RETRY_BUDGET_H_
#define GENTIANDEAL_SRC_RETRY_BUDGET_H_

#include <algorithm>

namespace gentiandeal {

/// Bounds further dispatches to a share of the first ones. Starts empty, so
/// the share holds from the first task on.
class RetryBudget {
 public:
  /// Credits one first dispatch.
  /// @param percent Further dispatches allowed for each 100 first ones.
  void OnFirstDispatch(double percent) {
    credit_ = std::min(credit_ + percent / 100, kMaxCredit);
  }
  bool Available() const { return credit_ >= 1; }
  /// Takes one further dispatch; it must be available.
  void Take() { credit_ -= 1; }

 private:
  static constexpr double kMaxCredit = 64;
  double credit_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_RETRY_BUDGET_H_
