// Records at which position of a box's own sequence of changes to the list
// (ListChanges) each version of the store's list was reached.
//
// A box that has the list of some version from one peer can so get the changes
// since from another, instead of the full list: all that the store's list
// changed after that version, this box recorded after the position at which it
// reached that version.

#ifndef PINFORD_FORWARDING_LIST_VERSIONS_H_
#define PINFORD_FORWARDING_LIST_VERSIONS_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>

namespace pinford {

class ListVersions {
 public:
  // Older ones are dropped. At five versions a second, the fastest at which a
  // mirror gets them, these are the versions of the last 50 s.
  static constexpr size_t kMaxVersions = 256;

  // The list reached `version`, and the sequence of changes was at `position`.
  // `version` must be higher than all recorded ones.
  void Record(uint64_t version, uint64_t position) {
    positions_[version] = position;
    if (positions_.size() > kMaxVersions) positions_.erase(positions_.begin());
  }
  // Versions before a restore of the store say nothing of those after it.
  void Clear() { positions_.clear(); }

  // A position before all changes that a list of `version` lacks. nullopt if
  // `version` is older than all recorded ones.
  std::optional<uint64_t> PositionOf(uint64_t version) const {
    const auto above = positions_.upper_bound(version);
    if (above == positions_.begin()) return std::nullopt;
    return std::prev(above)->second;
  }

 private:
  std::map<uint64_t, uint64_t> positions_;  // by version
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_LIST_VERSIONS_H_
