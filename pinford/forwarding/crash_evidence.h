// What is known of one feature of requests that may crash endpoints: the runs
// of requests with it that endpoints did not survive, and the last run that one
// survived.
//
// The evidence of two boxes is merged by union, so order, repetition and loss
// of messages do not matter. The number of runs is bounded. Of too many
// confirmed ones, all boxes and features keep those whose endpoints' names sort
// first, so that the crashes of two features can be compared.

#ifndef PINFORD_FORWARDING_CRASH_EVIDENCE_H_
#define PINFORD_FORWARDING_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pinford/peer_messages.h"
#include "util/clock.h"

namespace pinford {

class CrashEvidence {
 public:
  struct Run {
    Time began{};
    Time ended{};
    Time known_since{};
    bool confirmed = false;  // the endpoint's incarnation has ended
    bool suspicious = true;  // the endpoint broke it off
    bool announced = false;  // to all boxes
    // Of this box's own runs, which are sent to collectors after confirmation.
    bool unsent = false;      // a send is due at `next_send`
    bool had_events = false;  // received any
    size_t sends = 0;
    Time next_send{};

    bool IsDue(Time now) const {
      return unsent && confirmed && now >= next_send;
    }
  };
  using RunKey = std::pair<std::string, uint64_t>;  // endpoint, incarnation
  using Runs = std::map<RunKey, Run>;

  explicit CrashEvidence(Time survived) : survived_(survived) {}

  const Runs& runs() const { return runs_; }
  Runs& mutable_runs() { return runs_; }
  bool has_survived() const { return survived_ != Time::min(); }
  Time survived() const { return survived_; }

  // Returns false if the run began before one that was survived: then it is no
  // evidence.
  bool Add(const RunKey& key, const Run& run, size_t max_runs);
  // A run was survived at `survived`: runs that began earlier no longer count.
  // Returns whether that is news.
  bool Clear(Time survived);
  // Drops runs that are known since then or longer and are not confirmed.
  void DropUnconfirmed(Time known_since);
  void DropRuns() { runs_.clear(); }

  // Of confirmed runs only.
  int crashes() const;
  // The greatest number of runs of which each began after the one before it had
  // ended.
  int Sequence() const;
  // An estimate of how many requests these runs belong to, confirmed or not: a
  // request moves from an endpoint that ends to the next within moments.
  int Requests() const;
  // Removes the runs at incarnations that this feature was seen to crash.
  void Subtract(std::vector<RunKey>* keys) const;
  std::vector<RunKey> Crashes() const;

  // Ages in messages are relative to the time of sending, since boxes have no
  // common clock.
  CrashRecord Encode(Time now, const std::string& fingerprint) const;
  // The same with these runs only.
  CrashRecord EncodeRuns(Time now, const std::string& fingerprint,
                         const std::vector<RunKey>& keys) const;
  // Whether a run is to be sent to collectors now.
  bool HasDue(Time now) const;
  // Confirmed runs that are not announced yet; those taken are from then on.
  bool HasUnannounced() const;
  std::vector<RunKey> TakeUnannounced();

 private:
  void EvictOne();

  Runs runs_;
  Time survived_;
};

// The age of `t` as messages carry it.
uint32_t CrashAge(Time now, Time t);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CRASH_EVIDENCE_H_
