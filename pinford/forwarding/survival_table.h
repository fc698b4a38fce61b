// Remembers which parts of prompts endpoints have survived, and when last.
//
// It is kept while nothing crashes too: a part that was survived many times
// before the first crash is less likely to be its cause than one that never
// was.
//
// Callers choose what is recorded, so the size is bounded. The part that was
// survived longest ago is forgotten first: parts in constant use stay, however
// many others occur once.

#ifndef PINFORD_FORWARDING_SURVIVAL_TABLE_H_
#define PINFORD_FORWARDING_SURVIVAL_TABLE_H_

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "util/clock.h"

namespace pinford {

class SurvivalTable {
 public:
  explicit SurvivalTable(size_t capacity) : capacity_(capacity) {}

  // An endpoint has survived a run with that part that it had begun to answer
  // at `at`.
  void Record(Time at, const std::string& fingerprint);
  // Time::min() if it is not known to have been survived.
  Time LastOf(const std::string& fingerprint) const;
  size_t size() const { return index_.size(); }

  bool empty() const { return index_.empty(); }

 private:
  struct Entry {
    std::string fingerprint;
    Time last;
  };

  size_t capacity_;
  std::list<Entry> entries_;  // the most recent first
  std::unordered_map<std::string, std::list<Entry>::iterator> index_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SURVIVAL_TABLE_H_
