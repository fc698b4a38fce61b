#include "pinford/first_stage_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include "util/hash.h"

namespace pinford {

int FirstStageChoice::SizeFor(double requests) const {
  const double used = requests * ToSeconds(options_.used_within);
  return std::max(options_.least_size, static_cast<int>(used));
}

void FirstStageChoice::Update(const std::vector<FirstStage>& all, int place,
                              int boxes, int size) {
  using Ordered = std::vector<std::pair<uint64_t, const FirstStage*>>;
  std::map<std::string_view, Ordered> groups;
  for (const FirstStage& s : all) {
    groups[s.group].emplace_back(Hash64(s.endpoint), &s);
  }
  subset_.clear();
  for (auto& [group, stages] : groups) {
    std::sort(stages.begin(), stages.end());
    const size_t n = stages.size();
    const size_t begin = n * place / std::max(1, boxes);
    for (size_t i = 0; i < std::min<size_t>(n, size); i++) {
      subset_.insert(stages[(begin + i) % n].second->endpoint);
    }
  }
}

double FirstStageChoice::CostOf(const std::string& endpoint,
                                bool connection_rests) const {
  double cost = 0;
  if (!connection_rests && options_.off.on(Mechanism::kRestingEntry)) {
    cost += options_.new_connection;
  }
  if (!InSubset(endpoint) && options_.off.on(Mechanism::kEntrySubset)) {
    cost += options_.outside;
  }
  return cost;
}

}  // namespace pinford
