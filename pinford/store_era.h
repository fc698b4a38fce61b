// Which era of the store's life a box knows of (store_revision.h).
//
// All that hears from the store for one box shares it: each answer's era, and
// what peers have from the store. A higher era than the one known means that
// the store has come back from a copy: what it acknowledged last may be gone,
// and what goes by its revisions begins anew. A lower one means that the answer
// is late and says nothing of what the store holds now.

#ifndef PINFORD_STORE_ERA_H_
#define PINFORD_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace pinford {

class StoreEra {
 public:
  // Called before the answer that shows the rise is handed on.
  using OnIncrease = std::function<void(uint64_t previous, uint64_t now)>;
  void set_on_rise(OnIncrease fn) { on_increase_ = std::move(fn); }

  // Something of `era` has come. False if a later one is known. The first is
  // no rise: nothing goes by an earlier one yet.
  bool Saw(uint64_t era) {
    if (era < now()) return false;
    const std::optional<uint64_t> previous = std::exchange(era_, era);
    if (previous && *previous < era && on_increase_)
      on_increase_(*previous, era);
    return true;
  }

  // 0 before the first, and of a store that tells none.
  uint64_t now() const { return era_.value_or(0); }

 private:
  std::optional<uint64_t> era_;
  OnIncrease on_increase_;
};

}  // namespace pinford

#endif  // PINFORD_STORE_ERA_H_
