// What all boxes together have on the endpoints, and which endpoints do not
// answer or are slow, so that each box need not find that out by itself.
//
// Each box tells the first of its hall (SourceRoster) what it has on endpoints
// when it asks it for documents, and gets the sums over all boxes back. The
// firsts of the halls tell each other the sums of theirs. So a box sends and
// receives the same few hundred bytes however many boxes there are, and what
// one notices is known to all about a second later. Only rows that changed
// notably since the asker's last question are sent.
//
// Sums are old by up to two questions and a sum; who picks by them adds what it
// sent since, and spreads its picks (EndpointTable). What a box said counts
// until it says something else, or has said nothing for a while: then it is
// gone, or asks another.
//
// LoadView is a copy of a board's sums at another box. No I/O.

#ifndef PINFORD_FORWARDING_LOAD_BOARD_H_
#define PINFORD_FORWARDING_LOAD_BOARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/peer_messages.h"
#include "util/clock.h"

namespace pinford {

class LoadView {
 public:
  // Takes changed rows over; all rows if they are another board's.
  void Merge(const LoadStamp& stamp, const std::vector<EndpointState>& rows);

  const LoadStamp& stamp() const { return stamp_; }
  // Null for an endpoint on which nothing is and that works.
  const EndpointState* Find(uint32_t endpoint) const;
  const std::unordered_map<uint32_t, EndpointState>& rows() const {
    return rows_;
  }

 private:
  LoadStamp stamp_;
  std::unordered_map<uint32_t, EndpointState> rows_;
};

class LoadBoard {
 public:
  struct Options {
    // Boxes tell each 0.8 s, halls each 0.4 s; one telling may be lost.
    Duration box_counts = milliseconds(2500);
    Duration hall_counts = milliseconds(2500);
    // How often the sums are made anew at most.
    Duration sum_every = milliseconds(200);
    // How long rows on which nothing is are kept, for those that ask rarely.
    Duration keep_empty = seconds(30);
  };

  // `id` tells one life of a board from another.
  LoadBoard(uint64_t id, const Options& options) : id_(id), options_(options) {}

  // What a box of this hall has.
  void OnBox(Time now, const std::string& box, std::vector<EndpointLoad> loads);
  // Sums of another hall, since known_of() it.
  void OnHall(Time now, const std::string& hall, const LoadStamp& stamp,
              const std::vector<EndpointState>& rows, uint32_t boxes);
  LoadStamp known_of(const std::string& hall) const;

  bool due(Time now) const { return now - summed_ >= options_.sum_every; }
  // Makes the sums anew, with what this box itself has. Of `known` the paces
  // count: how endpoints do that are dead or slow.
  void Sum(Time now, const std::vector<EndpointLoad>& own,
           const std::vector<EndpointState>& known);
  // Boxes whose loads are in the sums, this one among them.
  uint32_t boxes(LoadScope scope) const {
    return scope == LoadScope::kHall ? hall_boxes_ : fleet_boxes_;
  }

  LoadStamp stamp(LoadScope scope) const;
  // Rows that changed since; all if `since` is another board's.
  std::vector<EndpointState> Since(LoadScope scope,
                                   const LoadStamp& since) const;
  // The row as it was last told, null if there is none.
  const EndpointState* Find(LoadScope scope, uint32_t endpoint) const;
  // Endpoints that another hall takes for dead.
  std::vector<uint32_t> DeadElsewhere() const;

 private:
  struct Box {
    std::vector<EndpointLoad> loads;
    Time heard{};
  };
  struct Hall {
    LoadView view;
    uint32_t boxes = 0;
    Time heard{};
  };
  struct Row {
    EndpointState told;
    uint64_t version = 0;  // of the table, when it changed notably
    Time changed{};
  };
  struct Table {
    uint64_t version = 0;
    std::unordered_map<uint32_t, Row> rows;
  };
  // Sums before they are rounded.
  struct Load {
    double work = 0;
    double entries = 0;
    double reading = 0;
    uint8_t pace = kUsualPace;
  };
  using Loads = std::unordered_map<uint32_t, Load>;

  static void AddTo(Loads* sums, const EndpointLoad& load);
  void Take(Time now, const Loads& sums, Table* table) const;
  const Table& table(LoadScope scope) const {
    return scope == LoadScope::kHall ? hall_ : fleet_;
  }

  uint64_t id_;
  Options options_;
  std::map<std::string, Box> boxes_;
  std::map<std::string, Hall> halls_;
  Table hall_;   // sums over the boxes of this hall
  Table fleet_;  // ... and all other halls
  uint32_t hall_boxes_ = 1;
  uint32_t fleet_boxes_ = 1;
  Time summed_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_LOAD_BOARD_H_
