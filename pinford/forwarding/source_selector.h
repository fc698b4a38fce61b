// Whom a box asks for what the platform's store holds, so that few boxes ask
// the store itself.
//
// In each hall the live boxes are ranked, by rendezvous hashing over their
// names. The first mirrors the store, the next ones stand in while it fails,
// and all others ask it: the first of their hall, else the stand-ins, else
// those of other halls. That bounds the calls to the store by the number of
// halls, whatever fails (StoreTaskSelector decides who calls).
//
// A source fails when it says so, when its proof is old, or when it does not
// answer. One that fails is asked each other time, so that its recovery shows.
// One that twice in a row gave no answer is left out for a while, and the ranks
// move up: boxes that are gone stay in the membership for tens of seconds in a
// large fleet. A box to which nobody answers is thus the first of a hall of its
// own, and mirrors the store for itself.
//
// Ranks differ while boxes see different members. Duties that are done twice do
// no harm.

#ifndef PINFORD_FORWARDING_SOURCE_SELECTOR_H_
#define PINFORD_FORWARDING_SOURCE_SELECTOR_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/membership.h"
#include "util/clock.h"

namespace pinford {

// The duty of mirroring the store, as boxes of a hall are ranked for it.
inline constexpr char kMirrorDuty[] = "mirror";

enum class SourceAnswer {
  kWell,
  kFails,   // it says that the store fails it, or its proof is old
  kSilent,  // it gave no answer in time
};

// The first boxes of a hall, by their weight for the duty.
using RankedBoxes = std::vector<std::pair<uint64_t, const MemberRow*>>;

class SourceSelector {
 public:
  struct Options {
    // Boxes of a hall that may mirror the store: one, and its stand-ins. With
    // two of them the store must turn away three boxes of a hall before that
    // hall depends on another.
    int mirrors = 3;
    // A source that fails is asked each other time; it counts as failing for
    // longer than that takes.
    Duration fails_for = milliseconds(2000);
    // A source that gave no answer twice is left out for so long, doubled each
    // time it happens again.
    Duration silent_for = seconds(4);
    Duration most_silent = seconds(32);
    // So many questions in a row without an answer, to whomever: this box is
    // alone.
    int alone_after = 2;
    // How often the ranks are made anew. The work grows with the members: 28 us
    // at 300 of them, 69 us at 730 (BM_SourceRoster).
    Duration refresh = milliseconds(500);
  };

  SourceSelector(const Membership* membership, const Options& options)
      : membership_(membership), options_(options) {}

  // Its rank in its hall, from 0, among the boxes that answer it.
  int rank(Time now);
  // Whether it may mirror the store while the first of its hall fails.
  bool stands_in(Time now);
  // Live boxes of its hall, this one among them; 1 while nobody answers it.
  int hall_boxes(Time now);
  // Whether the first of its hall failed of late; false for the first itself.
  bool first_fails(Time now);
  // The address to ask now, "" if there is nobody. Call it once a question.
  std::string Next(Time now);
  // What came of a question to `address`. True if it begins to fail.
  bool OnAnswer(Time now, const std::string& address, SourceAnswer answer);

 private:
  struct State {
    Time failed = Time::min();
    int silences = 0;  // in a row
    Time left_out_until = Time::min();
  };

  void Refresh(Time now);
  void Order(const std::map<std::string_view, RankedBoxes>& halls);
  bool LeftOut(Time now, const std::string& address) const;
  bool Failed(Time now, const std::string& address) const;

  const Membership* membership_;
  Options options_;
  std::map<std::string, State> states_;  // by address
  // Those to ask: the first boxes of the own hall but this one, then those of
  // others.
  std::vector<std::string> sources_;
  int rank_ = 0;
  int hall_boxes_ = 1;
  int unanswered_ = 0;  // questions in a row
  Time refreshed_ = Time::min();
  uint64_t turn_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SOURCE_SELECTOR_H_
