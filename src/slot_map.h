#ifndef GENTIANDEAL_SRC_SLOT_MAP_H_
#define GENTIANDEAL_SRC_SLOT_MAP_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace gentiandeal {

/// Container of objects with stable addresses and lookup by id in constant
/// time. The slots of the container are reused, ids are not: they combine the
/// index of a slot with a generation number, so the id of a removed object
/// finds nothing.
template <typename T, typename IdType>
class SlotMap {
 public:
  /// @param capacity Maximum number of objects, up to `kMaxCapacity`.
  explicit SlotMap(uint32_t capacity) : capacity_(capacity) {}

  static constexpr uint32_t kMaxCapacity = 1u << 20;

  bool full() const { return size_ == capacity_; }
  uint32_t size() const { return size_; }

  /// Constructs an object from `args` and returns its id. The container must
  /// not be full.
  template <typename... Args>
  IdType Add(Args&&... args) {
    const uint32_t index = AllocateSlot();
    Slot& slot = slots_[index];
    slot.id_ = IdType{(++last_generation_ << kIndexBits) | index};
    slot.value_.emplace(std::forward<Args>(args)...);
    ++size_;
    return slot.id_;
  }

  /// @returns null for the id of a removed object and for an unknown id.
  T* Find(IdType id) {
    const uint64_t index = id.value_ & (kMaxCapacity - 1);
    if (!id.valid() || index >= slots_.size()) return nullptr;
    Slot& slot = slots_[index];
    return slot.id_ == id ? &*slot.value_ : nullptr;
  }

  /// Destroys the object of `id`, which must be in the container.
  void Remove(IdType id) {
    const auto index = static_cast<uint32_t>(id.value_ & (kMaxCapacity - 1));
    slots_[index].value_.reset();
    slots_[index].id_ = IdType{};
    free_slots_.push_back(index);
    --size_;
  }

  /// Ids of all objects, by index of their slots.
  std::vector<IdType> Ids() const {
    std::vector<IdType> ids;
    for (const Slot& slot : slots_) {
      if (slot.id_.valid()) ids.push_back(slot.id_);
    }
    return ids;
  }

 private:
  static constexpr int kIndexBits = 20;

  struct Slot {
    IdType id_;
    std::optional<T> value_;
  };

  /// @returns the index of an unused slot.
  uint32_t AllocateSlot() {
    if (free_slots_.empty()) {
      slots_.emplace_back();
      return static_cast<uint32_t>(slots_.size() - 1);
    }
    const uint32_t index = free_slots_.back();
    free_slots_.pop_back();
    return index;
  }

  uint32_t capacity_;
  uint32_t size_ = 0;
  uint64_t last_generation_ = 0;
  std::deque<Slot> slots_;
  std::vector<uint32_t> free_slots_;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_SLOT_MAP_H_
