// Faults common to the endpoint stand-ins. POST /faults sets them:
//   frozen        accepts requests but answers none until it is cleared
//   leaving       refuses new work, and reports that it is leaving
//   full          refuses new work as busy
//   delay_ms      added to the time of each answer
//   lose_replies  number of requests that run and whose connection is then
//                 closed instead of answered

#ifndef PINFORD_TESTING_STANDIN_FAULTS_H_
#define PINFORD_TESTING_STANDIN_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "pinford/http_server.h"

namespace pinford {

class StandinFaults {
 public:
  // Applies the body of a POST /faults request.
  void Set(const std::string& json);

  // Holds the exchange and returns true if the endpoint is frozen.
  bool HoldIfFrozen(const ExchangePtr& exchange);
  // Returns the exchanges that were held; none while the endpoint is frozen.
  std::vector<ExchangePtr> ReleaseHeld();

  // Whether to abort this exchange instead of answering it. Counts down
  // lose_replies.
  bool ShouldLoseReply();

  bool frozen() const { return frozen_; }
  bool leaving() const { return leaving_; }
  bool full() const { return full_; }
  Duration delay() const { return delay_; }

 private:
  bool frozen_ = false;
  bool leaving_ = false;
  bool full_ = false;
  Duration delay_{};
  int replies_to_lose_ = 0;
  std::vector<ExchangePtr> held_;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_STANDIN_FAULTS_H_
