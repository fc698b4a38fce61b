// Tracks the latest era of the store that a box has seen (see
// store_revision.h).
//
// One instance is shared by everything on a box that receives data from the
// store, directly or through peers. An era above the known one means that the
// store was restored from a copy: its last acknowledged writes may be lost, and
// everything ordered by its revisions has to start over. An answer from a lower
// era is late and is no evidence of what the store holds now.

#ifndef PINFORD_STORE_ERA_H_
#define PINFORD_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace pinford {

class StoreEra {
 public:
  // Called before the answer that carries the higher era is passed on.
  using OnIncrease = std::function<void(uint64_t previous, uint64_t now)>;
  void set_on_increase(OnIncrease fn) { on_increase_ = std::move(fn); }

  // Records that data of `era` was received. Returns false if a later era is
  // known. The first era is not an increase: nothing depends on an earlier one
  // yet.
  bool Observe(uint64_t era) {
    if (era < now()) return false;
    const std::optional<uint64_t> previous = std::exchange(era_, era);
    if (previous && *previous < era && on_increase_)
      on_increase_(*previous, era);
    return true;
  }

  // 0 before the first era, and for a store that reports none.
  uint64_t now() const { return era_.value_or(0); }

 private:
  std::optional<uint64_t> era_;
  OnIncrease on_increase_;
};

}  // namespace pinford

#endif  // PINFORD_STORE_ERA_H_
