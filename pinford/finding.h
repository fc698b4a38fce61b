// Validation errors of an input, each with its location.
//
// Checks report all findings of an input at once, so that an operator can fix a
// file in one pass instead of one error at a time.

#ifndef PINFORD_FINDING_H_
#define PINFORD_FINDING_H_

#include <string>
#include <string_view>
#include <vector>

namespace pinford {

struct Finding {
  std::string file;
  int line = 0;  // 1-based; 0 if the finding has no line
  std::string text;

  // "FILE:LINE: TEXT", or "FILE: TEXT" if there is no line.
  std::string ToString() const;
};

class Findings {
 public:
  void Add(std::string_view file, int line, std::string text);
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  // One finding per line, sorted by file and line.
  std::string ToString() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace pinford

#endif  // PINFORD_FINDING_H_
