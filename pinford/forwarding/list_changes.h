// Which entries of a list changed after a moment, so that a peer that has the
// list as of then is told of these alone.
//
// Moments are counted by the changes of this list on this box; they mean
// nothing elsewhere. Each id is kept once, at its last change, so that a change
// costs the same however long the list is and however much it changes.

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
  // The entry of that id was taken, changed or dropped.
  void Record(const std::string& id);
  // Nobody needs to be told of it any more who has heard of what came later:
  // who has not is not told changes, but the whole.
  void Erase(const std::string& id);

  // Now.
  uint64_t at() const { return at_; }
  // The ids that changed after `at`, in the order of their last changes.
  // Nothing if that is not known: it is no moment of this list, or so long ago
  // that changes after it were forgotten.
  std::optional<std::vector<std::string>> Since(uint64_t at) const;

 private:
  uint64_t at_ = 0;
  uint64_t last_erased_ = 0;  // the last change that was
  std::map<uint64_t, std::string> ids_;
  std::unordered_map<std::string, uint64_t> sequence_of_;  // by id
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_LIST_CHANGES_H_
