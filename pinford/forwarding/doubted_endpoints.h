// Finds out for all boxes which endpoints are dead.
//
// That an endpoint is dead is believed by all only once one box, the gatherer,
// has asked it twice and patiently: a box that is late itself, or whose links
// lose packets, doubts endpoints that work, and what one box believes of an
// endpoint costs that box alone. One that is dead is asked on until it answers
// or is listed no more. No I/O.

#ifndef PINFORD_FORWARDING_DOUBTED_ENDPOINTS_H_
#define PINFORD_FORWARDING_DOUBTED_ENDPOINTS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "util/clock.h"

namespace pinford {

class DoubtedEndpoints {
 public:
  struct Options {
    int dead_after = 2;  // questions in a row without an answer
    // Between questions to one that is dead.
    Duration ask_dead = milliseconds(400);
  };
  struct Events {
    // Asks an endpoint, patiently, whether it works and at what pace.
    std::function<void(const std::string& endpoint,
                       std::function<void(bool works, double pace)>)>
        ask;
    // It is dead, or works again.
    std::function<void(const std::string& endpoint, bool works, double pace)>
        changed;
  };

  DoubtedEndpoints(const Options& options, Events events)
      : options_(options), events_(std::move(events)) {}

  // Somebody has reason to think that it is dead.
  void Suspect(const std::string& endpoint) { doubts_.try_emplace(endpoint); }
  bool Doubts(const std::string& endpoint) const {
    return doubts_.contains(endpoint);
  }
  bool IsDead(const std::string& endpoint) const;
  // Asks whom it is time to ask. `listed` says which endpoints there are.
  void Tick(Time now,
            const std::function<bool(const std::string& endpoint)>& listed);
  // Leaves it to another box. Returns those that are dead.
  std::vector<std::string> Clear();

 private:
  struct Doubt {
    int silences = 0;  // in a row
    bool asking = false;
    Time next{};
  };

  void OnAnswer(const std::string& endpoint, bool works, double pace);

  Options options_;
  Events events_;
  std::map<std::string, Doubt> doubts_;
  Time now_{};  // of the last Tick
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_DOUBTED_ENDPOINTS_H_
