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
//
// Losses are not even, so a part can be lent (RetryLoans has who asks whom).
// The sum keeps to the bound through that, too:
// - What is lent counts in the lender's window at once, and for the loan's
//   validity longer than a retry of its own. The borrower uses it within that
//   validity of its ask, which came first. So each use falls into no window
//   whose other uses the lender has not counted it against. What is lost or
//   late is used by nobody.
// - Only what this life's own requests have earned is lent, and only what those
//   still earn at the loan's end; never of the fixed number, of which a new
//   life takes its part anew, within a window of the last one's.
// - A new life forgets what the last one took and lent. It lends once no use of
//   that can fall into a window with what it lends: after a window and a loan.
//   With lending from `settle` on, the tester's sum exceeded the bound by 2.4
//   in a window where it kept 3.2 below without loans; so it keeps 2.2 below
//   (RetryLoans.DeathsAddNothingByWhatWasLent, deaths one by one and of all).
//
// The last part of a share is kept for those whose callers lose most: streams
// that have begun, and urgent requests. They alone use what is borrowed: others
// do not wait for a retry, so that a loan would come too late for them.

#ifndef PINFORD_FORWARDING_RETRY_SHARE_H_
#define PINFORD_FORWARDING_RETRY_SHARE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "util/clock.h"

namespace pinford {

// Who needs a retry.
enum class RetryClass {
  kBegunStream,  // its caller has a part that it would have to throw away
  kUrgent,       // of the most urgent tier
  kOther,        // its caller is told at once, and can come back
};
inline constexpr RetryClass kRetryClasses[] = {
    RetryClass::kBegunStream, RetryClass::kUrgent, RetryClass::kOther};

std::string_view RetryClassName(RetryClass need);

class RetryShare {
 public:
  struct Options {
    double ratio = 0.2;  // retries for each request
    double extra = 200;  // more, in a window, over all boxes
    Duration window = seconds(10);
    // Part of the bound that is used: boxes' windows do not begin together,
    // and a box may think that there are fewer boxes than there are.
    double used = 0.8;
    Duration settle_time = seconds(4);  // after the start, to hear of all boxes
    Duration remember = seconds(60);    // the greatest number of boxes
    // Part of the share kept for begun streams and urgent requests. It has to
    // last until a loan comes, for the streams that a lost runner cuts at one
    // box; a greater one would refuse others what nobody needs in most windows.
    double reserved_share = 0.25;
    // A loan ends so long after the ask. A stream waits 2.5 s for a retry;
    // longer loans would be of little use to it and bind the lender for longer.
    Duration loan = seconds(1);
    // Who is refused within so long is counted once: requests that stand still
    // look for a retry at each tick of the forwarder, streams that wait for one
    // at each third. It is longer where Greatest comes later than that.
    Duration look = milliseconds(20);
  };

  RetryShare(Time started, const Options& options)
      : options_(options), started_(started), looked_(started) {}

  void set_options(const Options& options) { options_ = options; }
  const Options& options() const { return options_; }
  // As many boxes live now, this one among them.
  void OnBoxCount(Time now, int n);
  int boxes() const { return boxes_; }

  void OnRequest(Time now, const std::string& service);
  // Counts a retry if one may be sent now.
  bool Take(Time now, const std::string& service,
            RetryClass need = RetryClass::kBegunStream);
  int64_t refused() const;
  int64_t refused(RetryClass need) const {
    return refused_[static_cast<int>(need)];
  }

  // The service for which begun streams and urgent requests lack the most
  // retries now: as many as were refused since it was last asked; or, where as
  // many again as were just taken would not be left, what lacks to that.
  struct Shortage {
    std::string service;
    int count = 0;
  };
  Shortage Greatest(Time now);
  // Counts up to `most` retries as lent, and says how many: none shortly after
  // the start, nor while this box lacks some itself, nor what it may need.
  int Lend(Time now, const std::string& service, int most);
  // `n` retries that a peer has counted may be used before `until`.
  void Borrow(const std::string& service, int n, Time until);

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> retries;   // of this box's share
    std::deque<Time> lent;      // one for each
    std::deque<Time> borrowed;  // ends, one for each
    // Of begun streams and urgent requests.
    std::deque<Time> taken;   // within the last `look`
    std::deque<Time> lacked;  // within LackSpan
  };
  void Forget(Time now, Window* w) const;
  // How far back refusals count. A refusal right after one tick is asked for at
  // the next, which comes late where a box is busy: with `look` alone it was
  // forgotten by then, and 7 of 60 runs of two whole boxes borrowed nothing
  // (RetryLoans.ARefusalIsAskedForHoweverLateTheNextTickIs).
  Duration LackSpan(Time now) const;
  // This box's part of the fixed number.
  double Extra(Time now) const;
  double Bound(Time now, const Window& w) const;
  // What the requests earn that still count when a loan of now ends.
  double EarnedForLoan(Time now, const Window& w) const;
  int Lacks(Time now, const Window& w) const;

  Options options_;
  Time started_;
  Time looked_;  // when Greatest was last asked
  int boxes_ = 1;
  Time boxes_seen_{};
  std::map<std::string, Window> windows_;
  int64_t refused_[std::size(kRetryClasses)] = {};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RETRY_SHARE_H_
