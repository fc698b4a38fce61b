// Notices endpoints that have stopped working, from the requests themselves.
//
// Whenever an event of a stream arrives, every stage of its chain has just
// shown that it works. A stage that runs for several streams so shows it many
// times in the time between two events of one of them; silence far beyond
// what is usual for it is suspicious long before any single stream is late.
// What is suspected is asked directly, and only its own answer, or none, makes
// it count as down, slow or working. One that is down or slow is asked again
// until it is well or leaves the list.
//
// Where other boxes ask too, and tell what they find (FailureNews), questions
// that would likely find what the last one found are left to become rarer, box
// by box. Nobody's word is taken for an answer; a box that is told, or has
// another reason to doubt, asks at once (BeginAsk). The first question, which
// finds a runner dead, is put as soon as by a box alone.
//
//   - One that is as down or slow as before is asked after longer and longer
//     pauses. Boxes do so at different times, so that the first of them finds
//     it well as soon as one alone would, and tells the others.
//   - So is one that is silent but has said that it works: its streams wait
//     for another stage, or for a prompt to be read anew.
//
// No I/O: the owner asks whom ToAsk names and hands in what came of it.

#ifndef PINFORD_FORWARDING_ENDPOINT_WATCH_H_
#define PINFORD_FORWARDING_ENDPOINT_WATCH_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/pipeline.h"
#include "util/clock.h"

namespace pinford {

class EndpointWatch {
 public:
  struct Options {
    // Silence beyond so many usual intervals is suspicious,
    double usual_times = 4;
    // ... but no shorter one: passes of a busy runner take up to 15 ms, and a
    // prompt is read between them.
    Duration least_silence = milliseconds(60);
    // An endpoint that has answered is not asked again for so long, nor is
    // one that is down or slow.
    Duration ask_again = milliseconds(150);
    Duration ask_impaired = milliseconds(400);
    // The pause doubles each time that one is found as it was, to
    // ask_impaired a box at most, and no further than this: a box that is told
    // by nobody finds a runner well so late.
    Duration most_impaired = milliseconds(1600);
    // The same of one that is silent and has said that it works, from
    // ask_again on. Other streams of it, here or elsewhere, show sooner if it
    // fails meanwhile.
    Duration most_again = milliseconds(600);
    // Sets apart the times at which boxes ask.
    uint64_t seed = 0;
    // A runner that takes so many times as long as it should is slow: its
    // streams' pauses then come near what they may be.
    double slow_pace = 2;
  };

  explicit EndpointWatch(const Options& options) : options_(options) {}

  // So many boxes, this one among them, ask as this one does.
  void set_boxes(int n) { boxes_ = n; }

  // Events of a stream begin, or end, to pass through these stages.
  void OnBegin(Time now, const Chain& chain);
  void OnEnd(const Chain& chain);
  void OnProgress(Time now, const Chain& chain);

  // Whom to ask now. Each counts as asked.
  std::vector<std::string> ToAsk(Time now);
  // Whether one that is in doubt for another reason than its silence is to be
  // asked now; it then counts as asked. False while an answer is awaited, and
  // for a while after one: a full runner is doubted with each refusal.
  bool BeginAsk(Time now, const std::string& endpoint);
  enum class Change { kNone, kWorse, kBetter };
  // What came of it: whether it works, and at what pace.
  Change OnAnswer(const std::string& endpoint, bool works, double pace);
  void Forget(const std::string& endpoint) { rows_.erase(endpoint); }

  bool IsDown(const std::string& endpoint) const;
  bool IsSlow(const std::string& endpoint) const;
  // When it last showed that it works; Time{} if never.
  Time ProgressOf(const std::string& endpoint) const;

 private:
  struct Row {
    int streams = 0;
    Time progress{};
    double usual = 0;  // seconds between signs of life
    Time asked{};
    bool asking = false;
    bool down = false;
    bool slow = false;
    int unchanged = 0;  // answers in a row that taught nothing new
  };

  // How long ToAsk leaves one alone after it was asked.
  Duration PauseOf(const std::string& endpoint, const Row& row) const;
  static void NoteAsked(Time now, Row* row);
  bool MayAsk(Time now, const Row& row) const;
  bool Suspicious(Time now, const Row& row) const;

  Options options_;
  int boxes_ = 1;
  std::unordered_map<std::string, Row> rows_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_WATCH_H_
