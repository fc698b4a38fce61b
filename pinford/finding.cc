#include "pinford/finding.h"

#include <algorithm>
#include <tuple>

namespace pinford {

std::string Finding::ToString() const {
  std::string place = file;
  if (line > 0) place += ":" + std::to_string(line);
  return place + ": " + text;
}

void Findings::Add(std::string_view file, int line, std::string text) {
  list_.push_back({std::string(file), line, std::move(text)});
}

std::string Findings::ToString() const {
  std::vector<Finding> sorted = list_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Finding& a, const Finding& b) {
                     return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                   });
  std::string out;
  for (const Finding& f : sorted) out += f.ToString() + "\n";
  return out;
}

}  // namespace pinford
