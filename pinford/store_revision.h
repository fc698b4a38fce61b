// When in the store's life something was.
//
// The store counts its changes: each has a revision, and a later one a higher.
// A store that comes back from a copy goes on from the copy's revision and
// gives out those after it once more, for other changes. Each time it does so
// its era is one higher. So a revision alone orders nothing; era and revision
// together do, for all boxes alike.
//
// Both fit into one number that keeps their order, as peers' messages carry it
// and as planners fence their orders with it. A store that tells no era is in
// era 0.

#ifndef PINFORD_STORE_REVISION_H_
#define PINFORD_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <optional>

namespace pinford {

class StoreRevision {
 public:
  // Ten years at 3,200 changes a second.
  static constexpr int kNumberBits = 40;
  static constexpr uint64_t kMostNumber = (uint64_t{1} << kNumberBits) - 1;
  static constexpr uint64_t kMaxEra = (uint64_t{1} << (64 - kNumberBits)) - 1;

  // Before everything: stands for "no such key", too.
  constexpr StoreRevision() = default;
  // Nothing for what does not fit.
  static constexpr std::optional<StoreRevision> Make(uint64_t era,
                                                     uint64_t number) {
    if (era > kMaxEra || number > kMostNumber) return std::nullopt;
    return FromPacked(era << kNumberBits | number);
  }
  static constexpr StoreRevision FromPacked(uint64_t packed) {
    StoreRevision r;
    r.packed_ = packed;
    return r;
  }

  constexpr uint64_t era() const { return packed_ >> kNumberBits; }
  // The store's own count.
  constexpr uint64_t number() const { return packed_ & kMostNumber; }
  constexpr uint64_t packed() const { return packed_; }

  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) = default;

 private:
  uint64_t packed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_STORE_REVISION_H_
