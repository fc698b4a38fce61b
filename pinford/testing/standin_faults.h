// The faults that stand-ins of endpoints share, as POST /faults sets them:
//   frozen        takes requests and answers none until it is thawed
//   leaving       refuses new work, and says so in its report
//   full          refuses new work as busy
//   delay_ms      every answer takes so much longer
//   lose_replies  so many requests run and are cut instead of answered

#ifndef PINFORD_TESTING_STANDIN_FAULTS_H_
#define PINFORD_TESTING_STANDIN_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "pinford/http_server.h"

namespace pinford {

class StandinFaults {
 public:
  // Reads the body of POST /faults.
  void Set(const std::string& json);

  // Takes the exchange if requests are held now.
  bool HoldIfFrozen(const ExchangePtr& exchange);
  // Those held, once it is thawed; empty while it is frozen.
  std::vector<ExchangePtr> ReleaseHeld();

  // Whether to cut this answer.
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
