// This box's part in sharing loads: what it tells of its own, what it learns of
// all others', and the board that it keeps for those that tell it theirs.
//
// It puts what is shared into the endpoint table, and says which endpoints
// are dead or slow. A box asks one of its hall, the gatherer (SourceRoster);
// the gatherer of each hall asks those of the others. No I/O.

#ifndef PINFORD_FORWARDING_LOAD_SHARING_H_
#define PINFORD_FORWARDING_LOAD_SHARING_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/doubted_endpoints.h"
#include "pinford/forwarding/load_board.h"
#include "pinford/peer_messages.h"
#include "util/clock.h"

namespace pinford {

class LoadSharing {
 public:
  struct Options {
    // Between two tellings of a box. At 36 rows of ten bytes and answers of a
    // hundred rows each is about 1.5 KB: under 2 KB a second.
    Duration interval = milliseconds(800);
    // Of the greatest loads of this box; the rest of a busy one's is small.
    size_t most_loads = 128;
    // What is not heard for so long is forgotten (EndpointTable::Options).
    Duration valid = milliseconds(2500);
  };
  struct Events {
    // Asks an endpoint, patiently, whether it works and at what pace; what else
    // it says goes to the table.
    std::function<void(const std::string& endpoint,
                       std::function<void(bool works, double pace)>)>
        ask;
    // How it does, as the gatherer says.
    std::function<void(const std::string& endpoint, bool works, double pace)>
        told;
    // Nobody tells how it does any more: to be watched here again.
    std::function<void(const std::string& endpoint)> untold;
  };

  LoadSharing(std::string box, uint64_t board, EndpointTable* table,
              const Options& options, Events events);

  // --- asking --------------------------------------------------------------

  // This box found it dead or slow itself.
  void OnImpaired(const std::string& endpoint);
  // Whether there is news that cannot wait for the next question.
  bool urgent() const { return !suspects_.empty(); }
  // Adds to a question to the gatherer.
  void Fill(Time now, FetchRequest* request);
  void OnReply(Time now, const FetchReply& reply);

  // --- answering, and between halls ----------------------------------------

  void Answer(Time now, const FetchRequest& request, FetchReply* reply);
  void FillForHall(const std::string& hall, FetchRequest* request) const;
  void OnHallReply(Time now, const std::string& hall, const FetchReply& reply);
  // Call it often. `gathers`: this box is the first of its hall.
  void Tick(Time now, bool gathers);

 private:
  using ById = std::unordered_map<uint32_t, EndpointLoad>;

  std::vector<EndpointLoad> OwnLoads(Time now) const;
  std::vector<EndpointState> Known() const;
  void Suspect(const std::vector<uint32_t>& endpoints);
  void Sum(Time now);
  // Tells the table what others have: `find` gives the sums, `own` this box's
  // part of them.
  template <typename Find>
  void Apply(Time now, const ById& own, uint32_t boxes, Find find);
  void ApplyHealth();
  void Untell();
  void Forget(Time now);

  std::string box_;
  EndpointTable* table_;
  Options options_;
  Events events_;
  LoadBoard board_;
  LoadView view_;  // the gatherer's sums
  ById told_;      // this box's part of them, by its last question
  ById summed_;    // ... of the own board's
  std::map<std::string, uint8_t>
      paces_;  // as last told; usual ones are left out
  std::vector<uint32_t> suspects_;
  DoubtedEndpoints doubted_;  // of a gatherer
  Time next_{};
  Time heard_ = Time::min();
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_LOAD_SHARING_H_
