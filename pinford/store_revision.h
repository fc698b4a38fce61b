// Orders the states of the store, also across restores.
//
// The store numbers its changes with increasing revisions. A store that is
// restored from a copy continues at the copy's revision and assigns the later
// numbers again, to other changes. Each restore increases its era by one. A
// revision alone therefore orders nothing; era and revision together do, for
// all boxes alike.
//
// Both fit into one number that preserves their order. Peers' messages carry
// it, and planners use it to fence their orders. A store that reports no era is
// in era 0.

#ifndef PINFORD_STORE_REVISION_H_
#define PINFORD_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <optional>

namespace pinford {

class StoreRevision {
 public:
  // Enough for ten years at 3,200 changes a second.
  static constexpr int kNumberBits = 40;
  static constexpr uint64_t kMaxNumber = (uint64_t{1} << kNumberBits) - 1;
  static constexpr uint64_t kMaxEra = (uint64_t{1} << (64 - kNumberBits)) - 1;

  // Lower than all others. Also stands for "no such key".
  constexpr StoreRevision() = default;
  // Returns nullopt if a value is out of range.
  static constexpr std::optional<StoreRevision> Make(uint64_t era,
                                                     uint64_t number) {
    if (era > kMaxEra || number > kMaxNumber) return std::nullopt;
    return FromPacked(era << kNumberBits | number);
  }
  static constexpr StoreRevision FromPacked(uint64_t packed) {
    StoreRevision r;
    r.packed_ = packed;
    return r;
  }

  constexpr uint64_t era() const { return packed_ >> kNumberBits; }
  // The store's own revision number.
  constexpr uint64_t number() const { return packed_ & kMaxNumber; }
  constexpr uint64_t packed() const { return packed_; }

  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) = default;

 private:
  uint64_t packed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_STORE_REVISION_H_
