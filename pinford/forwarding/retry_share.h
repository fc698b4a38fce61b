// This box's share of the retries that all boxes together may send to a
// service.
//
// The bound holds over all boxes, in every window: retries may not exceed a
// ratio of the requests plus a fixed number. Nobody is asked: each box keeps
// to the ratio of its own requests and to an even part of the fixed number, so
// the sum keeps to the bound whatever each of them sees. What an endpoint
// refused counts too, since it arrived there.
//
// How many boxes there are is known late after a start, and too low behind a
// cut. So the fixed number is shared among the most boxes seen of late, and a
// box that has just started takes no part of it.

#ifndef PINFORD_FORWARDING_RETRY_SHARE_H_
#define PINFORD_FORWARDING_RETRY_SHARE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "util/clock.h"

namespace pinford {

class RetryShare {
 public:
  struct Options {
    double ratio = 0.2;  // retries for each request
    double extra = 200;  // more, in a window, over all boxes
    Duration window = seconds(10);
    // Part of the bound that is used: boxes' windows do not begin together,
    // and a box may think that there are fewer boxes than there are.
    double used = 0.8;
    Duration settle = seconds(4);     // after the start, to hear of all boxes
    Duration remember = seconds(60);  // the greatest number of boxes
  };

  RetryShare(Time started, const Options& options)
      : options_(options), started_(started) {}

  void set_options(const Options& options) { options_ = options; }
  // As many boxes live now, this one among them.
  void OnBoxes(Time now, int n);

  void OnRequest(Time now, const std::string& service);
  // Counts a retry if one may be sent now.
  bool Take(Time now, const std::string& service);
  int64_t refused() const { return refused_; }

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> retries;
  };
  void Forget(Time now, Window* w) const;
  // This box's part of the fixed number.
  double Extra(Time now) const;

  Options options_;
  Time started_;
  int boxes_ = 1;
  Time boxes_seen_{};
  std::map<std::string, Window> windows_;
  int64_t refused_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RETRY_SHARE_H_
