#ifndef GENTIANDEAL_SRC_LIST_LIMIT_H_
#define GENTIANDEAL_SRC_LIST_LIMIT_H_

#include <cstddef>

namespace gentiandeal {

/// Notices when a list starts or ceases to hold more than can be used, so that
/// each change is told once.
class ListLimit {
 public:
  enum class Change : unsigned char { kNone, kExceeded, kKeptAgain };

  explicit ListLimit(size_t limit) : limit_(limit) {}

  Change On(size_t listed) {
    const bool exceeds = listed > limit_;
    if (exceeds == exceeded_) return Change::kNone;
    exceeded_ = exceeds;
    return exceeds ? Change::kExceeded : Change::kKeptAgain;
  }
  size_t limit() const { return limit_; }

 private:
  size_t limit_;
  bool exceeded_ = false;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LIST_LIMIT_H_
