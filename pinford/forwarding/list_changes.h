// Records which entries of a list changed, so that a peer that has the list as
// of some sequence number gets only the changes since.
//
// Sequence numbers count this box's changes to the list; they mean nothing
// elsewhere. Each id is kept once, at its last change, so the cost of a change
// does not depend on the length of the list or the number of changes.

#ifndef PINFORD_FORWARDING_LIST_CHANGES_H_
#define PINFORD_FORWARDING_LIST_CHANGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pinford {

class ListChanges {
 public:
  // The entry with that id was added, changed or removed.
  void Record(const std::string& id);
  // Drops an old change. Peers that are not past it get the full list instead
  // of changes.
  void Erase(const std::string& id);

  // The current sequence number.
  uint64_t at() const { return at_; }
  // The ids that changed after `at`, ordered by their last changes. nullopt if
  // `at` is no sequence number of this list, or changes after it were erased.
  std::optional<std::vector<std::string>> Since(uint64_t at) const;

 private:
  uint64_t at_ = 0;
  uint64_t last_erased_ = 0;  // greatest erased sequence number
  std::map<uint64_t, std::string> ids_;
  std::unordered_map<std::string, uint64_t> sequence_of_;  // by id
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_LIST_CHANGES_H_
