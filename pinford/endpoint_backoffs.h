// Until when endpoints want nothing from this box.
//
// An endpoint that turns a request away may ask for rest: no more from this box
// for so many seconds. That is its own word, and stronger than anything that
// the box knows of it: what it would have room for, that it answers, that it
// has just finished another request. So a rest is kept apart from the rows of
// EndpointTable, which come and go with the list, begin anew with each life and
// are put right by successes. It ends with its time alone.
//
//   rests.OnAsked(now, "a", seconds(3));
//   if (rests.Left(now, "a") > Duration(0)) ...  // not to be sent to
//
// Rests are this box's own: an endpoint asks the one that it turned away.

#ifndef PINFORD_ENDPOINT_BACKOFFS_H_
#define PINFORD_ENDPOINT_BACKOFFS_H_

#include <string>
#include <unordered_map>

#include "util/clock.h"

namespace pinford {

class EndpointRests {
 public:
  // More is not believed: a damaged figure must not take an endpoint away for
  // good. One request then finds out whether it still holds.
  static constexpr Duration kLongest = seconds(600);

  // The endpoint's answer, read at `now`, asks for `rest`. Of two rests that
  // overlap the one that ends last holds: answers overtake one another.
  void OnAsked(Time now, const std::string& endpoint, Duration rest);
  // What is left of its rest; 0 when there is none.
  Duration Left(Time now, const std::string& endpoint) const;
  // Endpoints that rest now.
  size_t Count(Time now) const;

 private:
  // Those that rest, and those whose rest has ended since the last OnAsked.
  std::unordered_map<std::string, Time> until_;
};

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_BACKOFFS_H_
