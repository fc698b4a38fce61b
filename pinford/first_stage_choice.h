// Which first stages a box would rather begin chains at, so that connections
// to them are used again.
//
// A connection that a box has to a runner is kept only for a while after its
// last request: runners say for how long, about a second. A box that spreads
// its requests over n first stages uses each connection n times less often,
// and nearly each request needs a new one. Two preferences, each a part of the
// price of a first stage (EndpointTable::EntryPrice):
//
//   - One to which no connection of this box rests costs more by
//     `new_connection`.
//   - One outside this box's subset of its hall's and model's first stages
//     costs more by `outside`.
//
// Prices never bar: a first stage that is full, slow, or worth less by more
// than the preference is passed by, and where all of a subset is gone others
// are taken at once. A row that is down, leaving or resting is no candidate at
// all, whatever is preferred.
//
// Subsets: first stages stand in an order by their hash, and the boxes of a
// hall in an order of theirs. The box at the part p of the boxes' order takes
// `size` first stages in a row from the part p of theirs. So each first stage
// is in as many subsets as another, but for one or two, and all boxes compute
// theirs without a message. When a box or a first stage comes or goes, places
// move by a part of one, so that few subsets change, and those by one member.
//
// No I/O, no clock: the owner says what is there.

#ifndef PINFORD_FIRST_STAGE_CHOICE_H_
#define PINFORD_FIRST_STAGE_CHOICE_H_

#include <string>
#include <unordered_set>
#include <vector>

#include "pinford/mechanisms.h"
#include "util/clock.h"

namespace pinford {

struct FirstStage {
  std::string endpoint;
  std::string group;  // its hall and model: subsets are taken of each
};

class FirstStageChoice {
 public:
  struct Options {
    // Seconds a token, as all prices. As much as a hand-over within a hall
    // takes: below what load or another hall adds, above the random part of a
    // price.
    double new_connection = 0.0005;
    // Less, so that a connection at rest elsewhere is used before a new one
    // is made within the subset.
    double outside = 0.0002;
    // First stages of a subset, at least: a loss of one then strikes a third
    // of a box's streams.
    int least_size = 3;
    // As many more as each get a request within this time, in which a
    // connection surely rests. Boxes with many requests need no few.
    Duration used_within = milliseconds(750);
    MechanismsOff off;
  };

  explicit FirstStageChoice(const Options& options) : options_(options) {}

  // First stages of a subset where the box sends so many requests a second.
  int SizeFor(double requests) const;
  // What is there now, and this box's place, from 0, among `boxes` of its
  // hall. Costs O(n log n) for n first stages; call it when they change.
  void Update(const std::vector<FirstStage>& all, int place, int boxes,
              int size);
  bool InSubset(const std::string& endpoint) const {
    return subset_.contains(endpoint);
  }
  // What beginning a chain there costs more, in seconds a token.
  double CostOf(const std::string& endpoint, bool connection_rests) const;

 private:
  Options options_;
  std::unordered_set<std::string> subset_;
};

}  // namespace pinford

#endif  // PINFORD_FIRST_STAGE_CHOICE_H_
